// One gateway's share of the engines' work.
#include "corianderlink/Gateway/admission_share.h"

#include <algorithm>

namespace corianderlink {
namespace {

// Bounds of the room.
constexpr double kLeastRoom = 0.5;
constexpr double kMostRoom = 4;
// A prompt that used less than this share of its time says that more fits.
constexpr double kRelaxed = 0.5;
// Growth for such a prompt, and shrinkage for one that was late.
constexpr double kGrowth = 1.03;
constexpr double kShrinkage = 0.95;
// The room is learned in floods: this long after a refusal.
constexpr Duration kFloodTime = seconds(1);
// Work that may be sent at once, as time of all engines.
constexpr double kBurstMs = 60;

}  // namespace

void AdmissionShare::Earn(Time now, size_t engines, size_t gateways) {
  const double share = room_ * static_cast<double>(engines) /
                       static_cast<double>(std::max<size_t>(gateways, 1));
  left_ms_ =
      std::min(left_ms_ + ToMillis(now - earned_at_) * share, kBurstMs * share);
  earned_at_ = std::max(earned_at_, now);
}

void AdmissionShare::OnPrefillComplete(Time now, double used) {
  if (now - refused_at_ > kFloodTime) return;
  double change = 1;
  if (used < kRelaxed) change = kGrowth;
  if (used > 1) change = kShrinkage;
  room_ = std::clamp(room_ * change, kLeastRoom, kMostRoom);
}

}  // namespace corianderlink
