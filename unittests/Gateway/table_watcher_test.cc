// Watching a table through lost history, outages and stale responses.
#include "corianderlink/Gateway/table_watcher.h"

#include <gtest/gtest.h>

#include <deque>

namespace corianderlink {
namespace {

using Status = StoreReadResult::Status;

/// Replies with the results that a test queued; later calls get no reply.
class ScriptedStore {
 public:
  explicit ScriptedStore(EventLoop& loop) : loop_(loop) {}

  void ReadAll(const std::string&, StoreReadCallback callback) {
    ++reads;
    ReplyFrom(snapshots, std::move(callback));
  }
  void Watch(const std::string&, uint64_t after, Duration wait,
             StoreReadCallback callback) {
    watched_after.push_back(after);
    waits.push_back(wait);
    ReplyFrom(changes, std::move(callback));
  }
  void Put(const std::string&, const std::string&, const std::string&,
           StoreWriteCallback) {}

  std::deque<StoreReadResult> snapshots;
  std::deque<StoreReadResult> changes;
  std::vector<uint64_t> watched_after;
  std::vector<Duration> waits;
  int reads = 0;
  /// From a call to its reply.
  Duration delay{};

 private:
  void ReplyFrom(std::deque<StoreReadResult>& results,
                 StoreReadCallback callback) {
    if (results.empty()) return;
    const StoreReadResult result = results.front();
    results.pop_front();
    auto reply = [callback = std::move(callback), result] { callback(result); };
    if (delay == Duration::zero()) {
      loop_.Post(std::move(reply));
    } else {
      replies_.push_back(loop_.After(delay, std::move(reply)));
    }
  }

