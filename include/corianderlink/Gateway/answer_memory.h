// Memory for answers that have yet to go to their clients.
#ifndef CORIANDERLINK_GATEWAY_ANSWER_MEMORY_H_
#define CORIANDERLINK_GATEWAY_ANSWER_MEMORY_H_

#include <algorithm>
#include <cstddef>

namespace corianderlink {

/// Bytes of answers that all requests of a gateway hold together.  Bounds of
/// single answers do not bound the process: their number is large.
class AnswerMemory {
 public:
  /// What each answer may hold at any time, in bytes.
  static constexpr size_t kAlwaysHeld = 16 * 1024;

  /// `capacity` is in bytes.
  explicit AnswerMemory(size_t capacity) : capacity_(capacity) {}

  size_t held() const { return held_; }
  /// Bytes that one answer may hold now, of the `most` that it ever may.
  size_t LimitFor(size_t most) const {
    return held_ < capacity_ ? most : std::min(most, kAlwaysHeld);
  }

 private:
  friend class HeldAnswer;
  const size_t capacity_;
  size_t held_ = 0;
};

/// The part of one answer.  Whoever holds it sets it to 0 at the end; the
/// memory may be gone when this object is destroyed.
class HeldAnswer {
 public:
  explicit HeldAnswer(AnswerMemory& memory) : memory_(memory) {}
  HeldAnswer(const HeldAnswer&) = delete;
  HeldAnswer& operator=(const HeldAnswer&) = delete;

  void Set(size_t bytes) {
    memory_.held_ += bytes;
    memory_.held_ -= bytes_;
    bytes_ = bytes;
  }
  size_t LimitFor(size_t most) const { return memory_.LimitFor(most); }

 private:
  AnswerMemory& memory_;
  size_t bytes_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ANSWER_MEMORY_H_
