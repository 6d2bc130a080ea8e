// How long the requests of a route have taken lately.
#include "corianderlink/Gateway/serving_times.h"

#include <algorithm>
#include <bit>

namespace corianderlink {
namespace {

// Samples are forgotten after one to two windows.
constexpr Duration kWindow = seconds(30);
// Bounds what is derived from a smaller request.
constexpr Duration kLongestTime = std::chrono::hours(24);

}  // namespace

size_t ServingTimes::SizeClassOf(uint32_t output_tokens) {
  const auto width = static_cast<size_t>(std::bit_width(output_tokens));
  return std::min(width, kSizeClasses - 1);
}

void ServingTimes::Rotate(Time now) {
  const Duration age = now - current_since_;
  if (age < kWindow) return;
  previous_ = age < 2 * kWindow ? current_ : Window{};
  current_ = {};
  current_since_ = now;
}

void ServingTimes::Add(Time now, uint32_t output_tokens, Duration taken) {
  Rotate(now);
  std::optional<Sample>& longest = current_[SizeClassOf(output_tokens)];
  if (!longest || taken > longest->taken) longest = {output_tokens, taken};
}

void ServingTimes::AddBrokenOff(Time now, uint32_t output_tokens,
                                Duration taken) {
  const auto longest = Longest(now, output_tokens);
  if (longest && taken > *longest) Add(now, output_tokens, taken);
}

std::optional<ServingTimes::Sample> ServingTimes::Find(
    Time now, size_t size_class) const {
  const Duration age = now - current_since_;
  std::optional<Sample> longest;
  if (age < 2 * kWindow) longest = current_[size_class];
  if (age >= kWindow) return longest;
  const std::optional<Sample>& earlier = previous_[size_class];
  if (!longest || (earlier && earlier->taken > longest->taken)) return earlier;
  return longest;
}

std::optional<Duration> ServingTimes::GrownFromSmaller(
    Time now, uint32_t output_tokens) const {
  for (size_t size_class = SizeClassOf(output_tokens) + 1; size_class-- > 0;) {
    const auto sample = Find(now, size_class);
    if (!sample) continue;
    const double growth =
        static_cast<double>(output_tokens) /
        static_cast<double>(std::max<uint32_t>(1, sample->output_tokens));
    const double grown_s = ToSeconds(sample->taken) * std::max(1.0, growth);
    return FromSeconds(std::min(grown_s, ToSeconds(kLongestTime)));
  }
  return std::nullopt;
}

std::optional<Duration> ServingTimes::TakenByLarger(
    Time now, uint32_t output_tokens) const {
  for (size_t i = SizeClassOf(output_tokens) + 1; i < kSizeClasses; ++i) {
    const auto sample = Find(now, i);
    if (sample) return sample->taken;
  }
  return std::nullopt;
}

std::optional<Duration> ServingTimes::Longest(Time now,
                                              uint32_t output_tokens) const {
  if (const auto own = Find(now, SizeClassOf(output_tokens)); own) {
    return GrownFromSmaller(now, output_tokens);
  }
  const auto grown = GrownFromSmaller(now, output_tokens);
  const auto bound = TakenByLarger(now, output_tokens);
  if (grown && bound) return std::min(*grown, *bound);
  return grown ? grown : bound;
}

}  // namespace corianderlink
