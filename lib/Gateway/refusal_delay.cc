// When the client of a refused request may come back.
#include "corianderlink/Gateway/refusal_delay.h"

#include <algorithm>

namespace corianderlink {
namespace {

// Bounds of the delay, as a share of the total time.  A retry after a refusal
// has missed its latency objective anyway.
constexpr double kMinShare = 0.15;
constexpr double kMaxShare = 0.32;

}  // namespace

Duration RefusalDelay(Duration total_time, Duration least,
                      RandomSource& random) {
  const double share = kMinShare + (kMaxShare - kMinShare) * random.Uniform();
  return std::max(least, FromSeconds(ToSeconds(total_time) * share));
}

}  // namespace corianderlink
