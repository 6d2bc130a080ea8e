// One gateway's share of the work that the engines of a service can do.
//
// Answers a flood on many gateways: each sees what the others sent only after a
// while, in which all of them together could send far more than the engines
// compute.  A gateway therefore sends no more than its share.  How much work
// fits is learned from whether prompts are computed in time, since costs are
// estimates: all gateways see the same engines, so their shares grow and shrink
// alike.
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
  /// A prompt was refused, for want of a share or of engines.
  void OnRefused(Time now) { refused_at_ = now; }
  /// Work of `cost_ms` estimated engine time was sent.
  void Spend(double cost_ms) { left_ms_ -= cost_ms; }
  /// A prompt that was sent was computed after `used`, as a share of the time
  /// in which it had to be.
  void OnPrefillComplete(Time now, double used);

 private:
  // Estimated engine time that counts as one engine's, in milliseconds for each
  // millisecond.
  double room_ = 1.25;
  double left_ms_ = 0;
  Time earned_at_{};
  Time refused_at_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ADMISSION_SHARE_H_