  EventLoop& loop_;
  std::vector<EventHandle> replies_;
};

StoreReadResult Result(Status status, uint64_t version,
                       std::vector<std::string> keys = {}, uint64_t era = 1) {
  StoreReadResult result;
  result.status = status;
  result.position = {era, version};
  for (const std::string& key : keys) {
    result.records.push_back({key, "v", version});
  }
  return result;
}

class TableWatcherTest : public ::testing::Test {
 protected:
  void Run(Duration time = milliseconds(400)) {
    watcher_.Start();
    RunFor(time);
  }
  void RunFor(Duration time) {
    const EventHandle stop = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  EventLoop loop_;
  ScriptedStore store_{loop_};
  std::vector<size_t> snapshot_sizes_;
  std::vector<std::string> changed_;
  std::vector<bool> reachability_changes_;
  std::vector<uint64_t> restored_eras_;
  std::vector<Duration> knowledge_ages_;
  int responses_ = 0;
  int failed_calls_ = 0;
  WatchSchedule schedule_;
  TableWatcher<ScriptedStore> watcher_{
      loop_,
      store_,
      "t",
      {[this](const auto& records, StorePosition) {
         snapshot_sizes_.push_back(records.size());
       },
       [this](const auto& changes, StorePosition) {
         for (const StoreRecord& row : changes) changed_.push_back(row.key);
       },
       [this](bool reachable, const std::string&) {
         reachability_changes_.push_back(reachable);
       },
       [this] { ++responses_; },
       [this](const std::string&) { ++failed_calls_; },
       [this](uint64_t era) { restored_eras_.push_back(era); },
       [this] { return schedule_; },
       [this](Time as_of) {
         knowledge_ages_.push_back(BootClock::now() - as_of);
       }}};
};

TEST_F(TableWatcherTest, ReadsTheTableThenItsChanges) {
  store_.snapshots = {Result(Status::kOk, 5, {"a", "b"})};
  store_.changes = {Result(Status::kOk, 7, {"a"}), Result(Status::kOk, 9)};
  Run();
  EXPECT_EQ(snapshot_sizes_, std::vector<size_t>{2});
  EXPECT_EQ(changed_, std::vector<std::string>{"a"});
  EXPECT_EQ(store_.watched_after, (std::vector<uint64_t>{5, 7, 9}));
}

TEST_F(TableWatcherTest, ResponseThatWaitedIsDatedByItsCall) {
  constexpr Duration kTimerSlack = milliseconds(5);
  store_.delay = milliseconds(80);
  store_.snapshots = {Result(Status::kOk, 5, {"a", "b"})};
  store_.changes = {Result(Status::kOk, 7, {"a"}), Result(Status::kOk, 7)};
  Run();
  ASSERT_EQ(knowledge_ages_.size(), 3U);
  for (const Duration age : knowledge_ages_) {
    EXPECT_GE(age, store_.delay - kTimerSlack);
  }
}

TEST_F(TableWatcherTest, LostHistoryShowsNoKnowledge) {
  store_.snapshots = {Result(Status::kOk, 5)};
  store_.changes = {Result(Status::kHistoryLost, 0)};
  Run();
  EXPECT_EQ(knowledge_ages_.size(), 1U);
}

TEST_F(TableWatcherTest, ReadsTheWholeTableAgainAfterLostHistory) {
  store_.snapshots = {Result(Status::kOk, 5), Result(Status::kOk, 20, {"a"})};
  store_.changes = {Result(Status::kHistoryLost, 0)};
  Run();
  EXPECT_EQ(snapshot_sizes_, (std::vector<size_t>{0, 1}));
  EXPECT_TRUE(reachability_changes_.empty());
}

TEST_F(TableWatcherTest, ReportsAnOutageAndItsEndOnceEach) {
  store_.snapshots = {Result(Status::kOk, 5), Result(Status::kFailed, 0),
                      Result(Status::kOk, 6)};
  store_.changes = {Result(Status::kFailed, 0)};
  Run();
  EXPECT_EQ(reachability_changes_, (std::vector<bool>{false, true}));
  EXPECT_EQ(failed_calls_, 2);
  EXPECT_EQ(responses_, 2);
  EXPECT_EQ(store_.watched_after.back(), 6U);
}

TEST_F(TableWatcherTest, IgnoresStaleResults) {
  store_.snapshots = {Result(Status::kOk, 5, {"a"}), Result(Status::kOk, 3, {}),
                      Result(Status::kOk, 8, {"a", "b"})};
  store_.changes = {Result(Status::kOk, 4, {"old"}),
                    Result(Status::kHistoryLost, 0)};
  Run();
  EXPECT_TRUE(changed_.empty());
  EXPECT_EQ(snapshot_sizes_, (std::vector<size_t>{1, 2}));
}

TEST_F(TableWatcherTest, FollowsAStoreThatCameBackFromACopy) {
  store_.snapshots = {Result(Status::kOk, 50, {"a", "b"}),
                      Result(Status::kOk, 40, {"a"}, 2)};
  store_.changes = {Result(Status::kHistoryLost, 0),
                    Result(Status::kOk, 41, {"c"}, 2)};
  Run();
  EXPECT_EQ(snapshot_sizes_, (std::vector<size_t>{2, 1}));
  EXPECT_EQ(restored_eras_, std::vector<uint64_t>{2});
  EXPECT_EQ(changed_, std::vector<std::string>{"c"});
}

// The new era has passed the old version, so the watch gets no 410.
TEST_F(TableWatcherTest, ReadsInFullIfAWatchContinuesInANewEra) {
  store_.snapshots = {Result(Status::kOk, 50, {"a"}),
                      Result(Status::kOk, 60, {"x", "y"}, 2)};
  store_.changes = {Result(Status::kOk, 55, {"z"}, 2)};
  Run();
  EXPECT_TRUE(changed_.empty());
  EXPECT_EQ(snapshot_sizes_, (std::vector<size_t>{1, 2}));
}

TEST_F(TableWatcherTest, DropsADelayedResponseOfAnOlderEra) {
  store_.snapshots = {Result(Status::kOk, 40, {"a"}, 2)};
  store_.changes = {Result(Status::kOk, 90, {"old"}, 1),
                    Result(Status::kOk, 41, {"new"}, 2)};
  Run();
  EXPECT_EQ(changed_, std::vector<std::string>{"new"});
}

TEST_F(TableWatcherTest, SpacesTheWatchesOfAChangingTable) {
  // 160 ms between watches.
  schedule_.gateways = 20;
  store_.snapshots = {Result(Status::kOk, 1)};
  for (uint64_t version = 2; version < 40; ++version) {
    store_.changes.push_back(Result(Status::kOk, version, {"a"}));
  }
  Run();
  // In 400 ms: the first watch, and two that follow changes.
  EXPECT_EQ(changed_.size(), 3U);
}

TEST_F(TableWatcherTest, AsksForTheLengthOfEachWatch) {
  schedule_ = {20, 0};
  store_.snapshots = {Result(Status::kOk, 1)};
  Run();
  EXPECT_EQ(store_.waits, std::vector<Duration>{schedule_.Wait()});
  schedule_ = {20, 19};
  store_.waits.clear();
  store_.snapshots = {Result(Status::kOk, 3)};
  Run();
  EXPECT_EQ(store_.waits, std::vector<Duration>{schedule_.Wait()});
}

// A connection that went silent says nothing about the store.
TEST_F(TableWatcherTest, FailedWatchAloneIsNotAnOutageOfTheStore) {
  store_.snapshots = {Result(Status::kOk, 5), Result(Status::kOk, 6)};
  store_.changes = {Result(Status::kFailed, 0)};
  Run();
  EXPECT_TRUE(reachability_changes_.empty());
  EXPECT_EQ(store_.watched_after.back(), 6U);
}

TEST_F(TableWatcherTest, SilentReadIsRepeatedBeforeItTimesOut) {
  Run(milliseconds(1000));
  EXPECT_GE(store_.reads, 2);
}

TEST_F(TableWatcherTest, LongWatchIsRenewedOnceNoPeerReadsTheStore) {
  schedule_ = {4, 3};
  store_.snapshots = {Result(Status::kOk, 5)};
  Run();
  EXPECT_EQ(store_.waits, std::vector<Duration>{schedule_.Wait()});
  // The connections of this watch and to all peers have gone silent.
  schedule_ = {1, 0};
  RunFor(milliseconds(2500));
  EXPECT_GE(store_.reads, 2);
}

TEST_F(TableWatcherTest, DelayedResponsesAreNotAskedForWithoutPause) {
  store_.snapshots = {Result(Status::kOk, 50)};
  for (int i = 0; i < 1000; ++i) {
    store_.changes.push_back(Result(Status::kOk, 40, {"old"}));
  }
  Run();
  EXPECT_TRUE(changed_.empty());
  EXPECT_LE(store_.watched_after.size(), 5U);
}

}  // namespace
}  // namespace corianderlink
