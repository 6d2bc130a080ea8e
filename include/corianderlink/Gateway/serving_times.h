// How long the requests of a route have taken lately.
//
// A stopping gateway takes only what will probably end before it does.
#ifndef CORIANDERLINK_GATEWAY_SERVING_TIMES_H_
#define CORIANDERLINK_GATEWAY_SERVING_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "corianderlink/Support/time.h"

namespace corianderlink {

class ServingTimes {
 public:
  /// A request that may have generated up to `output_tokens` (0 for a plain
  /// one) was served in full `taken` after its arrival.
  void Add(Time now, uint32_t output_tokens, Duration taken);
  /// Such a request has failed or was broken off, and would have taken longer;
  /// that alone tells no bound.
  void AddBrokenOff(Time now, uint32_t output_tokens, Duration taken);
  /// The longest time that such a request has taken lately.  A larger one that
  /// has ended bounds it from above; from a smaller one the time grows with the
  /// tokens.  Empty if none has ended lately.
  std::optional<Duration> Longest(Time now, uint32_t output_tokens) const;

 private:
  struct Sample {
    uint32_t output_tokens = 0;
    Duration taken{};
  };
  // By the binary magnitude of the tokens; larger ones share the last class.
  static constexpr size_t kSizeClasses = 20;
  using Window = std::array<std::optional<Sample>, kSizeClasses>;

  static size_t SizeClassOf(uint32_t output_tokens);
  /// The longer of both windows.
  std::optional<Sample> Find(Time now, size_t size_class) const;
  /// From the longest of the own size class or the next smaller one that has
  /// any.
  std::optional<Duration> GrownFromSmaller(Time now,
                                           uint32_t output_tokens) const;
  std::optional<Duration> TakenByLarger(Time now, uint32_t output_tokens) const;
  void Rotate(Time now);

  Window current_;
  Window previous_;
  Time current_since_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_SERVING_TIMES_H_
