// Rate with exponential decay.
#include "corianderlink/Gateway/decaying_rate.h"

#include <cmath>

namespace corianderlink {

void DecayingRate::Add(Time now, double amount) {
  sum_ = sum_ * std::exp(-ToSeconds(now - last_update_) /
                         ToSeconds(time_constant_)) +
         amount;
  last_update_ = now;
}

double DecayingRate::PerSecond(Time now) const {
  const double decay =
      std::exp(-ToSeconds(now - last_update_) / ToSeconds(time_constant_));
  return sum_ * decay / ToSeconds(time_constant_);
}

}  // namespace corianderlink
