// One gateway's share of the work that the engines of a service can do.
//
// Answers a flood on many gateways: each sees what the others sent only after a
// while, in which all of them together could send far more than the engines
// compute.  A gateway therefore sends no more than its share, with some room
// for arrivals that are not even.
#ifndef CORIANDERLINK_GATEWAY_ADMISSION_SHARE_H_
#define CORIANDERLINK_GATEWAY_ADMISSION_SHARE_H_

#include <cstddef>

#include "corianderlink/Support/time.h"

namespace corianderlink {

class AdmissionShare {
 public:
  /// Earns the share of the time since the last call.
  void Earn(Time now, size_t engines, size_t gateways);
  /// True if there is something left of the share.
  bool Allows() const { return left_ms_ > 0; }
  /// Work of `cost_ms` engine time was sent.
  void Spend(double cost_ms) { left_ms_ -= cost_ms; }

 private:
  double left_ms_ = 0;
  Time earned_at_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ADMISSION_SHARE_H_
