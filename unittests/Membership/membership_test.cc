// Tests for FreshnessGate, ListEntries, PeerTable and HoldTable.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "corianderlink/Membership/entry_directory.h"
#include "corianderlink/Membership/freshness_gate.h"
#include "corianderlink/Membership/hold_table.h"

namespace corianderlink {
namespace {

const Time kNow{seconds(1000)};

wire::Heartbeat EntryHeartbeat(int i, bool leaving = false) {
  const std::string number = std::to_string(i);
  wire::Heartbeat heartbeat;
  heartbeat.set_instance("i" + number);
  heartbeat.set_kind("entry");
  heartbeat.set_zone("z");
  heartbeat.set_leaving(leaving);
  heartbeat.set_entry_address("127.0.0.1:10" + number);
  heartbeat.set_peer_address("127.0.0.1:20" + number);
  return heartbeat;
}

// Guards against a process that serves with an old state during a partition
// while another process accepts a note.  A process that serves without the
// table service receives heartbeats from a majority, and so does the accepting
// process, so both majorities have an instance in common.
RC_GTEST_PROP(FreshnessGateProperty, ServingAndAcceptingMajoritiesOverlap, ()) {
  const auto listed = *rc::gen::inRange<size_t>(1, 40);
  const auto server = *rc::gen::inRange<size_t>(0, listed + 1);
  const auto accepter = *rc::gen::inRange<size_t>(0, listed + 1);
  const FreshnessGate gate(seconds(4));
  FreshnessView server_view;
  server_view.has_state = true;
  server_view.listed_instances = listed;
  server_view.live_instances = server;
  FreshnessView accepter_view = server_view;
  accepter_view.live_instances = accepter;
  const bool both =
      gate.MayServe(kNow, server_view) && gate.MayAcceptNote(accepter_view);
  RC_ASSERT(!both || server + accepter > listed);
}

TEST(FreshnessGateTest, IsolatedProcessStopsServingAfterTheWindow) {
  const FreshnessGate gate(seconds(4));
  FreshnessView view;
  view.has_state = true;
  view.store_ever_read = true;
  view.last_store_read = kNow;
  view.listed_instances = 4;
  view.live_instances = 1;
  EXPECT_TRUE(gate.MayServe(kNow + seconds(4), view));
  EXPECT_FALSE(gate.MayServe(kNow + milliseconds(4001), view));
  view.live_instances = 3;
  EXPECT_TRUE(gate.MayServe(kNow + seconds(60), view));
  view.has_state = false;
  EXPECT_FALSE(gate.MayServe(kNow, view));
}

TEST(EntryDirectoryTest, ListsNoLeavingOrSilentEntries) {
  PeerTable peers(seconds(1));
  peers.OnHeartbeat(kNow, ProcessId("e1"), EntryHeartbeat(1));
  peers.OnHeartbeat(kNow, ProcessId("e2"), EntryHeartbeat(2, true));
  peers.OnHeartbeat(kNow - seconds(2), ProcessId("e3"), EntryHeartbeat(3));
  const auto entries =
      ListEntries(kNow, peers, {"127.0.0.1:100", "z", false, 0});
  ASSERT_EQ(entries.size(), 2u);
  EXPECT_EQ(entries[0].address, "127.0.0.1:100");
  EXPECT_EQ(entries[1].address, "127.0.0.1:101");
}

TEST(PeerTableTest, RestartedProcessReplacesItsOldId) {
  PeerTable peers(seconds(1));
  peers.OnHeartbeat(kNow, ProcessId("old"), EntryHeartbeat(1));
  peers.OnHeartbeat(kNow, ProcessId("new"), EntryHeartbeat(1));
  EXPECT_FALSE(peers.IsLive(kNow, ProcessId("old")));
  EXPECT_TRUE(peers.IsLive(kNow, ProcessId("new")));
}

wire::Heartbeat FleetHeartbeat(int fleet, uint64_t fencing, bool hold) {
  wire::Heartbeat heartbeat;
  heartbeat.set_instance("i" + std::to_string(fleet));
  heartbeat.set_kind("fleet");
  if (!hold) return heartbeat;
  wire::Hold& out = *heartbeat.add_holds();
  out.set_address("127.0.0.1:9");
  out.set_sequence(4);
  out.set_fencing(fencing);
  return heartbeat;
}

TEST(HoldTableTest, FormerLeaseHolderDoesNotLiftItsSuccessorsHold) {
  HoldTable table(kNow, seconds(3), seconds(30));
  const ProcessId old_holder("old");
  const ProcessId new_holder("new");
  table.OnHeartbeat(kNow, old_holder, FleetHeartbeat(1, 1, true));
  table.OnHeartbeat(kNow, new_holder, FleetHeartbeat(2, 2, true));
  table.OnHeartbeat(kNow, old_holder, FleetHeartbeat(1, 1, false));
  EXPECT_EQ(table.HeldEngines().size(), 1u);
  // The successor lifts its own hold, and that of its predecessor as well.
  table.OnHeartbeat(kNow, old_holder, FleetHeartbeat(1, 1, true));
  table.OnHeartbeat(kNow, new_holder, FleetHeartbeat(2, 2, false));
  EXPECT_TRUE(table.HeldEngines().empty());
}

TEST(HoldTableTest, NewEntrySendsOnlyAfterHeartbeatsOfAllFleetProcesses) {
  HoldTable table(kNow, seconds(3), seconds(30));
  const std::set<std::string> listed = {"i1", "i2"};
  EXPECT_FALSE(table.MaySend(kNow, listed));
  table.OnHeartbeat(kNow, ProcessId("a"), FleetHeartbeat(1, 1, false));
  EXPECT_FALSE(table.MaySend(kNow, listed));
  table.OnHeartbeat(kNow, ProcessId("b"), FleetHeartbeat(2, 1, false));
  EXPECT_TRUE(table.MaySend(kNow, listed));
  EXPECT_TRUE(HoldTable(kNow, seconds(3), seconds(30))
                  .MaySend(kNow + seconds(3), listed));
}

// In a rolling stop, a fleet process ends before its entry has drained, so an
// entry that starts meanwhile never receives a heartbeat from it.
TEST(HoldTableTest, NewEntryLearnsHoldsOfAStoppedFleetProcessFromAnEntry) {
  const std::set<std::string> listed = {"i1", "i2"};
  const ProcessId running("a");
  const ProcessId stopped("b");
  HoldTable old_entry(kNow, seconds(3), seconds(30));
  old_entry.OnHeartbeat(kNow, running, FleetHeartbeat(1, 1, false));
  old_entry.OnHeartbeat(kNow, stopped, FleetHeartbeat(2, 1, true));
  const Time later = kNow + seconds(2);
  old_entry.OnHeartbeat(later, running, FleetHeartbeat(1, 1, false));

  HoldTable new_entry(later, seconds(3), seconds(30));
  new_entry.OnHeartbeat(later, running, FleetHeartbeat(1, 1, false));
  EXPECT_FALSE(new_entry.MaySend(later, listed));
  wire::Heartbeat heartbeat = EntryHeartbeat(1);
  old_entry.RelaySilent(later, seconds(1), listed, heartbeat);
  ASSERT_EQ(heartbeat.silent_announcers_size(), 1);
  new_entry.OnEntryHeartbeat(later, heartbeat);
  EXPECT_TRUE(new_entry.MaySend(later, listed));
  EXPECT_EQ(new_entry.HeldEngines(), old_entry.HeldEngines());
  EXPECT_EQ(new_entry.HeldEngines().size(), 1u);
  // The hold lapses as on the entry that received it.
  new_entry.Expire(kNow + seconds(31));
  EXPECT_TRUE(new_entry.HeldEngines().empty());
}

TEST(HoldTableTest, EntryThatMayNotSendRelaysNothing) {
  const std::set<std::string> listed = {"i1", "i2"};
  HoldTable starting(kNow, seconds(3), seconds(30));
  starting.OnHeartbeat(kNow, ProcessId("b"), FleetHeartbeat(2, 1, true));
  wire::Heartbeat heartbeat = EntryHeartbeat(1);
  starting.RelaySilent(kNow + seconds(2), seconds(1), listed, heartbeat);
  EXPECT_EQ(heartbeat.silent_announcers_size(), 0);
}

TEST(HoldTableTest, RelayedAnnouncementDoesNotReplaceAHeartbeat) {
  const std::set<std::string> listed = {"i1"};
  const ProcessId fleet("a");
  HoldTable behind(kNow, seconds(3), seconds(30));
  behind.OnHeartbeat(kNow, fleet, FleetHeartbeat(1, 1, true));
  wire::Heartbeat heartbeat = EntryHeartbeat(1);
  behind.RelaySilent(kNow + seconds(2), seconds(1), listed, heartbeat);
  HoldTable table(kNow, seconds(3), seconds(30));
  table.OnHeartbeat(kNow + seconds(2), fleet, FleetHeartbeat(1, 1, false));
  table.OnEntryHeartbeat(kNow + seconds(2), heartbeat);
  EXPECT_TRUE(table.HeldEngines().empty());
}

}  // namespace
}  // namespace corianderlink
