// Upstream records across store outages, restarts and delayed updates.
#include "corianderlink/Gateway/upstream_directory.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

constexpr Duration kRestoreGrace = milliseconds(2000);

UpstreamRecord Record(const std::string& id, int64_t started_ms = 1) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = ServiceId("s");
  record.address = {"127.0.0.1", 80};
  record.started_ms = started_ms;
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
  directory_.Remove(now_, UpstreamId("a"));
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
  directory_.ReplaceAll(now_, {});
  EXPECT_EQ(Usable(), 2U);
  directory_.Put(Record("a"));
  now_ += kRestoreGrace;
  directory_.Expire(now_);
  EXPECT_EQ(Usable(), 1U);
  EXPECT_NE(directory_.Find(UpstreamId("a")), nullptr);
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
  directory_.Remove(now_ + kRestoreGrace, UpstreamId("a"));
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

}  // namespace
}  // namespace corianderlink
