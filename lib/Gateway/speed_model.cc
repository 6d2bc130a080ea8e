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
// Weight of the first observations, so that engines of unknown speed are
// predicted well after a few prompts.
constexpr double kInitialGain = 0.5;
constexpr int kInitialObservations = 8;
constexpr double kMinFactor = 0.4;
constexpr double kMaxFactor = 50;
// Shorter prefills do not show an upstream's speed and are ignored.
constexpr double kMinPredictionMs = 4;
// Limits the ratio of observed to predicted time, and thereby the effect of one
// outlier.
constexpr double kMaxRatio = 4;

}  // namespace

void SpeedModel::LearnedFactor::Learn(double ratio, double gain) {
  const double log_ratio = std::log(ratio);
  double step = gain * log_ratio;
  // A single observation may be an outlier, so the initial weight applies to
  // what two in a row agree on.
  const bool agree = log_ratio * last_log_ratio > 0;
  if (agree && observations < kInitialObservations) {
    const double common =
        std::min(std::abs(log_ratio), std::abs(last_log_ratio));
    step = std::copysign(kInitialGain * common, log_ratio);
  }
  ++observations;
  last_log_ratio = log_ratio;
  value = std::clamp(value * std::exp(step), kMinFactor, kMaxFactor);
}

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
  if (it != factors_.end()) return it->second.value;
  return upstream.role == UpstreamRole::kPrefill ? prefill_factor_.value
                                                 : decode_factor_.value;
}

void SpeedModel::Observe(const UpstreamRecord& upstream, double predicted_ms,
                         double observed_ms) {
  if (predicted_ms < kMinPredictionMs) return;
  const double ratio =
      std::clamp(observed_ms / predicted_ms, 1 / kMaxRatio, kMaxRatio);
  LearnedFactor& role_factor = upstream.role == UpstreamRole::kPrefill
                                   ? prefill_factor_
                                   : decode_factor_;
  // A new upstream starts with what its role has learned.
  LearnedFactor& factor =
      factors_.try_emplace(upstream.id, role_factor).first->second;
  role_factor.Learn(ratio, kRoleGain);
  factor.Learn(ratio, kUpstreamGain);
}

}  // namespace corianderlink
