// Tests of accepted jobs whose engines refuse, whose owner changes, and whose
// texts are written late.
#include "corianderlink/Serving/job_runner.h"

#include <gtest/gtest.h>

#include "Serving/entry_harness.h"
#include "corianderlink/Support/hash.h"

namespace corianderlink {
namespace {

constexpr seconds kLimit{8};
constexpr char kAccount[] = "a";

class JobRunnerTest : public testing::Test {
 protected:
  static JobRecord MakeJob(const std::string& body) {
    JobRecord job;
    job.id = JobId("j");
    job.account = AccountId(kAccount);
    job.request = body;
    job.request_digest = Sha256Hex(std::string(kAccount) + "\n" + body);
    return job;
  }

  std::optional<JobRecord> Stored() {
    return DecodeJobRecord(
        entry_.platform.table.Row(JobRowKey(JobId("j"))).value);
  }
  bool IsClosed() {
    return entry_.platform.table.Row(OpenJobRowKey(JobId("j"))).version == 0;
  }

  /// Replaces the open row, as another process does.
  void WriteOpenRow(const std::string& owner, uint32_t attempts) {
    TableTransaction txn;
    txn.writes = {{OpenJobRowKey(JobId("j")),
                   EncodeOpenJobRecord({ProcessId(owner), attempts})}};
    entry_.platform.table.Apply(txn);
  }

  EntryHarness entry_;
  JobRunner jobs_{entry_.node, entry_.scheduler};
};

TEST_F(JobRunnerTest, AcceptedJobIsNotFailedByRefusals) {
  int refusals = 0;
  entry_.AddEngine([&](const Node::Exchange& exchange, const Json& body) {
    if (++refusals <= 10) return ScriptedEngine::Refuse(*exchange);
    ScriptedEngine::Complete(*exchange, body);
  });
  entry_.platform.table.Apply(InsertJob(MakeJob(EntryHarness::Body(3))));
  WriteOpenRow("", 19);
  ASSERT_TRUE(entry_.RunUntil(kLimit, [this] { return IsClosed(); }));
  EXPECT_STREQ(ToString(Stored()->state), "done") << Stored()->result;
  EXPECT_EQ(Stored()->result, ScriptedEngine::Text(3));
}

TEST_F(JobRunnerTest, JobThatAnotherProcessTookOverIsNotRunOn) {
  const ScriptedEngine& engine =
      entry_.AddEngine([](const Node::Exchange& exchange, const Json&) {
        ScriptedEngine::SendTokens(*exchange, 0, 1);
      });
  entry_.platform.table.Apply(InsertJob(MakeJob(EntryHarness::Body(3))));
  ASSERT_TRUE(entry_.RunUntil(kLimit, [&] { return engine.requests == 1; }));
  WriteOpenRow("entry-other", 2);
  EXPECT_TRUE(entry_.RunUntil(seconds(2), [&] { return engine.cut == 1; }));
  EXPECT_EQ(jobs_.running(), 0U);
}

TEST_F(JobRunnerTest, JobCancelledBetweenTwoAttemptsIsNotRunAgain) {
  const ScriptedEngine& engine =
      entry_.AddEngine([](const Node::Exchange& exchange, const Json&) {
        ScriptedEngine::Refuse(*exchange);
      });
  entry_.platform.table.Apply(InsertJob(MakeJob(EntryHarness::Body(3))));
  constexpr int kRefusalsPerAttempt = 8;
  ASSERT_TRUE(entry_.RunUntil(
      kLimit, [&] { return engine.requests == kRefusalsPerAttempt; }));
  std::optional<JobLookup> cancelled;
  jobs_.Cancel(JobId("j"), AccountId(kAccount),
               [&](const JobLookup& lookup) { cancelled = lookup; });
  ASSERT_TRUE(entry_.RunUntil(kLimit, [&] { return cancelled.has_value(); }));
  EXPECT_STREQ(ToString(cancelled->job.state), "cancelled");
  entry_.RunUntil(seconds(2), [] { return false; });
  EXPECT_EQ(engine.requests, kRefusalsPerAttempt);
  EXPECT_EQ(jobs_.running(), 0U);
}

}  // namespace
}  // namespace corianderlink
