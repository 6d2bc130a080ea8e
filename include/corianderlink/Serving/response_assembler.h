// Reassembles a streamed response in order across retried attempts.
#ifndef CORIANDERLINK_SERVING_RESPONSE_ASSEMBLER_H_
#define CORIANDERLINK_SERVING_RESPONSE_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corianderlink {

/// Number of an attempt of one request; grows with each attempt.
using AttemptNumber = uint32_t;

/// Accepts chunks that may be delayed, duplicated or reordered, and hands
/// out the chunk at each token offset once, in order.  Chunks of older attempts
/// are dropped.
class ResponseAssembler {
 public:
  /// `offset` is the first token offset to deliver.
  explicit ResponseAssembler(uint64_t offset) : next_(offset) {}

  /// Starts a new attempt; later chunks of earlier attempts are dropped.
  AttemptNumber StartAttempt();

  /// Returns the chunks that became deliverable, in order.
  std::vector<std::string> OnChunk(AttemptNumber attempt, uint64_t offset,
                                   std::string chunk);

  /// Records that the engine ended the response at token offset `end`.
  void OnEnd(AttemptNumber attempt, uint64_t end);

  /// True once every chunk up to the explicit end was handed out.
  bool complete() const { return ended_ && next_ >= end_; }
  /// Offset of the next chunk to hand out.
  uint64_t next_offset() const { return next_; }

 private:
  /// Maximum number of out-of-order chunks to buffer; further ones are dropped.
  static constexpr size_t kMaxBufferedChunks = 1024;

  uint64_t next_;
  AttemptNumber attempt_ = 0;
  bool ended_ = false;
  uint64_t end_ = 0;
  std::map<uint64_t, std::string> waiting_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_RESPONSE_ASSEMBLER_H_
