// Puts the chunks of an answer in order across attempts.
#ifndef CORIANDERLINK_SERVING_ANSWER_ASSEMBLER_H_
#define CORIANDERLINK_SERVING_ANSWER_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corianderlink {

/// Number of an attempt of one request; grows with each attempt.
using AttemptNumber = uint32_t;

/// Accepts chunks with their offset in tokens, late, doubled or reordered, and
/// hands out each offset once, in order.  Chunks of older attempts are dropped.
class AnswerAssembler {
 public:
  /// The answer is wanted from `offset` on.
  explicit AnswerAssembler(uint64_t offset) : next_(offset) {}

  /// Starts a new attempt; what the older ones still send is dropped.
  AttemptNumber StartAttempt();

  /// Returns the chunks that became deliverable, in order.
  std::vector<std::string> OnChunk(AttemptNumber attempt, uint64_t offset,
                                   std::string chunk);

  /// The engine said that the answer ends after `end` tokens.
  void OnEnd(AttemptNumber attempt, uint64_t end);

  /// True once every chunk up to the explicit end was handed out.
  bool complete() const { return ended_ && next_ >= end_; }
  /// Offset of the next chunk to hand out.
  uint64_t next_offset() const { return next_; }

 private:
  /// Chunks that may wait for a missing one.
  static constexpr size_t kMaxWaiting = 1024;

  uint64_t next_;
  AttemptNumber attempt_ = 0;
  bool ended_ = false;
  uint64_t end_ = 0;
  std::map<uint64_t, std::string> waiting_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_ANSWER_ASSEMBLER_H_
