// Limits retries to a share of recent successes.
#ifndef CORIANDERLINK_ROUTING_RETRY_BUDGET_H_
#define CORIANDERLINK_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace corianderlink {

/// Each success earns `ratio` of a retry, up to `burst` retries.  Retries thus
/// add at most that share to the load while upstreams fail.
class RetryBudget {
 public:
  RetryBudget(double ratio, double burst)
      : ratio_(ratio), burst_(burst), tokens_(burst) {}

  void OnSuccess() { tokens_ = std::min(burst_, tokens_ + ratio_); }

  /// Takes one retry out of the budget, if there is one.
  bool TryRetry() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  double tokens() const { return tokens_; }

 private:
  const double ratio_;
  const double burst_;
  double tokens_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_ROUTING_RETRY_BUDGET_H_
