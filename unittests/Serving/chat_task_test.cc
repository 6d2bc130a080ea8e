// Tests of model requests whose engines refuse, fall silent or fail.
#include "corianderlink/Serving/chat_task.h"

#include <gtest/gtest.h>

#include "Serving/entry_harness.h"

namespace corianderlink {
namespace {

constexpr seconds kLimit{8};

RequestSettings ShortIdle() {
  RequestSettings requests;
  requests.stream_idle = milliseconds(100);
  return requests;
}

TEST(ChatTaskTest, StartedStreamIsNotCutWhileEnginesRefuseIt) {
  EntryHarness entry;
  int refusals = 0;
  const auto script = [&](const Node::Exchange& exchange, const Json& body) {
    if (!body.contains("continue_at")) {
      ScriptedEngine::SendTokens(*exchange, 0, 2);
      return exchange->EndStream();
    }
    if (++refusals <= 12) return ScriptedEngine::Refuse(*exchange);
    ScriptedEngine::Complete(*exchange, body);
  };
  entry.AddEngine(script);
  entry.AddEngine(script);
  ClientView view;
  entry.StartChat(view, 5);
  ASSERT_TRUE(entry.RunUntil(kLimit, [&] { return view.result.has_value(); }));
  EXPECT_EQ(view.result->status, 200) << view.result->outcome.reason;
  EXPECT_EQ(view.text, ScriptedEngine::Text(5));
}

TEST(ChatTaskTest, StreamGoesOnAtItsOnlyEngineAfterAStandstill) {
  EntryHarness entry(ShortIdle());
  entry.AddEngine([&](const Node::Exchange& exchange, const Json& body) {
    if (body.contains("continue_at")) {
      return ScriptedEngine::Complete(*exchange, body);
    }
    ScriptedEngine::SendTokens(*exchange, 0, 2);
  });
  ClientView view;
  entry.StartChat(view, 5);
  ASSERT_TRUE(entry.RunUntil(kLimit, [&] { return view.result.has_value(); }));
  EXPECT_EQ(view.result->status, 200) << view.result->outcome.reason;
  EXPECT_EQ(view.text, ScriptedEngine::Text(5));
}

TEST(ChatTaskTest, StartedStreamIsNotCutByAFullQueue) {
  LimitSettings limits;
  limits.max_queued_requests = 2;
  EntryHarness entry({}, limits);
  std::vector<Node::Exchange> held;
  const auto script = [&](const Node::Exchange& exchange, const Json& body) {
    if (body.contains("continue_at")) {
      return ScriptedEngine::Complete(*exchange, body);
    }
    ScriptedEngine::SendTokens(*exchange, 0, 2);
    held.push_back(exchange);
  };
  // An engine takes two requests beyond a full batch.
  entry.AddEngine(script, /*max_batch=*/1);
  ClientView started;
  ClientView others[3];
  entry.StartChat(started, 5);
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_TRUE(entry.RunUntil(kLimit, [&] { return held.size() == i + 1; }));
    entry.StartChat(others[i], 5);
  }
  held[0]->EndStream();
  ASSERT_TRUE(entry.RunUntil(kLimit, [&] { return held.size() == 4; }));
  ClientView last;
  entry.StartChat(last, 5);
  entry.RunUntil(milliseconds(200), [] { return false; });
  for (size_t i = 1; i < held.size(); ++i) held[i]->EndStream();
  ASSERT_TRUE(
      entry.RunUntil(kLimit, [&] { return started.result.has_value(); }));
  EXPECT_EQ(started.result->status, 200) << started.result->outcome.reason;
}

TEST(ChatTaskTest, StartedStreamIsNotCutForLackOfRetryBudget) {
  EntryHarness entry;
  while (entry.scheduler.retry_budget().TryRetry()) {
  }
  const auto script = [&](const Node::Exchange& exchange, const Json& body) {
    if (body.contains("continue_at")) {
      return ScriptedEngine::Complete(*exchange, body);
    }
    ScriptedEngine::SendTokens(*exchange, 0, 2);
    exchange->EndStream();
  };
  entry.AddEngine(script);
  entry.AddEngine(script);
  ClientView view;
  entry.StartChat(view, 5);
  EXPECT_FALSE(entry.RunUntil(milliseconds(300),
                              [&] { return view.result.has_value(); }));
  for (int i = 0; i < 20; ++i) entry.scheduler.retry_budget().OnSuccess();
  ASSERT_TRUE(entry.RunUntil(kLimit, [&] { return view.result.has_value(); }));
  EXPECT_EQ(view.result->status, 200) << view.result->outcome.reason;
}

TEST(ChatTaskTest, MovesOfAStreamDoNotCountAsFailures) {
  EntryHarness entry;
  int starts = 0;
  const auto script = [&](const Node::Exchange& exchange, const Json& body) {
    const uint64_t at = body.value("continue_at", uint64_t{0});
    if (++starts > 10) return ScriptedEngine::Complete(*exchange, body);
    ScriptedEngine::SendTokens(*exchange, at, at + 1);
    if (starts == 10) exchange->EndStream();
  };
  entry.AddEngine(script);
  entry.AddEngine(script);
  ClientView view;
  const auto task = entry.StartChat(view, 20);
  for (uint64_t moved = 0; moved < 9; ++moved) {
    ASSERT_TRUE(entry.RunUntil(
        kLimit, [&] { return task->delivered_tokens() == moved + 1; }));
    task->Preempt();
  }
  ASSERT_TRUE(entry.RunUntil(kLimit, [&] { return view.result.has_value(); }));
  EXPECT_EQ(view.result->status, 200) << view.result->outcome.reason;
  EXPECT_EQ(starts, 11);
}

TEST(ChatTaskTest, RequestThatReachedAnEngineIsNeverCalledNotRun) {
  EntryHarness entry;
  ScriptedEngine& engine =
      entry.AddEngine([](const Node::Exchange&, const Json&) {});
  ClientView view;
  const auto task = entry.StartChat(view, 5);
  ASSERT_TRUE(entry.RunUntil(kLimit, [&] { return engine.requests == 1; }));
  task->Preempt();
  task->Refuse(503, "No engine in time", "", std::nullopt);
  ASSERT_TRUE(view.result.has_value());
  EXPECT_EQ(view.result->outcome.verdict, Verdict::kMayHaveRun);
}

TEST(ChatTaskTest, ErrorOfAnEngineIsNeverCalledNotRun) {
  EntryHarness entry;
  entry.AddEngine([](const Node::Exchange& exchange, const Json&) {
    exchange->Reply(500, "application/json", "{}");
  });
  ClientView view;
  entry.StartChat(view, 5);
  ASSERT_TRUE(entry.RunUntil(kLimit, [&] { return view.result.has_value(); }));
  EXPECT_EQ(view.result->outcome.verdict, Verdict::kMayHaveRun);
}

}  // namespace
}  // namespace corianderlink
