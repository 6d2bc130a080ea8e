// When a gateway takes itself for partitioned, and which peer then serves.
#include "corianderlink/Gateway/upstream_reachability.h"

#include <gtest/gtest.h>

#include "corianderlink/Gateway/peer_selection.h"

namespace corianderlink {
namespace {

const ServiceId kService("shop");

class UpstreamReachabilityTest : public ::testing::Test {
 protected:
  void Fail(const std::string& upstream, size_t usable = 12) {
    UpstreamRecord record;
    record.id = UpstreamId(upstream);
    record.service = kService;
    reachability_.OnSuspectFailure(now_, record, usable);
  }
  bool IsDue() { return reachability_.IsSampleDue(now_, kService); }
  void Sample(size_t established, size_t failed) {
    reachability_.OnSampleBegun(now_, kService);
    now_ += milliseconds(250);
    ConnectionSample sample;
    sample.established.resize(established);
    sample.failed.resize(failed);
    reachability_.OnSample(now_, kService, sample);
  }
  bool IsPartitioned() { return reachability_.IsPartitioned(kService); }

  Time now_ = Time(seconds(1000));
  UpstreamReachability reachability_;
};

TEST_F(UpstreamReachabilityTest, FailuresOfOneUpstreamRaiseNoSuspicion) {
  for (int i = 0; i < 10; ++i) Fail("a");
  EXPECT_FALSE(IsDue());
  now_ += seconds(2);
  Fail("b");
  EXPECT_FALSE(IsDue());
  Fail("c");
  EXPECT_TRUE(IsDue());
}

TEST_F(UpstreamReachabilityTest, OnlyUpstreamOfAServiceRaisesASuspicion) {
  Fail("a", 1);
  EXPECT_TRUE(IsDue());
}

TEST_F(UpstreamReachabilityTest, OneConnectionShowsThatThereIsNoPartition) {
  reachability_.Suspect(kService);
  Sample(1, 5);
  EXPECT_FALSE(IsPartitioned());
}

TEST_F(UpstreamReachabilityTest, LinkIsImpairedUntilMostUpstreamsAreReached) {
  reachability_.Suspect(kService);
  Sample(4, 2);
  EXPECT_EQ(reachability_.LinkTo(kService), UpstreamLink::kUp);
  now_ += milliseconds(400);
  EXPECT_FALSE(IsDue());
  reachability_.Suspect(kService);
  Sample(3, 3);
  EXPECT_EQ(reachability_.LinkTo(kService), UpstreamLink::kImpaired);
  EXPECT_FALSE(reachability_.IsUnknown(kService));
  now_ += milliseconds(400);
  EXPECT_TRUE(IsDue());
  Sample(0, 6);
  EXPECT_EQ(reachability_.LinkTo(kService), UpstreamLink::kPartitioned);
  now_ += milliseconds(400);
  Sample(5, 1);
  EXPECT_EQ(reachability_.LinkTo(kService), UpstreamLink::kUp);
  now_ += milliseconds(400);
  EXPECT_FALSE(IsDue());
}

TEST_F(UpstreamReachabilityTest, PartitionLastsUntilAConnectionIsEstablished) {
  reachability_.Suspect(kService);
  Sample(0, 6);
  EXPECT_TRUE(IsPartitioned());
  EXPECT_EQ(reachability_.ServicesWith(UpstreamLink::kPartitioned).size(), 1U);
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(IsDue());
    now_ += milliseconds(400);
    EXPECT_TRUE(IsDue());
    Sample(0, 6);
    EXPECT_TRUE(IsPartitioned());
  }
  now_ += milliseconds(400);
  Sample(2, 4);
  EXPECT_FALSE(IsPartitioned());
}

TEST_F(UpstreamReachabilityTest, AllUpstreamsAreSampledOnceTheLinkIsNotUp) {
  reachability_.Suspect(kService);
  const size_t first = reachability_.SampleSize(kService);
  EXPECT_LE(first, 8U);
  Sample(1, 5);
  EXPECT_TRUE(IsDue());
  EXPECT_GE(reachability_.SampleSize(kService), 2 * first);
  // From then on at intervals, also while the link goes on changing.
  Sample(0, 12);
  EXPECT_FALSE(IsDue());
  now_ += milliseconds(400);
  Sample(1, 11);
  EXPECT_FALSE(IsDue());
}

TEST_F(UpstreamReachabilityTest, SamplesAreBoundedUnderManyFailures) {
  int samples = 0;
  const Time start = now_;
  for (int i = 0; i < 1000; ++i) {
    Fail("u" + std::to_string(i % 12));
    if (IsDue()) {
      ++samples;
      Sample(6, 0);
    }
    now_ += milliseconds(10);
  }
  EXPECT_LE(samples, (now_ - start) / milliseconds(400) + 1);
}

class PeerSelectionTest : public ::testing::Test {
 protected:
  void AddPeer(uint16_t port, const std::string& zone) {
    GatewayPeer peer;
    peer.status.ready = true;
    peer.status.zone = ZoneId(zone);
    peer.status.forward_address = {"127.0.0.1", port};
    peers_.push_back(peer);
  }
  std::vector<const GatewayPeer*> Live() const {
    std::vector<const GatewayPeer*> live;
    for (const GatewayPeer& peer : peers_) live.push_back(&peer);
    return live;
  }

  RandomSource random_{1};
  PeerSelection selection_{ZoneId("a"), random_};
  std::vector<GatewayPeer> peers_;
};

TEST_F(PeerSelectionTest, LeavesOutPeersThatCannotServe) {
  for (uint16_t port = 1; port <= 5; ++port) AddPeer(port, "a");
  peers_[0].status.ready = false;
  peers_[1].status.leaving = true;
  peers_[2].status.partitioned_services.insert(kService);
  peers_[3].status.forward_address = {};
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(selection_.Choose(Live(), kService, {})->port, 5);
  }
  EXPECT_FALSE(selection_.Choose(Live(), kService, {{"127.0.0.1", 5}}));
  // The partition of one service says nothing of another.
  EXPECT_TRUE(PeerSelection::CanServe(peers_[2], ServiceId("chat")));
}

TEST_F(PeerSelectionTest, ImpairedPeersServeOnlyIfThereIsNoOther) {
  for (uint16_t port = 1; port <= 3; ++port) {
    AddPeer(port, "a");
    peers_.back().status.impaired_services.insert(kService);
  }
  EXPECT_TRUE(selection_.Choose(Live(), kService, {}));
  AddPeer(4, "b");
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(selection_.Choose(Live(), kService, {})->port, 4);
  }
}

TEST_F(PeerSelectionTest, SpreadsRequestsThatTakeLong) {
  for (uint16_t port = 1; port <= 10; ++port) AddPeer(port, "b");
  std::map<uint16_t, int> chosen;
  for (int i = 0; i < 200; ++i) {
    const auto peer = selection_.Choose(Live(), kService, {});
    selection_.OnBegin(*peer);
    ++chosen[peer->port];
  }
  for (const auto& [port, count] : chosen) EXPECT_LE(count, 26) << port;
  EXPECT_EQ(chosen.size(), 10U);
}

TEST_F(PeerSelectionTest, PrefersItsOwnZoneAmongEqualPeers) {
  AddPeer(1, "b");
  AddPeer(2, "a");
  int own = 0;
  for (int i = 0; i < 200; ++i) {
    own += selection_.Choose(Live(), kService, {})->port == 2 ? 1 : 0;
  }
  EXPECT_GT(own, 120);
}

}  // namespace
}  // namespace corianderlink
