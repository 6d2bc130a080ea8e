// Rate with exponential decay, for the demand that a gateway puts on engines.
#ifndef CORIANDERLINK_GATEWAY_DECAYING_RATE_H_
#define CORIANDERLINK_GATEWAY_DECAYING_RATE_H_

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Rate of added amounts; their weight decays exponentially with their age.
class DecayingRate {
 public:
  explicit DecayingRate(Duration time_constant)
      : time_constant_(time_constant) {}

  void Add(Time now, double amount);
  /// Decayed amount per second at `now`.
  double PerSecond(Time now) const;

 private:
  const Duration time_constant_;
  double sum_ = 0;
  Time last_update_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_DECAYING_RATE_H_
