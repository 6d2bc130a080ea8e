// Which requests a gateway takes while it stops.
#ifndef CORIANDERLINK_GATEWAY_STOP_ADMISSION_H_
#define CORIANDERLINK_GATEWAY_STOP_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>

#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/serving_times.h"
#include "corianderlink/Support/stop_plan.h"

namespace corianderlink {

class StopAdmission {
 public:
  /// A request of the route that may have generated up to `output_tokens` has
  /// ended, or was broken off, `taken` after its arrival.
  void OnServed(Time now, const RouteId& route, uint32_t output_tokens,
                Duration taken);
  template <typename Predicate>
  void ForgetRoutesIf(const Predicate& is_gone) {
    std::erase_if(serving_times_,
                  [&](const auto& entry) { return is_gone(entry.first); });
  }

  void Begin(Time now, const StopLimits& limits) { plan_.emplace(now, limits); }
  /// Empty until a stop has begun.
  const std::optional<StopPlan>& plan() const { return plan_; }

  /// True if a request that is whole now and ends after `limit` at the latest
  /// is taken.
  bool Takes(Time now, const RouteId& route, uint32_t output_tokens,
             Duration limit) const;
  /// True if an attempt of a request that was taken may begin now.
  bool Fits(Time now, const RouteId& route, uint32_t output_tokens,
            Duration limit) const;

 private:
  RequestNeed NeedOf(Time now, const RouteId& route, uint32_t output_tokens,
                     Duration limit) const;

  std::map<RouteId, ServingTimes> serving_times_;
  std::optional<StopPlan> plan_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_STOP_ADMISSION_H_
