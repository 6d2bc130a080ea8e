// Limits the prefill work on decode engines that generate streams.
#include "corianderlink/Gateway/interference_limit.h"

#include <algorithm>

namespace corianderlink {
namespace {

// The limit settles where one stream in eleven misses its gap objective.
constexpr double kDecreaseFactor = 0.9;
constexpr double kIncreaseFactor = 1.01;
constexpr double kMinFraction = 0.02;
constexpr double kMaxFraction = 1;

}  // namespace

void InterferenceLimit::OnStreamEnd(double gap_fraction) {
  const double change = gap_fraction > 1 ? kDecreaseFactor : kIncreaseFactor;
  fraction_ = std::clamp(fraction_ * change, kMinFraction, kMaxFraction);
}

}  // namespace corianderlink
