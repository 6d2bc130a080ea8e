// Several gateways before the same upstreams, on the event loop of a harness.
#ifndef CORIANDERLINK_UNITTESTS_GATEWAY_GATEWAY_FLEET_H_
#define CORIANDERLINK_UNITTESTS_GATEWAY_GATEWAY_FLEET_H_

#include <event2/event.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Gateway/gateway_test_harness.h"

namespace corianderlink {

/// Gateways that know each other, and the records of their upstreams.
class GatewayFleet {
 public:
  /// `config` is the configuration of all gateways.
  GatewayFleet(GatewayTestHarness& harness, std::string config)
      : harness_(harness), config_(std::move(config)) {}

  /// Starts gateways and waits until they have received each other's
  /// heartbeats.
  void Start(size_t gateways) {
    for (size_t i = 0; i < gateways; ++i) Add("g" + std::to_string(i));
    Introduce();
  }
  /// Gives the gateway with this number, which starts later, an event loop of
  /// its own, so that it can stand still while the others run.
  void PrepareStandstill(size_t gateway) {
    own_loops_[gateway] = std::make_unique<EventLoop>();
  }
  /// The gateway stands still: the kernel takes what is sent to it, and the
  /// response of the store to its last watch.
  void BeginStandstill(size_t gateway) {
    still_.insert(gateway);
    standstill_began_at_ = BootClock::now();
  }
  /// The gateway goes on, and handles first what has waited.
  void EndStandstill(size_t gateway) {
    still_.erase(gateway);
    gateways_[gateway]->OnStoreResponse(StoreTable::kConfig);
    gateways_[gateway]->OnStoreResponse(StoreTable::kUpstreams);
    gateways_[gateway]->OnUpstreamsKnown(standstill_began_at_);
  }
  /// Starts a gateway that knows one of the others only, and waits until it is
  /// ready: it gets configuration and upstreams from its peer.
  bool AddLater(const std::string& instance) {
    Gateway& gateway = Add(instance);
    gateway.OnGatewayRecords({gateway_records_[0], gateway.OwnRecord()});
    for (int i = 0; i < 300 && !gateway.ready(); ++i) {
      harness_.RunFor(milliseconds(10));
    }
    return gateway.ready();
  }

