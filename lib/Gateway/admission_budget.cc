// Adaptive token bucket for one gateway's prefill work.
#include "corianderlink/Gateway/admission_budget.h"

#include <algorithm>

namespace corianderlink {
namespace {

// Bounds of the admission rate per engine.
constexpr double kMinRatePerEngine = 0.5;
constexpr double kMaxRatePerEngine = 4;
// A prompt computed within this fraction of its allowed time shows that the
// engines have spare capacity.
constexpr double kEarlyFraction = 0.5;
// Changes of the rate for each such prompt and for each late one.
constexpr double kIncreaseFactor = 1.03;
constexpr double kDecreaseFactor = 0.95;
// The rate adapts under overload only: this long after a refusal.
constexpr Duration kOverloadWindow = seconds(1);
// The budget accumulates over at most this time.
constexpr double kBurstMs = 60;

}  // namespace

void AdmissionBudget::Refill(Time now, size_t engines, size_t gateways) {
  const double refill_rate = rate_per_engine_ * static_cast<double>(engines) /
                             static_cast<double>(std::max<size_t>(gateways, 1));
  budget_ms_ = std::min(budget_ms_ + ToMillis(now - last_refill_) * refill_rate,
                        kBurstMs * refill_rate);
  last_refill_ = std::max(last_refill_, now);
}

void AdmissionBudget::OnPrefillComplete(Time now, double time_fraction) {
  if (now - last_refusal_ > kOverloadWindow) return;
  double change = 1;
  if (time_fraction < kEarlyFraction) change = kIncreaseFactor;
  if (time_fraction > 1) change = kDecreaseFactor;
  rate_per_engine_ = std::clamp(rate_per_engine_ * change, kMinRatePerEngine,
                                kMaxRatePerEngine);
}

}  // namespace corianderlink
