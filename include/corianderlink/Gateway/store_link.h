// Connects a gateway to its tables in the store.
#ifndef CORIANDERLINK_GATEWAY_STORE_LINK_H_
#define CORIANDERLINK_GATEWAY_STORE_LINK_H_

#include <string>

#include "corianderlink/Gateway/gateway.h"
#include "corianderlink/Gateway/record_codec.h"
#include "corianderlink/Gateway/record_store.h"
#include "corianderlink/Gateway/table_follower.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {

template <RecordStore Store>
class StoreLink {
 public:
  StoreLink(EventLoop& loop, Store& store, Gateway& gateway,
            const RecordCodec& codec)
      : loop_(loop),
        store_(store),
        gateway_(gateway),
        codec_(codec),
        config_(loop, store, codec.config_table,
                {[this](const auto& all, uint64_t) {
                   gateway_.OnConfigRecords(all);
                 },
                 [this](const auto& some, uint64_t) {
                   gateway_.OnConfigRecords(some);
                 },
                 [this](bool reachable, const std::string& reason) {
                   LogReachable(codec_.config_table, reachable, reason);
                 }}),
        upstreams_(loop, store, codec.upstream_table,
                   {[this](const auto& all, uint64_t version) {
                      gateway_.OnAllUpstreams(all, version);
                    },
                    [this](const auto& some, uint64_t version) {
                      gateway_.OnUpstreamChanges(some, version);
                    },
                    [this](bool reachable, const std::string& reason) {
                      LogReachable(codec_.upstream_table, reachable, reason);
                      gateway_.OnUpstreamTableReachable(reachable);
                    }}) {}

  void Start() {
    config_.Start();
    upstreams_.Start();
    Register();
  }

 private:
  static constexpr Duration kRetry = milliseconds(500);
  // Heals a partition between gateways that never heard of each other.
  static constexpr Duration kReadAgain = seconds(60);

  static void LogReachable(const std::string& table, bool reachable,
                           const std::string& reason) {
    Log(reachable ? LogLevel::kInfo : LogLevel::kWarning,
        reachable ? "store_regained" : "store_lost",
        {{"table", table}, {"reason", reason}});
  }

  // Makes this gateway known, then learns of the others.
  void Register() {
    const StoreRecord own = gateway_.OwnRecord();
    store_.Put(codec_.gateway_table, own.key, *own.value,
               [this](bool done, const std::string& reason) {
                 if (!done) {
                   Log(LogLevel::kWarning, "registration_failed",
                       {{"reason", reason}});
                   timer_ = loop_.After(kRetry, [this] { Register(); });
                   return;
                 }
                 ReadGateways();
               });
  }

  void ReadGateways() {
    store_.ReadAll(codec_.gateway_table, [this](const StoreReadResult& result) {
      const bool read = result.status == StoreReadResult::Status::kOk;
      if (read) gateway_.OnGatewayRecords(result.records);
      timer_ =
          loop_.After(read ? kReadAgain : kRetry, [this] { ReadGateways(); });
    });
  }

  EventLoop& loop_;
  Store& store_;
  Gateway& gateway_;
  const RecordCodec& codec_;
  TableFollower<Store> config_;
  TableFollower<Store> upstreams_;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_STORE_LINK_H_
