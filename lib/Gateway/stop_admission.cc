// Which requests a gateway takes while it stops.
#include "corianderlink/Gateway/stop_admission.h"

namespace corianderlink {

void StopAdmission::OnServed(Time now, const RouteId& route,
                             uint32_t output_tokens, Duration taken) {
  serving_times_[route].Add(now, output_tokens, taken);
}

bool StopAdmission::Takes(Time now, const RouteId& route,
                          uint32_t output_tokens, Duration limit) const {
  return !plan_ || plan_->Takes(now, NeedOf(now, route, output_tokens, limit));
}

bool StopAdmission::Fits(Time now, const RouteId& route, uint32_t output_tokens,
                         Duration limit) const {
  return !plan_ || plan_->Fits(now, NeedOf(now, route, output_tokens, limit));
}

RequestNeed StopAdmission::NeedOf(Time now, const RouteId& route,
                                  uint32_t output_tokens,
                                  Duration limit) const {
  const auto times = serving_times_.find(route);
  if (times == serving_times_.end()) return {limit, limit};
  return {limit, times->second.Longest(now, output_tokens).value_or(limit)};
}

}  // namespace corianderlink
