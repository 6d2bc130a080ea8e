// Memory for the bodies of requests, over all connections.
#ifndef CORIANDERLINK_HTTP_REQUEST_MEMORY_H_
#define CORIANDERLINK_HTTP_REQUEST_MEMORY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace corianderlink {

/// Bytes of bodies that all requests of a process hold or have announced.  The
/// limit of a single body does not bound the process: their number is large.
class RequestMemory {
 public:
  /// A reserve is added to the capacity: capacity / this.
  static constexpr uint64_t kReserveDivisor = 4;
  /// A body goes into the reserve if this many of its length would.  So when
  /// long bodies can have no more of it, shorter ones can.
  static constexpr uint64_t kReserveFactor = 8;

  /// `capacity` is in bytes.
  explicit RequestMemory(uint64_t capacity) : capacity_(capacity) {}

  uint64_t held() const { return held_; }

 private:
  friend class HeldRequest;
  /// Bytes that others would have to give back for one more body of this
  /// length.
  uint64_t Missing(uint64_t others, uint64_t bytes) const {
    const auto above = [](uint64_t held, uint64_t limit) {
      return held > limit ? held - limit : 0;
    };
    const uint64_t reserve = capacity_ / kReserveDivisor;
    return std::min(
        above(others + bytes, capacity_),
        above(others + kReserveFactor * bytes, capacity_ + reserve));
  }

  const uint64_t capacity_;
  uint64_t held_ = 0;
};

/// The part of one request, given back by the destructor.
class HeldRequest {
 public:
  /// Without `memory` there is no limit.
  explicit HeldRequest(std::shared_ptr<RequestMemory> memory = nullptr)
      : memory_(std::move(memory)) {}
  HeldRequest(HeldRequest&& other) noexcept
      : memory_(std::move(other.memory_)),
        bytes_(std::exchange(other.bytes_, 0)) {}
  HeldRequest& operator=(HeldRequest&& other) noexcept {
    std::swap(memory_, other.memory_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~HeldRequest() {
    if (memory_) memory_->held_ -= bytes_;
  }

  /// Holds `bytes` in all.  Returns false, and holds what it held, if there is
  /// no room for them.
  bool TryHold(uint64_t bytes) {
    if (!memory_ || bytes <= bytes_) return true;
    if (Missing(bytes) > 0) return false;
    memory_->held_ += bytes - bytes_;
    bytes_ = bytes;
    return true;
  }
  /// Bytes that others would have to give back for this one to hold `bytes`.
  uint64_t Missing(uint64_t bytes) const {
    if (!memory_ || bytes <= bytes_) return 0;
    return memory_->Missing(memory_->held_ - bytes_, bytes);
  }

 private:
  std::shared_ptr<RequestMemory> memory_;
  uint64_t bytes_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_REQUEST_MEMORY_H_
