// When a started gateway may serve, by what it heard of its peers.
#include "corianderlink/Gateway/initial_sync.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

constexpr Time kStart = Time(seconds(100));
const Address kA{"10.0.0.1", 1};
const Address kB{"10.0.0.2", 1};

TEST(InitialSyncTest, GatewayThatWasNotToldOfTheOthersDoesNotServe) {
  const InitialSync sync;
  EXPECT_FALSE(sync.IsOver(kStart + seconds(60)));
}

TEST(InitialSyncTest, OnlyGatewayServesAtOnce) {
  InitialSync sync;
  sync.Begin(kStart, {});
  EXPECT_TRUE(sync.IsOver(kStart));
}

TEST(InitialSyncTest, WaitsForTheRecordsOfAReadyPeer) {
  InitialSync sync;
  sync.Begin(kStart, {kA, kB});
  EXPECT_FALSE(sync.OnHeartbeat(kA, false));
  EXPECT_TRUE(sync.OnHeartbeat(kB, true));
  EXPECT_FALSE(sync.OnHeartbeat(kB, true));
  EXPECT_FALSE(sync.IsOver(kStart));
  sync.OnRecords();
  EXPECT_TRUE(sync.IsOver(kStart));
}

TEST(InitialSyncTest, AllStartTogetherAndWaitForNobody) {
  InitialSync sync;
  sync.Begin(kStart, {kA, kB});
  sync.OnHeartbeat(kA, false);
  EXPECT_FALSE(sync.IsOver(kStart));
  sync.OnHeartbeat(kB, false);
  EXPECT_TRUE(sync.IsOver(kStart));
}

TEST(InitialSyncTest, ListedPeerThatIsGoneDelaysTheStartForLessThanASecond) {
  InitialSync sync;
  sync.Begin(kStart, {kA});
  EXPECT_FALSE(sync.IsOver(kStart + milliseconds(500)));
  EXPECT_TRUE(sync.IsOver(kStart + seconds(1)));
}

}  // namespace
}  // namespace corianderlink
