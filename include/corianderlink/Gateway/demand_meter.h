// Measures the demand that a gateway puts on engines.
#ifndef CORIANDERLINK_GATEWAY_DEMAND_METER_H_
#define CORIANDERLINK_GATEWAY_DEMAND_METER_H_

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// A rate that forgets what lies more than some time constants back.
class DecayingRate {
 public:
  explicit DecayingRate(Duration time_constant)
      : time_constant_(time_constant) {}

  void Add(Time now, double amount);
  /// Amount a second.
  double PerSecond(Time now) const;

 private:
  const Duration time_constant_;
  double sum_ = 0;
  Time at_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_DEMAND_METER_H_
