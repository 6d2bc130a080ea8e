// Estimate of the timeout of a route's clients.
#include "corianderlink/Gateway/client_timeout_estimate.h"

#include <algorithm>

namespace corianderlink {
namespace {

// First attempts have at least this fraction of the estimated timeout left.
constexpr double kMinFirstAttemptFraction = 0.82;

}  // namespace

void ClientTimeoutEstimate::Add(Duration timeout) {
  samples_[added_++ % kSampleCount] = timeout;
}

Duration ClientTimeoutEstimate::Value() const {
  const size_t count = std::min(added_, kSampleCount);
  if (count == 0) return Duration::zero();
  std::array<Duration, kSampleCount> sorted = samples_;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
  const auto quartile =
      sorted.begin() + static_cast<std::ptrdiff_t>(count * 3 / 4);
  std::nth_element(sorted.begin(), quartile, end);
  return *quartile;
}

Duration ClientTimeoutEstimate::Elapsed(Duration time_left) const {
  const Duration estimate = Value();
  const bool first_attempt =
      ToSeconds(time_left) >= kMinFirstAttemptFraction * ToSeconds(estimate);
  return first_attempt ? Duration::zero() : estimate - time_left;
}

}  // namespace corianderlink
