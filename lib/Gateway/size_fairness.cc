// Keeps the admission of a route's prompts fair to large ones.
#include "corianderlink/Gateway/size_fairness.h"

#include <algorithm>

namespace corianderlink {
namespace {

constexpr std::array<double, 2> kBandQuantiles = {0.7, 0.9};
// Prompts of a band are admitted at least this often relative to all prompts of
// the route.
constexpr double kFairFraction = 0.6;
// Number of decisions over which shares are averaged.
constexpr int kShareWindow = 40;
// Bands are computed from at least this many prompts, and again after as many
// more.
constexpr size_t kBandInterval = 16;

}  // namespace

void SizeFairness::AdmittedShare::Add(bool admitted) {
  decisions = std::min(decisions + 1, kShareWindow);
  value += ((admitted ? 1.0 : 0.0) - value) / decisions;
}

void SizeFairness::OnArrival(uint32_t tokens) {
  samples_[arrivals_ % kSampleCount] = tokens;
  ++arrivals_;
  if (arrivals_ == 1 || arrivals_ % kBandInterval == 0) UpdateBands();
}

void SizeFairness::UpdateBands() {
  const size_t count = std::min(arrivals_, kSampleCount);
  std::array<uint32_t, kSampleCount> sorted = samples_;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
  std::sort(sorted.begin(), end);
  double sum = 0;
  for (size_t i = 0; i < count; ++i) sum += sorted[i];
  mean_tokens_ = sum / static_cast<double>(count);
  for (size_t i = 0; i < kBandQuantiles.size(); ++i) {
    const double rank = kBandQuantiles[i] * static_cast<double>(count);
    band_starts_[i] = sorted[static_cast<size_t>(rank)];
  }
}

size_t SizeFairness::Band(uint32_t tokens) const {
  size_t band = 0;
  while (band < band_starts_.size() && tokens >= band_starts_[band]) ++band;
  return band;
}

void SizeFairness::OnDecision(uint32_t tokens, bool admitted) {
  if (arrivals_ < kBandInterval) return;
  all_.Add(admitted);
  bands_[Band(tokens)].Add(admitted);
}

bool SizeFairness::IsUnderserved(uint32_t tokens) const {
  if (arrivals_ < kBandInterval) return false;
  return bands_[Band(tokens)].value < kFairFraction * all_.value;
}

}  // namespace corianderlink
