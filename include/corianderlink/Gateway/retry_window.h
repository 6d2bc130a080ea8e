// Retry budget of one gateway over a sliding window.
//
// All gateways together may send a service at most `ratio` times its requests
// plus `slack` extra arrivals in any window.  Each gateway takes the share of
// its own requests and its part of the slack.
#ifndef CORIANDERLINK_GATEWAY_RETRY_WINDOW_H_
#define CORIANDERLINK_GATEWAY_RETRY_WINDOW_H_

#include <deque>

#include "corianderlink/Support/time.h"

namespace corianderlink {

struct RetryLimits {
  double ratio = 0.1;
  double slack = 10;
  Duration window = seconds(10);

  bool operator==(const RetryLimits&) const = default;
};

class RetryWindow {
 public:
  explicit RetryWindow(RetryLimits limits) : limits_(limits) {}

  /// A client sent a request for the service.
  void OnRequest(Time now);
  /// Takes one extra arrival out of the budget, if there is one; `gateways`
  /// share the slack.
  bool TryRetry(Time now, size_t gateways);
  /// Applies to what was counted so far, too.
  void SetLimits(const RetryLimits& limits) { limits_ = limits; }

 private:
  void Expire(Time now);

  RetryLimits limits_;
  std::deque<Time> requests_;
  std::deque<Time> retries_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RETRY_WINDOW_H_
