// Predicted prefill times, corrected by observations.
#include "corianderlink/Gateway/speed_model.h"

#include <algorithm>
#include <cmath>

namespace corianderlink {
namespace {

// Prefill speed with a factor of 1.
constexpr double kInitialTokensPerMs = 300;
// Each token attends to its whole context, so attention time grows with the
// prompt's length: at this many tokens it equals all other computation.
constexpr double kAttentionParityTokens = 64000;
// Prefill on a decode engine is slower, since it is interleaved with the token
// generation of other requests.
constexpr double kDecodeSlowdownFactor = 2;
// Fixed time per prompt.
constexpr double kStepOverheadMs = 1;
// Weights of a new observation in the factors of its upstream and its role.
constexpr double kUpstreamGain = 0.08;
constexpr double kRoleGain = 0.02;
constexpr double kMinFactor = 0.4;
constexpr double kMaxFactor = 6;
// Shorter prefills do not show an upstream's speed and are ignored.
constexpr double kMinPredictionMs = 4;
// Limits the ratio of observed to predicted time, and thereby the effect of one
// outlier.
constexpr double kMaxRatio = 4;

double UpdatedFactor(double factor, double ratio, double gain) {
  const double updated = factor * std::pow(ratio, gain);
  return std::clamp(updated, kMinFactor, kMaxFactor);
}

}  // namespace

double SpeedModel::ComputeMs(const UpstreamRecord& upstream,
                             const Prompt& prompt,
                             uint32_t cached_tokens) const {
  const double uncached =
      prompt.tokens > cached_tokens ? prompt.tokens - cached_tokens : 1;
  const double attention = 1 + prompt.tokens / kAttentionParityTokens;
  double ms = kStepOverheadMs + uncached * attention / kInitialTokensPerMs;
  if (upstream.role == UpstreamRole::kDecode) ms *= kDecodeSlowdownFactor;
  return ms * Factor(upstream);
}

double SpeedModel::Factor(const UpstreamRecord& upstream) const {
  const auto it = factors_.find(upstream.id);
  if (it != factors_.end()) return it->second;
  return upstream.role == UpstreamRole::kPrefill ? prefill_factor_
                                                 : decode_factor_;
}

void SpeedModel::Observe(const UpstreamRecord& upstream, double predicted_ms,
                         double observed_ms) {
  if (predicted_ms < kMinPredictionMs) return;
  const double ratio =
      std::clamp(observed_ms / predicted_ms, 1 / kMaxRatio, kMaxRatio);
  double& role_factor = upstream.role == UpstreamRole::kPrefill
                            ? prefill_factor_
                            : decode_factor_;
  const double current = Factor(upstream);
  role_factor = UpdatedFactor(role_factor, ratio, kRoleGain);
  factors_[upstream.id] = UpdatedFactor(current, ratio, kUpstreamGain);
}

}  // namespace corianderlink
