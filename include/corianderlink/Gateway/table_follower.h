// Keeps up with one table of the store: reads it whole, then its changes.
#ifndef CORIANDERLINK_GATEWAY_TABLE_FOLLOWER_H_
#define CORIANDERLINK_GATEWAY_TABLE_FOLLOWER_H_

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "corianderlink/Gateway/record_store.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {

/// Receives what a TableFollower learns.
struct TableFollowerHandlers {
  /// The whole table.
  std::function<void(const std::vector<StoreRecord>&, uint64_t version)> on_all;
  /// Records that changed.
  std::function<void(const std::vector<StoreRecord>&, uint64_t version)>
      on_changes;
  /// The store stopped answering, or answers again.
  std::function<void(bool reachable, const std::string& reason)> on_reachable;
};

template <RecordStore Store>
class TableFollower {
 public:
  TableFollower(EventLoop& loop, Store& store, std::string table,
                TableFollowerHandlers handlers)
      : loop_(loop),
        store_(store),
        table_(std::move(table)),
        handlers_(std::move(handlers)) {}

  void Start() { ReadAll(); }

 private:
  // A watch answers after this time even if nothing changed.
  static constexpr Duration kWatchTime = seconds(25);
  static constexpr Duration kFirstRetry = milliseconds(100);
  static constexpr Duration kLongestRetry = milliseconds(1000);

  void ReadAll() {
    store_.ReadAll(table_, [this](const StoreReadResult& result) {
      if (result.status != StoreReadResult::Status::kOk) {
        OnFailed(result.reason);
        return;
      }
      if (result.version < version_) {
        OnFailed("the store answered with an older version");
        return;
      }
      OnAnswered();
      loaded_ = true;
      version_ = result.version;
      handlers_.on_all(result.records, result.version);
      Watch();
    });
  }

  void Watch() {
    store_.Watch(table_, version_, kWatchTime,
                 [this](const StoreReadResult& result) { OnWatch(result); });
  }

  void OnWatch(const StoreReadResult& result) {
    if (result.status == StoreReadResult::Status::kHistoryLost) {
      OnAnswered();
      ReadAll();
      return;
    }
    if (result.status == StoreReadResult::Status::kFailed) {
      OnFailed(result.reason);
      return;
    }
    OnAnswered();
    // A delayed answer may lie behind what is known already.
    if (result.version > version_) {
      version_ = result.version;
      if (!result.records.empty()) {
        handlers_.on_changes(result.records, result.version);
      }
    }
    Watch();
  }

  void OnAnswered() {
    retry_ = kFirstRetry;
    if (reachable_) return;
    reachable_ = true;
    handlers_.on_reachable(true, "");
  }

  void OnFailed(const std::string& reason) {
    if (reachable_) {
      reachable_ = false;
      handlers_.on_reachable(false, reason);
    }
    // After a failure the changes may have a gap: the table is read whole.
    timer_ = loop_.After(retry_, [this] { ReadAll(); });
    retry_ = std::min(2 * retry_, kLongestRetry);
  }

  EventLoop& loop_;
  Store& store_;
  const std::string table_;
  const TableFollowerHandlers handlers_;
  uint64_t version_ = 0;
  bool loaded_ = false;
  bool reachable_ = true;
  Duration retry_ = kFirstRetry;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_TABLE_FOLLOWER_H_
