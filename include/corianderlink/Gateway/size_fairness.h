// Keeps the admission of a route's prompts fair to large ones.
//
// Under overload, a bound on the predicted time refuses the large prompts of a
// route first: they take longer, so their predictions pass the bound while
// small ones are still admitted.  The clients of large prompts would hardly be
// served at all.  This class notices when large prompts are admitted clearly
// less often than the others of their route and lets the next ones pass.
#ifndef CORIANDERLINK_GATEWAY_SIZE_FAIRNESS_H_
#define CORIANDERLINK_GATEWAY_SIZE_FAIRNESS_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace corianderlink {

/// Admission of one route's prompts by size.  Answers the load in which a route
/// with prompts of mixed sizes asks for more than the engines compute.
class SizeFairness {
 public:
  /// A prompt of `tokens` tokens arrived for the first time.
  void OnArrival(uint32_t tokens);
  /// The prompt was admitted or refused.
  void OnDecision(uint32_t tokens, bool admitted);
  /// True if prompts of this size have been admitted clearly less often than
  /// those of the whole route, so that this one should be admitted although its
  /// prediction misses the objective.
  bool IsUnderserved(uint32_t tokens) const;
  /// Mean size of the latest prompts in tokens; 0 before the first one.
  double MeanTokens() const { return mean_tokens_; }

 private:
  /// The smaller seven tenths of the prompts, the next fifth, and the largest
  /// tenth.
  static constexpr size_t kBands = 3;
  static constexpr size_t kSampleCount = 256;

  /// Share of prompts admitted lately.
  struct AdmittedShare {
    double value = 1;
    int decisions = 0;

    void Add(bool admitted);
  };

  size_t Band(uint32_t tokens) const;
  void UpdateBands();

  std::array<uint32_t, kSampleCount> samples_{};
  size_t arrivals_ = 0;
  double mean_tokens_ = 0;
  /// Smallest sizes of the second and third band.
  std::array<uint32_t, kBands - 1> band_starts_{};
  std::array<AdmittedShare, kBands> bands_;
  AdmittedShare all_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_SIZE_FAIRNESS_H_
