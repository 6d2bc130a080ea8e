// Learns how fast engines compute prompts, from observed times.
#ifndef CORIANDERLINK_GATEWAY_SPEED_MODEL_H_
#define CORIANDERLINK_GATEWAY_SPEED_MODEL_H_

#include <unordered_map>

#include "corianderlink/Gateway/prompt.h"
#include "corianderlink/Gateway/upstream_record.h"

namespace corianderlink {

/// Predicts the time of computing `uncached` of a prompt's tokens.  A factor
/// for each upstream corrects the prediction by what was observed there; new
/// upstreams begin with the factor of their role.
class SpeedModel {
 public:
  /// Time that the upstream needs for the prompt alone, milliseconds.
  double ComputeMs(const UpstreamRecord& upstream, const Prompt& prompt,
                   uint32_t cached_tokens) const;
  /// A prompt predicted to be computed `predicted_ms` after it was sent,
  /// waiting included, was computed after `observed_ms`.
  void Observe(const UpstreamRecord& upstream, double predicted_ms,
               double observed_ms);
  double Factor(const UpstreamRecord& upstream) const;
  /// Forgets the upstreams for which `gone` holds.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    std::erase_if(factors_,
                  [&](const auto& entry) { return gone(entry.first); });
  }

 private:
  std::unordered_map<UpstreamId, double> factors_;
  double prefill_factor_ = 1;
  double decode_factor_ = 1;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_SPEED_MODEL_H_
