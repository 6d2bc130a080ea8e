// Reassembles a streamed response in order across retried attempts.
#include "corianderlink/Serving/response_assembler.h"

#include <utility>

namespace corianderlink {

AttemptNumber ResponseAssembler::StartAttempt() {
  waiting_.clear();
  ended_ = false;
  return ++attempt_;
}

std::vector<std::string> ResponseAssembler::OnChunk(AttemptNumber attempt,
                                                    uint64_t offset,
                                                    std::string chunk) {
  std::vector<std::string> ready;
  if (attempt != attempt_ || offset < next_) return ready;
  if (offset > next_) {
    if (waiting_.size() < kMaxBufferedChunks) {
      waiting_.emplace(offset, std::move(chunk));
    }
    return ready;
  }
  ready.push_back(std::move(chunk));
  ++next_;
  auto it = waiting_.begin();
  while (it != waiting_.end() && it->first == next_) {
    ready.push_back(std::move(it->second));
    ++next_;
    it = waiting_.erase(it);
  }
  return ready;
}

void ResponseAssembler::OnEnd(AttemptNumber attempt, uint64_t end) {
  if (attempt != attempt_) return;
  ended_ = true;
  end_ = end;
}

}  // namespace corianderlink
