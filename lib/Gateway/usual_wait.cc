// The usual wait of a route's clients.
#include "corianderlink/Gateway/usual_wait.h"

#include <algorithm>

namespace corianderlink {
namespace {

// First attempts wait for at least this share of the usual time.
constexpr double kFirstAttemptShare = 0.82;

}  // namespace

void UsualWait::Add(Duration wait) { latest_[added_++ % kKept] = wait; }

Duration UsualWait::Value() const {
  const size_t count = std::min(added_, kKept);
  if (count == 0) return Duration::zero();
  std::array<Duration, kKept> sorted = latest_;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
  const auto quartile =
      sorted.begin() + static_cast<std::ptrdiff_t>(count * 3 / 4);
  std::nth_element(sorted.begin(), quartile, end);
  return *quartile;
}

Duration UsualWait::Elapsed(Duration wait) const {
  const Duration usual = Value();
  const bool first_attempt =
      ToSeconds(wait) >= kFirstAttemptShare * ToSeconds(usual);
  return first_attempt ? Duration::zero() : usual - wait;
}

}  // namespace corianderlink
