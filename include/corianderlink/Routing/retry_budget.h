// Retry budget: limits retries to a fixed ratio of successful requests.
#ifndef CORIANDERLINK_ROUTING_RETRY_BUDGET_H_
#define CORIANDERLINK_ROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace corianderlink {

/// Token bucket.  Each success adds `ratio` tokens, up to `burst`; each retry
/// takes one token.  While upstreams fail, retries thus add at most that ratio
/// to the load.
class RetryBudget {
 public:
  RetryBudget(double ratio, double burst)
      : ratio_(ratio), burst_(burst), tokens_(burst) {}

  void OnSuccess() { tokens_ = std::min(burst_, tokens_ + ratio_); }

  /// Takes one token for a retry.  Returns false if the budget is exhausted.
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
