// Watches one table of the store: reads it in full, then follows its changes.
#ifndef CORIANDERLINK_GATEWAY_TABLE_WATCHER_H_
#define CORIANDERLINK_GATEWAY_TABLE_WATCHER_H_

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "corianderlink/Gateway/record_store.h"
#include "corianderlink/Gateway/watch_schedule.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {

/// Callbacks of a TableWatcher.
struct TableWatcherHandlers {
  /// The table was read in full; `position` is the store's at that read.
  std::function<void(const std::vector<StoreRecord>&, StorePosition position)>
      on_snapshot;
  /// Records were changed or removed; none are missing up to `position`.
  std::function<void(const std::vector<StoreRecord>&, StorePosition position)>
      on_changes;
  /// The store became unreachable, with a reason, or reachable again.
  std::function<void(bool reachable, const std::string& reason)>
      on_reachability_change;
  /// The store responded.
  std::function<void()> on_response;
  /// A call gave no usable response.
  std::function<void(const std::string& reason)> on_failed_call;
  /// The store came back from a copy and has lost writes; called before the
  /// records of the new era.
  std::function<void(uint64_t era)> on_restored;
  /// Returns when and for how long to watch.
  std::function<WatchSchedule()> watch_schedule;
  /// All changes that the store had made by `as_of` have been handed over.
  std::function<void(Time as_of)> on_known = nullptr;
};

/// A store that came back from a copy is read in full as well: its position
/// counts by the era first, so its lower version is not taken for a delayed
/// response.
///
/// Reads the table in full once, then waits for changes in a loop.  Reads it in
/// full again after a failure or when the store no longer keeps the changes,
/// and retries with exponential backoff.  The store counts as unreachable when
/// a read fails, not when a watch does, which may be due to its connection.
template <RecordStore Store>
class TableWatcher {
 public:
  TableWatcher(EventLoop& loop, Store& store, std::string table,
               TableWatcherHandlers handlers)
      : loop_(loop),
        store_(store),
        table_(std::move(table)),
        handlers_(std::move(handlers)) {}

  void Start() {
    ReadAll();
    stale_timer_ = loop_.Every(kStaleCheckInterval, [this] { RenewIfStale(); });
  }

 private:
  static constexpr Duration kMinRetryDelay = milliseconds(100);
  static constexpr Duration kMaxRetryDelay = milliseconds(1000);
  // A read without a response for this long is repeated beside the first one.
  static constexpr Duration kReadRepeatDelay = milliseconds(700);
  static constexpr Duration kStaleCheckInterval = milliseconds(100);

  void ReadAll() {
    const uint64_t step = step_;
    const uint64_t read = ++last_read_;
    const Time asked_at = BootClock::now();
    repeat_timer_ = loop_.After(kReadRepeatDelay, [this] { ReadAll(); });
    store_.ReadAll(table_,
                   [this, step, read, asked_at](const StoreReadResult& result) {
                     if (step != step_) return;
                     OnReadResult(result, asked_at, read == last_read_);
                   });
  }

  // An earlier one of several reads may succeed, but only the last one's
  // failure counts.
  void OnReadResult(const StoreReadResult& result, Time asked_at,
                    bool is_last) {
    const bool failed = result.status != StoreReadResult::Status::kOk;
    if (failed || result.position < position_) {
      if (!is_last) return;
      OnFailure(failed ? result.reason
                       : "store answered with an older version than before");
      return;
    }
    OnSuccess();
    if (loaded_ && result.position.era > position_.era) {
      handlers_.on_restored(result.position.era);
    }
    loaded_ = true;
    position_ = result.position;
    handlers_.on_snapshot(result.records, result.position);
    OnKnown(asked_at);
    Watch();
  }

  void Watch() {
    const uint64_t step = ++step_;
    repeat_timer_.Reset();
    watching_ = true;
    const Time asked_at = BootClock::now();
    store_.Watch(table_, position_.version, handlers_.watch_schedule().Wait(),
                 [this, step, asked_at](const StoreReadResult& result) {
                   if (step != step_) return;
                   OnWatchResult(result, asked_at);
                 });
  }

  // Reads the table on a new connection if that of the watch may be half-open.
  void RenewIfStale() {
    if (!watching_) return;
    const Duration age = BootClock::now() - last_response_;
    if (!handlers_.watch_schedule().IsStale(age)) return;
    handlers_.on_failed_call("no response to the watch");
    // Drops a late response to the watch.
    ++step_;
    watching_ = false;
    ReadAll();
  }

  void OnWatchResult(const StoreReadResult& result, Time asked_at) {
    watching_ = false;
    if (result.status == StoreReadResult::Status::kHistoryLost) {
      OnSuccess();
      ReadAll();
      return;
    }
    if (result.status == StoreReadResult::Status::kFailed) {
      // Only the connection is known to be lost.  The read tells whether the
      // store is.
      handlers_.on_failed_call(result.reason);
      retry_timer_ = loop_.After(kMinRetryDelay, [this] { ReadAll(); });
      return;
    }
    OnSuccess();
    if (result.position.era > position_.era) {
      // The changes continue another history than the applied records.
      ReadAll();
      return;
    }
    if (result.position < position_) {
      // A delayed response.  The next one may be delayed as well.
      WatchAfter(kMinRetryDelay);
      return;
    }
    if (result.position > position_) {
      position_ = result.position;
      if (!result.records.empty()) {
        handlers_.on_changes(result.records, result.position);
        OnKnown(asked_at);
        // Changes often come in series, so a moment's wait saves most calls.
        WatchAfter(handlers_.watch_schedule().Spacing());
        return;
      }
    }
    OnKnown(asked_at);
    Watch();
  }

  // A response may have waited for long before it is handled, so it is dated by
  // its call.
  void OnKnown(Time asked_at) {
    if (handlers_.on_known) handlers_.on_known(asked_at);
  }

  void WatchAfter(Duration delay) {
    watch_timer_ = loop_.After(delay, [this] { Watch(); });
  }

  void OnSuccess() {
    last_response_ = BootClock::now();
    handlers_.on_response();
    retry_delay_ = kMinRetryDelay;
    if (reachable_) return;
    reachable_ = true;
    handlers_.on_reachability_change(true, "");
  }

  void OnFailure(const std::string& reason) {
    handlers_.on_failed_call(reason);
    if (reachable_) {
      reachable_ = false;
      handlers_.on_reachability_change(false, reason);
    }
    repeat_timer_.Reset();
    // Changes may be missed during a failure, so read the table in full again.
    retry_timer_ = loop_.After(retry_delay_, [this] { ReadAll(); });
    retry_delay_ = std::min(2 * retry_delay_, kMaxRetryDelay);
  }

  EventLoop& loop_;
  Store& store_;
  const std::string table_;
  const TableWatcherHandlers handlers_;
  StorePosition position_;
  bool loaded_ = false;
  bool reachable_ = true;
  bool watching_ = false;
  Time last_response_{};
  // Rises with each watch.  A response to a call of an earlier step is dropped.
  uint64_t step_ = 0;
  // Number of the last read, among all reads.
  uint64_t last_read_ = 0;
  EventHandle repeat_timer_;
  EventHandle stale_timer_;
  Duration retry_delay_ = kMinRetryDelay;
  EventHandle retry_timer_;
  EventHandle watch_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_TABLE_WATCHER_H_
