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

TEST_F(JobRunnerTest, TextThatIsWrittenLateDoesNotReplaceThatOfTheJob) {
  std::string ran;
  entry_.AddEngine([&](const Node::Exchange& exchange, const Json& body) {
    ran = body["messages"][0]["content"].get<std::string>();
    ScriptedEngine::Complete(*exchange, body);
  });
  const auto body = [](char letter) {
    Json json = Json::parse(EntryHarness::Body(3));
    json["messages"][0]["content"] = std::string(100000, letter);
    return json.dump();
  };
  std::optional<JobSubmitResult> first;
  entry_.platform.hold_puts = true;
  jobs_.Submit(MakeJob(body('x')),
               [&](const JobSubmitResult& result) { first = result; });
  ASSERT_TRUE(entry_.RunUntil(kLimit, [&] { return first.has_value(); }));
  EXPECT_EQ(first->kind, JobSubmitResult::Kind::kNotRun);
  entry_.platform.hold_puts = false;
  std::optional<JobSubmitResult> second;
  jobs_.Submit(MakeJob(body('y')), [&](const JobSubmitResult& result) {
    second = result;
    entry_.platform.ReleaseHeldPuts();
  });
  ASSERT_TRUE(
      entry_.RunUntil(kLimit, [this] { return Stored() && IsClosed(); }));
  EXPECT_EQ(second->kind, JobSubmitResult::Kind::kAccepted);
  EXPECT_EQ(ran.substr(0, 1), "y");
}

// The platform may answer after the job was abandoned and acquired again.
TEST(SlowPlatformJobTest, TextReadByAnEarlierAcquisitionStartsNoSecondRun) {
  EntryHarness entry({}, {}, {}, seconds(5));
  int requests = 0;
  Node::Exchange first;
  EventHandle timer;
  entry.AddEngine([&](const Node::Exchange& exchange, const Json& body) {
    if (++requests > 1) {
      ScriptedEngine::SendTokens(*exchange, 0, 2);
      return;
    }
    first = exchange;
    timer = entry.loop.After(milliseconds(200), [&first, body] {
      ScriptedEngine::Complete(*first, body);
    });
  });
  JobRunner jobs{entry.node, entry.scheduler};
  const std::string body = EntryHarness::Body(3);
  JobRecord job;
  job.id = JobId("j");
  job.account = AccountId(kAccount);
  job.request_digest = Sha256Hex(std::string(kAccount) + "\n" + body);
  job.request_in_object = true;
  entry.platform.objects[JobRequestObjectKey(job)] = body;
  entry.platform.hold_gets = true;
  entry.platform.table.Apply(InsertJob(job));
  const auto write_open_row = [&](const std::string& owner) {
    TableTransaction txn;
    txn.writes = {
        {OpenJobRowKey(job.id), EncodeOpenJobRecord({ProcessId(owner), 2})}};
    entry.platform.table.Apply(txn);
  };
  ASSERT_TRUE(
      entry.RunUntil(kLimit, [&] { return entry.platform.held_gets() == 1; }));
  write_open_row("entry-other");
  ASSERT_TRUE(entry.RunUntil(kLimit, [&] { return jobs.running() == 0; }));
  write_open_row("");
  ASSERT_TRUE(
      entry.RunUntil(kLimit, [&] { return entry.platform.held_gets() == 2; }));
  entry.platform.ReleaseHeldGets();
  const auto is_closed = [&] {
    return entry.platform.table.Row(OpenJobRowKey(job.id)).version == 0;
  };
  ASSERT_TRUE(entry.RunUntil(kLimit, is_closed));
  const auto stored =
      DecodeJobRecord(entry.platform.table.Row(JobRowKey(job.id)).value);
  EXPECT_EQ(stored->result, ScriptedEngine::Text(3));
  EXPECT_EQ(requests, 1);
}

TEST_F(JobRunnerTest, JobOfAnEarlierVersionIsRun) {
  entry_.AddEngine([](const Node::Exchange& exchange, const Json& body) {
    ScriptedEngine::Complete(*exchange, body);
  });
  JobRecord job = MakeJob(EntryHarness::Body(3));
  entry_.platform.objects["jobs/j/request"] = std::exchange(job.request, "");
  job.request_in_object = true;
  entry_.platform.table.Apply(InsertJob(job));
  ASSERT_TRUE(entry_.RunUntil(kLimit, [this] { return IsClosed(); }));
  EXPECT_EQ(Stored()->result, ScriptedEngine::Text(3));
}

}  // namespace
}  // namespace corianderlink
