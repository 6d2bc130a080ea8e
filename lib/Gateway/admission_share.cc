// One gateway's share of the engines' work.
#include "corianderlink/Gateway/admission_share.h"

#include <algorithm>

namespace corianderlink {
namespace {

// Room for arrivals that are not even over the gateways.
constexpr double kRoom = 1.25;
// Work that may be sent at once, as time of all engines.
constexpr double kBurstMs = 60;

}  // namespace

void AdmissionShare::Earn(Time now, size_t engines, size_t gateways) {
  const double share = kRoom * static_cast<double>(engines) /
                       static_cast<double>(std::max<size_t>(gateways, 1));
  left_ms_ =
      std::min(left_ms_ + ToMillis(now - earned_at_) * share, kBurstMs * share);
  earned_at_ = std::max(earned_at_, now);
}

}  // namespace corianderlink
