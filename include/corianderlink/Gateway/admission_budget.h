// Token bucket that limits the prefill work which one gateway sends to the
// engines of a service.
//
// Under overload, a gateway learns of the other gateways' dispatches only after
// a delay, in which all of them together could send far more than the engines
// can compute.  Each gateway is therefore limited to an equal part of the
// engines' capacity.  Costs are estimates, so the rate adapts to whether
// prompts are computed in time.  All gateways observe the same engines, so
// their rates grow and shrink alike.
#ifndef CORIANDERLINK_GATEWAY_ADMISSION_BUDGET_H_
#define CORIANDERLINK_GATEWAY_ADMISSION_BUDGET_H_

#include <cstddef>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Admission budget of this gateway for one service.
class AdmissionBudget {
 public:
  /// Adds the budget for the time since the last call.  `engines` is the number
  /// of engines, which `gateways` gateways share.
  void Refill(Time now, size_t engines, size_t gateways);
  bool HasBudget() const { return budget_ms_ > 0; }
  /// A prompt was refused because the budget was spent or no engine could take
  /// it.
  void OnRefused(Time now) { last_refusal_ = now; }
  /// A prompt with an estimated cost of `cost_ms` engine time was dispatched.
  void Spend(double cost_ms) { budget_ms_ -= cost_ms; }
  /// A dispatched prompt was computed within `time_fraction` of the time that
  /// it was allowed; above 1 it was late.
  void OnPrefillComplete(Time now, double time_fraction);

 private:
  // Work that all gateways together admit for each engine, in milliseconds of
  // estimated engine time per millisecond.
  double rate_per_engine_ = 1.25;
  double budget_ms_ = 0;
  Time last_refill_{};
  Time last_refusal_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ADMISSION_BUDGET_H_