  /// Starts an upstream and registers it with these members of its record.
  std::unique_ptr<FakeUpstream> AddUpstream(const std::string& id,
                                            const std::string& members) {
    auto upstream = std::make_unique<FakeUpstream>(harness_.loop, id);
    upstream_records_.push_back({id,
                                 R"({"addr":")" + upstream->address.ToString() +
                                     R"(","zone":"z","born":7,"seq":1,)"
                                     R"("state":"ready",)" +
                                     members + "}",
                                 1});
    Publish();
    return upstream;
  }
  /// All processes end at once and start again at the same addresses.
  void RestartAll() {
    std::vector<GatewaySettings> settings = std::move(settings_);
    gateways_.clear();
    settings_.clear();
    fronts_.clear();
    gateway_records_.clear();
    for (const GatewaySettings& old : settings) Start(old);
    Introduce();
  }
  /// A process ends and starts again at the same address.
  void Restart(size_t gateway) {
    gateways_[gateway].reset();
    gateways_[gateway] = Create(gateway, settings_[gateway]);
    gateway_records_[gateway] = gateways_[gateway]->OwnRecord();
    Introduce();
  }
  void RemoveUpstream(const std::string& id) {
    std::erase_if(upstream_records_, [&id](const StoreRecord& record) {
      return record.key == id;
    });
    Publish();
  }

  /// The store does not answer the gateway from now on.
  void CutFromStore(size_t gateway) { cut_from_store_.insert(gateway); }
  void EndCutsFromStore() { cut_from_store_.clear(); }
  /// Ends a gateway with all its connections.
  void Kill(size_t gateway) {
    gateways_.erase(gateways_.begin() + static_cast<ptrdiff_t>(gateway));
  }
  /// The gateway finds the upstreams at the addresses that `other_address`
  /// returns for their ids, or where they are if it returns none.
  void PartitionFromUpstreams(
      size_t gateway,
      const std::function<std::optional<Address>(const std::string& id)>&
          other_address) {
    std::vector<StoreRecord>& records = partitioned_[gateway];
    records.clear();
    for (const StoreRecord& record : upstream_records_) {
      const std::optional<Address> other = other_address(record.key);
      if (!other) {
        records.push_back(record);
        continue;
      }
      const std::string& value = *record.value;
      const std::string begin = R"({"addr":")";
      const size_t end = value.find('"', begin.size());
      records.push_back(
          {record.key, begin + other->ToString() + value.substr(end), 1});
    }
    Publish();
  }
  void EndPartition(size_t gateway) {
    partitioned_.erase(gateway);
    Publish();
  }

  /// Client addresses of the gateways.
  const std::vector<Address>& fronts() const { return fronts_; }
  Gateway& gateway(size_t i) { return *gateways_[i]; }
  const GatewaySettings& settings(size_t i) const { return settings_[i]; }

 private:
  /// Starts a gateway that knows nothing.
  Gateway& Add(const std::string& instance) {
    GatewaySettings settings = harness_.MakeSettings();
    settings.instance = instance;
    settings.front = FreeAddress();
    settings.ready = FreeAddress();
    settings.directory = FreeAddress();
    settings.forward = FreeAddress();
    return Start(settings);
  }
  Gateway& Start(const GatewaySettings& settings) {
    settings_.push_back(settings);
    fronts_.push_back(settings.front);
    gateways_.push_back(Create(gateways_.size(), settings));
    gateway_records_.push_back(gateways_.back()->OwnRecord());
    return *gateways_.back();
  }
  std::unique_ptr<Gateway> Create(size_t number,
                                  const GatewaySettings& settings) {
    const auto own_loop = own_loops_.find(number);
    EventLoop& loop =
        own_loop == own_loops_.end() ? harness_.loop : *own_loop->second;
    auto gateway =
        std::make_unique<Gateway>(loop, settings, platform::MakeCodecs());
    std::string reason;
    EXPECT_TRUE(gateway->Start(reason)) << reason;
    return gateway;
  }
  /// Tells the gateways of each other, the configuration and the upstreams.
  void Introduce() {
    for (const auto& gateway : gateways_) {
      gateway->OnGatewayRecords(gateway_records_);
      gateway->OnConfigRecords({{"config", config_, 1}});
      gateway->OnStreamRecords(StreamRecords(), kUnixNowMs, BootClock::now());
    }
    store_timer_ =
        harness_.loop.Every(milliseconds(100), [this] { ServeStore(); });
    if (!own_loops_.empty()) {
      own_loops_timer_ =
          harness_.loop.Every(kOwnLoopInterval, [this] { RunOwnLoops(); });
    }
    Publish();
    harness_.RunFor(milliseconds(300));
    // On a busy machine heartbeats come late.
    for (int i = 0; i < 500 && !AllKnowEachOther(); ++i) {
      harness_.RunFor(milliseconds(10));
    }
  }
  bool AllKnowEachOther() const {
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [this](const std::unique_ptr<Gateway>& gateway) {
                         return gateway->ready() &&
                                gateway->LivePeers() + 1 >= gateways_.size();
                       });
  }
  std::vector<StoreRecord> StreamRecords() const {
    std::vector<StoreRecord> records;
    for (const auto& [key, value] : stream_records_) {
      records.push_back({key, value, 1});
    }
    return records;
  }
  void RunOwnLoops() {
    for (const auto& [gateway, loop] : own_loops_) {
      if (still_.count(gateway) > 0) continue;
      event_base_loop(loop->base(), EVLOOP_NONBLOCK);
    }
  }
  /// The store answers, and keeps what gateways write.
  void ServeStore() {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      if (still_.count(i) + cut_from_store_.count(i) > 0) continue;
      const auto& gateway = gateways_[i];
      if (outdated_.erase(i) > 0) Publish(i);
      gateway->OnStoreResponse(StoreTable::kConfig);
      gateway->OnStoreResponse(StoreTable::kUpstreams);
      gateway->OnUpstreamsKnown(BootClock::now());
      if (gateway->NeedsStreamRecords()) {
        gateway->OnStreamRecords(StreamRecords(), kUnixNowMs, BootClock::now());
      }
      const auto record = gateway->NextStreamRecord(kUnixNowMs);
      if (!record) continue;
      stream_records_[record->key] = *record->value;
      gateway->OnStreamRecordWritten(true);
    }
  }
  void Publish() {
    ++version_;
    for (size_t i = 0; i < gateways_.size(); ++i) {
      if (still_.count(i) > 0) {
        outdated_.insert(i);
      } else {
        Publish(i);
      }
    }
  }
  void Publish(size_t gateway) {
    const auto partitioned = partitioned_.find(gateway);
    gateways_[gateway]->OnAllUpstreams(partitioned == partitioned_.end()
                                           ? upstream_records_
                                           : partitioned->second,
                                       {1, version_});
  }

  static constexpr int64_t kUnixNowMs = 1'700'000'000'000;
  static constexpr Duration kOwnLoopInterval = milliseconds(1);

  GatewayTestHarness& harness_;
  const std::string config_;
  std::map<size_t, std::unique_ptr<EventLoop>> own_loops_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<GatewaySettings> settings_;
  // Gateways that stand still, and those that lack changes of upstreams.
  std::set<size_t> still_;
  std::set<size_t> cut_from_store_;
  Time standstill_began_at_{};
  std::set<size_t> outdated_;

  std::map<std::string, std::string> stream_records_;
  EventHandle store_timer_;
  EventHandle own_loops_timer_;
  std::vector<StoreRecord> gateway_records_;
  std::vector<Address> fronts_;
  std::vector<StoreRecord> upstream_records_;
  // Records that partitioned gateways get instead.
  std::map<size_t, std::vector<StoreRecord>> partitioned_;
  uint64_t version_ = 100;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_GATEWAY_GATEWAY_FLEET_H_
