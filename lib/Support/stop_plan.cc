// The times of a planned stop.
#include "corianderlink/Support/stop_plan.h"

#include <algorithm>

namespace corianderlink {
namespace {

// The process ends this long before it would be killed.
constexpr Duration kKillMargin = milliseconds(400);
// Callers have this long to read what ends their requests.
constexpr Duration kAnswerTime = milliseconds(200);
// Part of the time for which an address is kept, at the end of which a request
// is taken only if its deadline is near: 1 / this.
constexpr int kSignalMarginDivisor = 6;

}  // namespace

StopPlan::StopPlan(Time began, const StopLimits& limits)
    : began_(began),
      process_end_(began +
                   std::max(Duration::zero(), limits.grace - kKillMargin)) {
  requests_end_ = std::max(began, process_end_ - kAnswerTime);
  const Duration accepting =
      std::min(limits.address_kept, (process_end_ - began) / 2);
  accepts_until_ = began + accepting;
  takes_until_ = accepts_until_ - accepting / kSignalMarginDivisor;
}

bool StopPlan::Takes(Time now, const RequestNeed& need) const {
  if (!Accepts(now)) return false;
  if (now + need.limit <= requests_end_) return true;
  return now < takes_until_ && Fits(now, need);
}

bool StopPlan::Fits(Time now, const RequestNeed& need) const {
  return now + std::min(need.limit, need.expected) <= requests_end_;
}

Duration StopPlan::UntilNextStep(Time now) const {
  for (const Time step : {accepts_until_, requests_end_, process_end_}) {
    if (now < step) return step - now;
  }
  return Duration::zero();
}

}  // namespace corianderlink
