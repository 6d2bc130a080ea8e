// Checks that a client receives the whole response once and in order when
// chunks are delayed, duplicated or reordered, or come from an abandoned
// attempt.
#include "corianderlink/Serving/response_assembler.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "Common/fault.h"
#include "Common/virtual_loop.h"
#include "corianderlink/Serving/resume_marker.h"
#include "corianderlink/Serving/sse_parser.h"

namespace corianderlink {
namespace {

constexpr uint64_t kTokens = 20;

/// One chunk in transit.
struct Chunk {
  int attempt = 0;
  uint64_t offset = 0;
  std::string text;
};

// Chunks of two attempts; the second continues where the first was abandoned.
std::vector<Chunk> RandomArrivals(VirtualLoop& random, uint64_t abandoned_at) {
  std::vector<Chunk> chunks;
  for (uint64_t i = 0; i < kTokens; ++i) {
    const std::string text = "t" + std::to_string(i) + " ";
    if (i < abandoned_at + 3) chunks.push_back({1, i, text});
    if (i >= abandoned_at) chunks.push_back({2, i, text});
    if (random.RandomBool(0.2)) chunks.push_back({2, i, text});
  }
  // Swaps each chunk with one that is at most three positions later.
  for (size_t i = 0; i + 1 < chunks.size(); ++i) {
    const size_t other = std::min(
        chunks.size() - 1, i + static_cast<size_t>(random.RandomIndex(4)));
    std::swap(chunks[i], chunks[other]);
  }
  return chunks;
}

std::string ExpectedText() {
  std::string text;
  for (uint64_t i = 0; i < kTokens; ++i) text += "t" + std::to_string(i) + " ";
  return text;
}

std::string RunAssembler(const Schedule& schedule) {
  VirtualLoop random(schedule.seed);
  const auto abandoned_at = static_cast<uint64_t>(random.RandomIndex(kTokens));
  const std::vector<Chunk> chunks = RandomArrivals(random, abandoned_at);
  ResponseAssembler assembler(0);
  const AttemptNumber first_attempt = assembler.StartAttempt();
  std::string text;
  const auto feed = [&](AttemptNumber attempt, const Chunk& chunk) {
    for (const std::string& ready :
         assembler.OnChunk(attempt, chunk.offset, chunk.text)) {
      text += ready;
    }
  };
  for (uint64_t i = 0; i < abandoned_at; ++i) {
    feed(first_attempt, {1, i, "t" + std::to_string(i) + " "});
  }
  const AttemptNumber second_attempt = assembler.StartAttempt();
  for (const Chunk& chunk : chunks) {
    // Late chunks of the first attempt carry a different text, so that a chunk
    // that was not dropped shows up in the result.
    if (chunk.attempt == 1) feed(first_attempt, {1, chunk.offset, "stale "});
    if (chunk.attempt == 2) feed(second_attempt, chunk);
  }
  if (assembler.complete()) return "complete without an explicit end";
  assembler.OnEnd(first_attempt, 1);
  if (assembler.complete()) return "ended by a stale attempt";
  assembler.OnEnd(second_attempt, kTokens);
  if (!assembler.complete()) return "not complete";
  return text == ExpectedText() ? "" : "wrong text";
}

// Baseline without reassembly: appends chunks in order of arrival.
std::string RunNaiveConcatenation(const Schedule& schedule) {
  VirtualLoop random(schedule.seed);
  const auto abandoned_at = static_cast<uint64_t>(random.RandomIndex(kTokens));
  std::string text;
  for (uint64_t i = 0; i < abandoned_at; ++i) {
    text += "t" + std::to_string(i) + " ";
  }
  for (const Chunk& chunk : RandomArrivals(random, abandoned_at)) {
    text += chunk.text;
  }
  return text == ExpectedText() ? "" : "wrong text";
}

TEST(AnswerProof, WholeAnswerOnceAndInOrder) {
  const auto gen = GenSchedule(1, 1, 10);
  const ProofTotals naive = RunSchedules(gen, RunNaiveConcatenation);
  const ProofTotals tested = RunSchedules(gen, RunAssembler);
  PrintProof("whole-answer", naive, tested);
  EXPECT_GT(naive.violations, 0u);
  EXPECT_EQ(tested.violations, 0u) << tested.first_violation;
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
  EXPECT_TRUE(IsBoundTo(request, account, "body"));
  EXPECT_FALSE(IsBoundTo(request, account, "other"));
  EXPECT_FALSE(IsBoundTo(request, AccountId("b"), "body"));
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
