// Predicts prefill times and adapts to the observed ones.
#ifndef CORIANDERLINK_GATEWAY_SPEED_MODEL_H_
#define CORIANDERLINK_GATEWAY_SPEED_MODEL_H_

#include <unordered_map>

#include "corianderlink/Gateway/prompt.h"
#include "corianderlink/Gateway/upstream_record.h"

namespace corianderlink {

/// Predicts the time of computing the uncached tokens of a prompt.  A factor
/// for each upstream corrects the prediction by the observed times; an upstream
/// without observations has the factor of its role.
class SpeedModel {
 public:
  /// Predicted time of the prefill without queueing, in milliseconds.
  double ComputeMs(const UpstreamRecord& upstream, const Prompt& prompt,
                   uint32_t cached_tokens) const;
  /// A prompt was computed `observed_ms` after it was sent; the prediction was
  /// `predicted_ms`.  Both include queueing.
  void Observe(const UpstreamRecord& upstream, double predicted_ms,
               double observed_ms);
  /// Factor on the predicted time; above 1 for a slower upstream.
  double Factor(const UpstreamRecord& upstream) const;
  /// Drops the upstreams for which `gone` returns true.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    std::erase_if(factors_,
                  [&](const auto& entry) { return gone(entry.first); });
  }

 private:
  struct LearnedFactor {
    double value = 1;
    int observations = 0;
    double last_log_ratio = 0;

    /// Moves the factor towards an observation with this ratio to the
    /// prediction; `gain` is its weight once there have been many.
    void Learn(double ratio, double gain);
  };

  std::unordered_map<UpstreamId, LearnedFactor> factors_;
  LearnedFactor prefill_factor_;
  LearnedFactor decode_factor_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_SPEED_MODEL_H_
