// Limits the prefill work on decode engines that generate streams.
//
// While an engine computes prompts, each of its steps takes longer, so the
// events of its streams come late.  How much prefill work the streams bear
// depends on the engines and on how many tokens an event carries, so the limit
// follows the pauses that clients see.
#ifndef CORIANDERLINK_GATEWAY_INTERFERENCE_LIMIT_H_
#define CORIANDERLINK_GATEWAY_INTERFERENCE_LIMIT_H_

#include <algorithm>

namespace corianderlink {

/// Limit for the engines of one service.  Answers the load in which long
/// prompts arrive at engines that generate streams with a gap objective.
class InterferenceLimit {
 public:
  /// A stream ended; `gap_fraction` is the longest pause between two of its
  /// events relative to the objective.
  void OnStreamEnd(double gap_fraction);

  /// Prefill work in milliseconds that an engine with streams may have, whose
  /// gap objective is `gap_objective_ms`.
  double MaxPrefillMs(double gap_objective_ms) const {
    return fraction_ * gap_objective_ms;
  }
  /// The limit relative to the one without observations, at most 1.
  double Relative() const {
    return std::min(1.0, fraction_ / kInitialFraction);
  }

 private:
  static constexpr double kInitialFraction = 0.7;

  // Fraction of the gap objective.
  double fraction_ = kInitialFraction;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_INTERFERENCE_LIMIT_H_
