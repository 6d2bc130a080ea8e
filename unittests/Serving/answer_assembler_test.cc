// Proof: a caller gets its whole answer once and in order, although chunks
// come late, doubled and reordered, also from attempts that were given up.
#include "corianderlink/Serving/answer_assembler.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "Common/fault.h"
#include "Common/virtual_loop.h"
#include "corianderlink/Serving/resume_marker.h"
#include "corianderlink/Serving/sse_parser.h"

namespace corianderlink {
namespace {

constexpr uint64_t kTokens = 20;

/// One chunk on its way.
struct Chunk {
  int attempt = 0;
  uint64_t offset = 0;
  std::string text;
};

// Chunks of two attempts; the second continues where the first was given up.
std::vector<Chunk> RandomArrivals(VirtualLoop& random, uint64_t given_up_at) {
  std::vector<Chunk> chunks;
  for (uint64_t i = 0; i < kTokens; ++i) {
    const std::string text = "t" + std::to_string(i) + " ";
    if (i < given_up_at + 3) chunks.push_back({1, i, text});
    if (i >= given_up_at) chunks.push_back({2, i, text});
    if (random.Chance(0.2)) chunks.push_back({2, i, text});
  }
  // Reorders within a few places.
  for (size_t i = 0; i + 1 < chunks.size(); ++i) {
    const size_t other =
        std::min(chunks.size() - 1, i + static_cast<size_t>(random.Pick(4)));
    std::swap(chunks[i], chunks[other]);
  }
  return chunks;
}

std::string Expected() {
  std::string text;
  for (uint64_t i = 0; i < kTokens; ++i) text += "t" + std::to_string(i) + " ";
  return text;
}

std::string RunOurs(const Schedule& schedule) {
  VirtualLoop random(schedule.seed);
  const auto given_up_at = static_cast<uint64_t>(random.Pick(kTokens));
  const std::vector<Chunk> chunks = RandomArrivals(random, given_up_at);
  AnswerAssembler assembler(0);
  const AttemptNumber first = assembler.StartAttempt();
  std::string text;
  const auto take = [&](AttemptNumber attempt, const Chunk& chunk) {
    for (const std::string& ready :
         assembler.OnChunk(attempt, chunk.offset, chunk.text)) {
      text += ready;
    }
  };
  for (uint64_t i = 0; i < given_up_at; ++i) {
    take(first, {1, i, "t" + std::to_string(i) + " "});
  }
  const AttemptNumber second = assembler.StartAttempt();
  for (const Chunk& chunk : chunks) {
    // What the first attempt still sends differs, to show that it is dropped.
    if (chunk.attempt == 1) take(first, {1, chunk.offset, "stale "});
    if (chunk.attempt == 2) take(second, chunk);
  }
  if (assembler.complete()) return "complete without an explicit end";
  assembler.OnEnd(first, 1);
  if (assembler.complete()) return "ended by a stale attempt";
  assembler.OnEnd(second, kTokens);
  if (!assembler.complete()) return "not complete";
  return text == Expected() ? "" : "wrong text";
}

// Naive version: appends what arrives.
std::string RunNaive(const Schedule& schedule) {
  VirtualLoop random(schedule.seed);
  const auto given_up_at = static_cast<uint64_t>(random.Pick(kTokens));
  std::string text;
  for (uint64_t i = 0; i < given_up_at; ++i) {
    text += "t" + std::to_string(i) + " ";
  }
  for (const Chunk& chunk : RandomArrivals(random, given_up_at)) {
    text += chunk.text;
  }
  return text == Expected() ? "" : "wrong text";
}

TEST(AnswerProof, WholeAnswerOnceAndInOrder) {
  const auto gen = GenSchedule(1, 1, 10);
  const ProofTotals naive = RunSchedules(gen, RunNaive);
  const ProofTotals ours = RunSchedules(gen, RunOurs);
  PrintProof("whole-answer", naive, ours);
  EXPECT_GT(naive.violations, 0u);
  EXPECT_EQ(ours.violations, 0u) << ours.first_violation;
}

TEST(ResumeMarkerTest, ReadsBackAndRefusesOthers) {
  const AccountId account("a");
  const RequestId request = MakeRequestId("0123456789abcdef", account, "body");
  const auto marker =
      DecodeResumeMarker(EncodeResumeMarker({EngineId("e~1"), request, 17}));
  ASSERT_TRUE(marker);
  EXPECT_EQ(marker->engine, EngineId("e~1"));
  EXPECT_EQ(marker->request, request);
  EXPECT_EQ(marker->next_offset, 17u);
  EXPECT_TRUE(BelongsTo(request, account, "body"));
  EXPECT_FALSE(BelongsTo(request, account, "other"));
  EXPECT_FALSE(BelongsTo(request, AccountId("b"), "body"));
  for (const char* text : {"", "~", "~~", "a~b", "a~b~c", "a~b~-1", "a~b~1x",
                           "a~b HTTP/1.1~1", "a~../x~1"}) {
    EXPECT_FALSE(DecodeResumeMarker(text)) << text;
  }
}

TEST(SseParserTest, SplitsEventsAtAnyByte) {
  const std::string stream =
      "id: 1\r\ndata: {\"a\":1}\n\n: comment\ndata: x\ndata: y\n\ndata: "
      "[DONE]\n\n";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    SseParser parser;
    std::vector<SseEvent> events;
    for (const std::string& part :
         {stream.substr(0, cut), stream.substr(cut)}) {
      ASSERT_TRUE(parser.Feed(part));
      while (const auto event = parser.Next()) events.push_back(*event);
    }
    ASSERT_EQ(events.size(), 3u) << cut;
    EXPECT_EQ(events[0].id, "1");
    EXPECT_EQ(events[0].data, "{\"a\":1}");
    EXPECT_EQ(events[1].data, "x\ny");
    EXPECT_EQ(events[2].data, "[DONE]");
  }
  SseParser parser;
  EXPECT_FALSE(parser.Feed(std::string(2 * 1024 * 1024, 'x')));
}

}  // namespace
}  // namespace corianderlink
