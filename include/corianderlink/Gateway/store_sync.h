// Synchronizes a gateway with its tables in the store.
#ifndef CORIANDERLINK_GATEWAY_STORE_SYNC_H_
#define CORIANDERLINK_GATEWAY_STORE_SYNC_H_

#include <chrono>
#include <string>

#include "corianderlink/Gateway/gateway.h"
#include "corianderlink/Gateway/record_codec.h"
#include "corianderlink/Gateway/record_store.h"
#include "corianderlink/Gateway/table_watcher.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {

/// Passes the configuration and the upstreams to the gateway as they change,
/// registers the gateway in the table of gateways and reads that table for the
/// addresses of its peers.  Retries until each step succeeds.  Also keeps
/// quarantined parts of prompts in the store, for a start of all gateways.
template <RecordStore Store>
class StoreSync {
 public:
  StoreSync(EventLoop& loop, Store& store, Gateway& gateway,
            const RecordCodec& codec)
      : loop_(loop),
        store_(store),
        gateway_(gateway),
        codec_(codec),
        config_watcher_(
            loop, store, codec.config_table,
            {[this](const auto& all, StorePosition) {
               gateway_.OnConfigRecords(all);
             },
             [this](const auto& changes, StorePosition) {
               gateway_.OnConfigRecords(changes);
             },
             [this](bool reachable, const std::string& reason) {
               LogReachability(codec_.config_table, reachable, reason);
             },
             [this] { gateway_.OnStoreResponse(StoreTable::kConfig); },
             [this](const std::string& reason) {
               LogFailedCall(codec_.config_table, StoreTable::kConfig, reason);
             },
             [this](uint64_t era) { OnRestored(era); },
             [this] { return gateway_.CurrentWatchSchedule(); }}),
        upstreams_watcher_(
            loop, store, codec.upstream_table,
            {[this](const auto& all, StorePosition position) {
               gateway_.OnAllUpstreams(all, position);
             },
             [this](const auto& changes, StorePosition position) {
               gateway_.OnUpstreamChanges(changes, position);
             },
             [this](bool reachable, const std::string& reason) {
               LogReachability(codec_.upstream_table, reachable, reason);
               gateway_.OnUpstreamTableReachable(reachable);
             },
             [this] { gateway_.OnStoreResponse(StoreTable::kUpstreams); },
             [this](const std::string& reason) {
               LogFailedCall(codec_.upstream_table, StoreTable::kUpstreams,
                             reason);
             },
             [this](uint64_t era) { OnRestored(era); },
             [this] { return gateway_.CurrentWatchSchedule(); },
             [this](Time as_of) { gateway_.OnUpstreamsKnown(as_of); }}) {}

  void Start() {
    config_watcher_.Start();
    upstreams_watcher_.Start();
    Register();
    ReadQuarantine();
    gateway_.SetQuarantineHandler(
        [this](const std::string& part, bool quarantined) {
          KeepQuarantine(part, quarantined ? std::to_string(UnixNowMs()) : "0");
        });
    ReadStreams();
    streams_write_timer_ =
        loop_.Every(kStreamsWriteInterval, [this] { KeepStreams(); });
  }

 private:
  static constexpr Duration kRetryDelay = milliseconds(500);
  // The table of gateways is read again this often, so that gateways that never
  // received each other's heartbeats connect after a partition.
  static constexpr Duration kGatewayReadInterval = seconds(60);

  static constexpr Duration kStreamsWriteInterval = milliseconds(100);
  // Streams of unknown origin are not resumed before the table is read.
  static constexpr Duration kStreamsReadRetryDelay = milliseconds(200);

  static void LogReachability(const std::string& table, bool reachable,
                              const std::string& reason) {
    Log(reachable ? LogLevel::kInfo : LogLevel::kWarning,
        reachable ? "store_regained" : "store_lost",
        {{"table", table}, {"reason", reason}});
  }

