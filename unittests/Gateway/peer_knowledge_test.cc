// What a gateway learns from its peers when the store shows it less.
#include <gtest/gtest.h>

#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

constexpr char kOlderConfig[] =
    R"({"version":3,"routes":[],"services":[{"name":"shop","max_conns":10}]})";
constexpr char kNewerConfig[] =
    R"({"version":4,"routes":[{"name":"r","host":"h.example","prefix":"/safe/",)"
    R"("kind":"safe","timeout_ms":3000,"slo_ms":100,"priority":1,)"
    R"("service":"shop","attempts":2}],)"
    R"("services":[{"name":"shop","max_conns":10}]})";

class PeerKnowledgeTest : public ::testing::Test {
 protected:
  PeerKnowledgeTest() {
    upstream_.on_request = [](const FakeUpstream::Exchange& exchange) {
      exchange->SendResponse(200, FakeUpstream::Signed(exchange), "ok");
    };
  }

  std::unique_ptr<Gateway> StartGateway(const std::string& instance) {
    GatewaySettings settings = harness_.MakeSettings();
    settings.instance = instance;
    settings.front = FreeAddress();
    settings.ready = FreeAddress();
    settings.directory = FreeAddress();
    auto gateway = std::make_unique<Gateway>(harness_.loop, settings,
                                             platform::MakeCodecs());
    std::string reason;
    EXPECT_TRUE(gateway->Start(reason)) << reason;
    fronts_[gateway.get()] = settings.front;
    return gateway;
  }

  StoreRecord Upstream(const std::string& state, int sequence,
                       uint64_t version) const {
    return {"s1",
            R"({"service":"shop","addr":")" + upstream_.address.ToString() +
                R"(","zone":"z","slots":4,"born":7,"state":")" + state +
                R"(","seq":)" + std::to_string(sequence) + "}",
            version};
  }

  /// Waits until the gateway is ready, for at most three seconds.
  void AwaitReady(const Gateway& gateway) {
    for (int i = 0; i < 300 && !gateway.ready(); ++i) {
      harness_.RunFor(milliseconds(10));
    }
    EXPECT_TRUE(gateway.ready());
  }
  int StatusAt(const Gateway& gateway) {
    harness_.front = fronts_.at(&gateway);
    const auto result = harness_.Send("GET", "/safe/1");
    harness_.Await(result);
    return result->status;
  }

  GatewayTestHarness harness_;
  FakeUpstream upstream_{harness_.loop, "s1"};
  std::map<const Gateway*, Address> fronts_;
};

// The store came back from a copy and nothing was written again yet.
class StartAfterARestoreTest : public PeerKnowledgeTest {
 protected:
  StartAfterARestoreTest() : peer_(StartGateway("a")) {
    peer_->OnGatewayRecords({peer_->OwnRecord()});
    peer_->OnConfigRecords({{"config", kNewerConfig, 90}});
    peer_->OnAllUpstreams({Upstream("ready", 5, 20)}, {1, 100});
  }
  void DrainAtPeer() {
    peer_->OnUpstreamChanges({Upstream("draining", 9, 101)}, {1, 101});
  }
  void RemoveAtPeer() {
    peer_->OnUpstreamChanges({{"s1", std::nullopt, 101}}, {1, 101});
  }
  /// Both gateways read the restored store.
  void RestoreAndStart() {
    peer_->OnStoreRestored();
    peer_->OnAllUpstreams({Upstream("ready", 5, 20)}, {2, 40});
    started_ = StartGateway("b");
    started_->OnGatewayRecords({peer_->OwnRecord(), started_->OwnRecord()});
    started_->OnConfigRecords({{"config", kOlderConfig, 30}});
    started_->OnAllUpstreams({Upstream("ready", 5, 20)}, {2, 40});
  }

  std::unique_ptr<Gateway> peer_;
  std::unique_ptr<Gateway> started_;
};

TEST_F(StartAfterARestoreTest, ServesARouteThatOnlyThePeerKnows) {
  RestoreAndStart();
  AwaitReady(*started_);
  EXPECT_EQ(StatusAt(*started_), 200);
}

TEST_F(StartAfterARestoreTest, SendsNothingToAnUpstreamThatThePeerSawDraining) {
  DrainAtPeer();
  RestoreAndStart();
  AwaitReady(*started_);
  EXPECT_EQ(StatusAt(*started_), 503);
  EXPECT_TRUE(upstream_.requests.empty());
}

TEST_F(StartAfterARestoreTest, SendsNothingToAnUpstreamThatThePeerSawRemoved) {
  RemoveAtPeer();
  RestoreAndStart();
  AwaitReady(*started_);
  EXPECT_EQ(StatusAt(*started_), 503);
  EXPECT_TRUE(upstream_.requests.empty());
}

// A gateway that was cut off has read the restored store, but not what was
// acknowledged and lost meanwhile.
TEST_F(StartAfterARestoreTest, RunningGatewayLearnsOfDrainingFromThePeer) {
  DrainAtPeer();
  RestoreAndStart();
  AwaitReady(*started_);
  upstream_.requests.clear();
  peer_->OnUpstreamChanges({Upstream("ready", 12, 44)}, {2, 44});
  started_->OnUpstreamChanges({Upstream("ready", 12, 44)}, {2, 44});
  EXPECT_EQ(StatusAt(*started_), 200);
  // Only the peer sees this one before the next restore.
  peer_->OnUpstreamChanges({Upstream("draining", 13, 45)}, {2, 45});
  for (Gateway* gateway : {peer_.get(), started_.get()}) {
    gateway->OnStoreRestored();
    gateway->OnAllUpstreams({Upstream("ready", 12, 44)}, {3, 44});
  }
  harness_.RunFor(milliseconds(1500));
  EXPECT_EQ(StatusAt(*started_), 503);
}

TEST_F(PeerKnowledgeTest, GatewayThatIsBehindAsksAPeerThatIsAhead) {
  // Sorted by name, the peer that knows no more comes first.
  const auto stale = StartGateway("a");
  const auto behind = StartGateway("b");
  const auto ahead = StartGateway("c");
  const std::vector<StoreRecord> gateways = {
      stale->OwnRecord(), behind->OwnRecord(), ahead->OwnRecord()};
  for (Gateway* gateway : {stale.get(), behind.get(), ahead.get()}) {
    gateway->OnGatewayRecords(gateways);
    gateway->OnConfigRecords({{"config", kNewerConfig, 1}});
    gateway->OnAllUpstreams({Upstream("ready", 5, 20)}, {1, 100});
  }
  harness_.RunFor(milliseconds(500));
  ahead->OnUpstreamChanges({Upstream("draining", 9, 101)}, {1, 101});
  harness_.RunFor(milliseconds(1500));
  EXPECT_EQ(StatusAt(*behind), 503);
  EXPECT_EQ(StatusAt(*stale), 503);
}

}  // namespace
}  // namespace corianderlink
