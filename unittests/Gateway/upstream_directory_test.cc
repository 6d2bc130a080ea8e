// Upstream records across store outages, restarts and delayed updates.
#include "corianderlink/Gateway/upstream_directory.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

constexpr Duration kRestoreGrace = milliseconds(2000);
constexpr StorePosition kWrittenAt{1, 10};
constexpr StorePosition kRemovedAt{1, 20};
constexpr StorePosition kReadAt{1, 30};

UpstreamRecord Record(const std::string& id, int64_t started_ms = 1) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = ServiceId("s");
  record.address = {"127.0.0.1", 80};
  record.started_ms = started_ms;
  record.written_at = kWrittenAt;
  return record;
}

class UpstreamDirectoryTest : public ::testing::Test {
 protected:
  size_t Usable() const { return directory_.Usable(ServiceId("s")).size(); }

  UpstreamDirectory directory_{kRestoreGrace};
  Time now_ = Time(seconds(100));
};

TEST_F(UpstreamDirectoryTest, RemovedUpstreamIsDroppedAtOnce) {
  directory_.Put(Record("a"));
  directory_.Remove(now_, UpstreamId("a"), kRemovedAt);
  EXPECT_EQ(Usable(), 0U);
}

TEST_F(UpstreamDirectoryTest, DrainingUpstreamTakesNoNewRequests) {
  UpstreamRecord record = Record("a");
  record.draining = true;
  directory_.Put(record);
  EXPECT_EQ(Usable(), 0U);
  EXPECT_NE(directory_.Find(UpstreamId("a")), nullptr);
}

TEST_F(UpstreamDirectoryTest, RecordMissingAfterAnOutageIsKeptForTheGraceTime) {
  directory_.Put(Record("a"));
  directory_.Put(Record("b"));
  directory_.OnStoreUnreachable();
  directory_.OnStoreReachable(now_);
  directory_.ReplaceAll(now_, {}, kReadAt);
  EXPECT_EQ(Usable(), 2U);
  directory_.Put(Record("a"));
  now_ += kRestoreGrace;
  directory_.Expire(now_);
  EXPECT_EQ(Usable(), 1U);
  EXPECT_NE(directory_.Find(UpstreamId("a")), nullptr);
}

// The store was away and nobody noticed.
TEST_F(UpstreamDirectoryTest, ServiceThatIsLostAtOnceIsKeptForTheGraceTime) {
  for (const char* id : {"a", "b", "c", "d"}) directory_.Put(Record(id));
  directory_.ReplaceAll(now_, {Record("a")}, kReadAt);
  EXPECT_EQ(Usable(), 4U);
  directory_.Expire(now_ + kRestoreGrace);
  EXPECT_EQ(Usable(), 1U);
}

TEST_F(UpstreamDirectoryTest, UpstreamsThatLeftOneAfterTheOtherAreDropped) {
  for (const char* id : {"a", "b", "c", "d"}) directory_.Put(Record(id));
  directory_.ReplaceAll(now_, {Record("a"), Record("e")}, kReadAt);
  EXPECT_EQ(Usable(), 2U);
}

TEST_F(UpstreamDirectoryTest, DrainingTakesEffectDuringAnOutage) {
  directory_.Put(Record("a"));
  directory_.OnStoreUnreachable();
  UpstreamRecord record = Record("a");
  record.draining = true;
  directory_.Put(record);
  EXPECT_EQ(Usable(), 0U);
}

TEST_F(UpstreamDirectoryTest, RemovalLongAfterAnOutageTakesEffectAtOnce) {
  directory_.Put(Record("a"));
  directory_.OnStoreUnreachable();
  directory_.OnStoreReachable(now_);
  directory_.Remove(now_ + kRestoreGrace, UpstreamId("a"), kRemovedAt);
  EXPECT_EQ(Usable(), 0U);
}

TEST_F(UpstreamDirectoryTest, DelayedRecordOfAnEarlierIncarnationIsIgnored) {
  directory_.Put(Record("a", 2000));
  UpstreamRecord old = Record("a", 1000);
  old.address.port = 81;
  directory_.Put(old);
  EXPECT_EQ(directory_.Find(UpstreamId("a"))->address.port, 80);
}

TEST_F(UpstreamDirectoryTest,
       UpstreamThatChangesItsServiceIsRemovedFromTheOldOne) {
  directory_.Put(Record("a"));
  UpstreamRecord moved = Record("a", 2);
  moved.service = ServiceId("t");
  directory_.Put(moved);
  EXPECT_EQ(Usable(), 0U);
  EXPECT_EQ(directory_.Usable(ServiceId("t")).size(), 1U);
}

UpstreamRecord RecordAt(uint64_t sequence, bool draining) {
  UpstreamRecord record = Record("a");
  record.sequence = sequence;
  record.draining = draining;
  return record;
}

// A copy of the store brings back records that were replaced or removed since.
TEST_F(UpstreamDirectoryTest, RestoredRecordDoesNotEndDraining) {
  directory_.Put(RecordAt(8, true));
  directory_.OnStoreRestored(now_);
  directory_.ReplaceAll(now_, {RecordAt(5, false)}, kReadAt);
  EXPECT_EQ(Usable(), 0U);
  // Only what the upstream writes later counts.
  directory_.Put(RecordAt(9, false));
  EXPECT_EQ(Usable(), 1U);
}