  void LogFailedCall(const std::string& name, StoreTable table,
                     const std::string& reason) const {
    Log(LogLevel::kInfo, "store_call_failed",
        {{"table", name},
         {"reason", reason},
         {"last_response_ms", ToMillis(gateway_.StoreAge(table))}});
  }

  // Both watchers notice a restore; the first one counts.
  void OnRestored(uint64_t era) {
    if (era <= restored_era_) return;
    restored_era_ = era;
    Log(LogLevel::kWarning, "store_restored", {{"era", era}});
    gateway_.OnStoreRestored();
    // The copy may lack this gateway's own record.
    Register();
  }

  // Writes this gateway's own record, then starts reading the others', also if
  // the store takes no writes.
  void Register() {
    const StoreRecord own = gateway_.OwnRecord();
    store_.Put(codec_.gateway_table, own.key, *own.value,
               [this](bool written, const std::string& reason) {
                 if (!written) {
                   Log(LogLevel::kWarning, "registration_failed",
                       {{"reason", reason}});
                   registration_timer_ =
                       loop_.After(kRetryDelay, [this] { Register(); });
                 }
                 ReadGateways();
               });
  }

  void ReadGateways() {
    store_.ReadAll(codec_.gateway_table, [this](const StoreReadResult& result) {
      const bool read = result.status == StoreReadResult::Status::kOk;
      if (read) gateway_.OnGatewayRecords(result.records);
      gateways_timer_ = loop_.After(read ? kGatewayReadInterval : kRetryDelay,
                                    [this] { ReadGateways(); });
    });
  }

  static int64_t UnixNowMs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
  }

  void ReadQuarantine() {
    store_.ReadAll(
        codec_.quarantine_table, [this](const StoreReadResult& result) {
          if (result.status != StoreReadResult::Status::kOk) {
            quarantine_timer_ =
                loop_.After(kRetryDelay, [this] { ReadQuarantine(); });
            return;
          }
          gateway_.OnQuarantineRecords(result.records, UnixNowMs());
        });
  }

  // Not repeated: the peers know of it as well, and the next crash would renew
  // it.
  void KeepQuarantine(const std::string& part, const std::string& since_ms) {
    store_.Put(codec_.quarantine_table, part, since_ms,
               [part](bool written, const std::string& reason) {
                 if (written) return;
                 Log(LogLevel::kWarning, "quarantine_not_kept",
                     {{"part", part}, {"reason", reason}});
               });
  }

  void ReadStreams() {
    reading_streams_ = true;
    const Time asked_at = BootClock::now();
    store_.ReadAll(
        codec_.stream_table, [this, asked_at](const StoreReadResult& result) {
          if (result.status != StoreReadResult::Status::kOk) {
            streams_read_timer_ =
                loop_.After(kStreamsReadRetryDelay, [this] { ReadStreams(); });
            return;
          }
          reading_streams_ = false;
          gateway_.OnStreamRecords(result.records, UnixNowMs(), asked_at);
        });
  }

  // A record that was not written is written again before the next one.
  void KeepStreams() {
    if (!reading_streams_ && gateway_.NeedsStreamRecords()) ReadStreams();
    if (writing_streams_) return;
    const auto record = gateway_.NextStreamRecord(UnixNowMs());
    if (!record) return;
    writing_streams_ = true;
    store_.Put(codec_.stream_table, record->key, *record->value,
               [this](bool written, const std::string& reason) {
                 writing_streams_ = false;
                 gateway_.OnStreamRecordWritten(written);
                 if (written) return;
                 Log(LogLevel::kInfo, "streams_not_kept", {{"reason", reason}});
               });
  }

  EventLoop& loop_;
  Store& store_;
  Gateway& gateway_;
  const RecordCodec& codec_;
  TableWatcher<Store> config_watcher_;
  TableWatcher<Store> upstreams_watcher_;
  EventHandle registration_timer_;
  EventHandle gateways_timer_;
  EventHandle quarantine_timer_;
  EventHandle streams_read_timer_;
  EventHandle streams_write_timer_;
  bool reading_streams_ = false;
  bool writing_streams_ = false;
  uint64_t restored_era_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_STORE_SYNC_H_