TEST_F(UpstreamDirectoryTest, RestoredRecordDoesNotBringBackAGoneUpstream) {
  directory_.Put(RecordAt(5, false));
  directory_.Remove(now_, UpstreamId("a"), kRemovedAt);
  directory_.OnStoreRestored(now_);
  UpstreamRecord restored = RecordAt(5, false);
  restored.written_at = {2, 25};
  directory_.ReplaceAll(now_, {restored}, {2, 30});
  EXPECT_EQ(Usable(), 0U);
  UpstreamRecord restarted = Record("a", 2);
  directory_.Put(restarted);
  EXPECT_EQ(Usable(), 1U);
}

TEST_F(UpstreamDirectoryTest, RemovedUpstreamMayRegisterAgain) {
  directory_.Put(RecordAt(5, false));
  directory_.Remove(now_, UpstreamId("a"), kRemovedAt);
  // A late response of the store tells nothing new.
  directory_.Put(RecordAt(5, false));
  EXPECT_EQ(Usable(), 0U);
  UpstreamRecord again = RecordAt(5, false);
  again.written_at = {1, 21};
  directory_.Put(again);
  EXPECT_EQ(Usable(), 1U);
}

TEST_F(UpstreamDirectoryTest, RecordMissingFromACopyIsKeptForTheGraceTime) {
  directory_.Put(Record("a"));
  directory_.OnStoreRestored(now_);
  directory_.ReplaceAll(now_, {}, kReadAt);
  EXPECT_EQ(Usable(), 1U);
  directory_.Expire(now_ + kRestoreGrace);
  EXPECT_EQ(Usable(), 0U);
}

TEST_F(UpstreamDirectoryTest, RecordsWithoutStartTimeAreNeverOutdated) {
  UpstreamRecord record = Record("a", 0);
  record.sequence = 9;
  directory_.Put(record);
  record.sequence = 1;
  record.draining = true;
  directory_.Put(record);
  EXPECT_EQ(Usable(), 0U);
}

TEST_F(UpstreamDirectoryTest, RecordWithoutStartTimeDoesNotReplaceOneWithIt) {
  UpstreamRecord record = Record("a", 5);
  record.draining = true;
  directory_.Put(record);
  directory_.Put(Record("a", 0));
  EXPECT_EQ(Usable(), 0U);
}

UpstreamDeparture Departure(uint64_t sequence, StorePosition removed_at) {
  return {UpstreamId("a"), {1, sequence}, removed_at, Time(seconds(99))};
}

TEST_F(UpstreamDirectoryTest, PeerTellsOfADepartureThatTheStoreLost) {
  directory_.Put(RecordAt(5, false));
  directory_.MergeDeparture(Departure(5, kRemovedAt));
  EXPECT_EQ(Usable(), 0U);
  directory_.Put(RecordAt(5, false));
  EXPECT_EQ(Usable(), 0U);
}

TEST_F(UpstreamDirectoryTest, DepartureBeforeTheKnownRecordChangesNothing) {
  UpstreamRecord again = RecordAt(5, false);
  again.written_at = {1, 21};
  directory_.Put(again);
  directory_.MergeDeparture(Departure(5, kRemovedAt));
  EXPECT_EQ(Usable(), 1U);
  directory_.MergeDeparture(Departure(4, {2, 40}));
  EXPECT_EQ(Usable(), 1U);
}

TEST_F(UpstreamDirectoryTest, PeerAddsNoUpstreamThatTheStoreDoesNotList) {
  directory_.Merge(RecordAt(9, false));
  EXPECT_EQ(Usable(), 0U);
  directory_.Put(RecordAt(5, false));
  directory_.Merge(RecordAt(9, true));
  EXPECT_EQ(Usable(), 0U);
}

TEST_F(UpstreamDirectoryTest, DigestTellsWhetherTwoGatewaysKnowTheSame) {
  UpstreamDirectory other(kRestoreGrace);
  directory_.Put(RecordAt(5, false));
  directory_.Put(Record("b"));
  other.Put(Record("b"));
  EXPECT_NE(directory_.Digest(), other.Digest());
  other.Put(RecordAt(5, false));
  EXPECT_EQ(directory_.Digest(), other.Digest());
  directory_.Remove(now_, UpstreamId("a"), kRemovedAt);
  EXPECT_NE(directory_.Digest(), other.Digest());
  for (const UpstreamDeparture& departure : directory_.Departures()) {
    other.MergeDeparture(departure);
  }
  EXPECT_EQ(directory_.Digest(), other.Digest());
  // Forgotten at the same age by both.
  directory_.Expire(now_ + seconds(700));
  other.Expire(now_ + seconds(700));
  EXPECT_EQ(directory_.Digest(), other.Digest());
  EXPECT_TRUE(other.Departures().empty());
}

}  // namespace
}  // namespace corianderlink
