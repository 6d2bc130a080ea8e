// Retry budget of one gateway over a sliding window.
//
// In any window, all gateways together may send a service at most `ratio`
// retries for each client request, plus `slack` retries.  The budget of one
// gateway is `ratio` for each of its own requests plus an equal part of the
// slack.  A retry is reserved when it is decided on and counts in the window
// from the time at which it is sent.
#ifndef CORIANDERLINK_GATEWAY_RETRY_WINDOW_H_
#define CORIANDERLINK_GATEWAY_RETRY_WINDOW_H_

#include <deque>

#include "corianderlink/Support/time.h"

namespace corianderlink {

struct RetryLimits {
  /// Retries per client request.
  double ratio = 0.1;
  /// Retries beyond these, of all gateways together.
  double slack = 10;
  Duration window = seconds(10);

  bool operator==(const RetryLimits&) const = default;
};

/// The number of gateways that share a budget: the most that were live lately.
/// A peer without heartbeats may still run, and what it has used counts.
class SharingGateways {
 public:
  /// `live` gateways are in contact, including this one.  Called often.
  void Update(Time now, size_t live);
  size_t count() const { return count_; }

 private:
  size_t count_ = 1;
  Time counted_at_{};
};

/// What a retry window holds, for logs.
struct RetryWindowUse {
  /// Requests of clients in the window.
  size_t requests = 0;
  /// Retries in the window, and those that are reserved.
  size_t retries = 0;
  /// Retries that this gateway may make in the window.
  double allowed = 0;
};

/// Retry budget of this gateway for one service.
class RetryWindow {
 public:
  /// Before `whole_from`, processes before this one may have used the budget:
  /// this one takes what they leave, a smaller ratio and none of the slack.
  explicit RetryWindow(RetryLimits limits, Time whole_from = Time::min())
      : limits_(limits), whole_from_(whole_from) {}

  /// A client request for the service arrived.
  void OnRequest(Time now);
  /// Takes this many retries out of the budget; false, without any effect, if
  /// they are more than the rest of it.  `gateways` is the number of gateways
  /// that share the slack.
  bool TryReserve(Time now, size_t gateways, size_t retries);
  /// A reserved retry is sent.
  void Charge(Time now);
  /// The retry that was charged then was not sent; it is reserved again.
  void Refund(Time charged_at);
  /// Reserved retries will not be sent.
  void Release(size_t retries);
  /// Reserves and charges one retry.
  bool TryRetry(Time now, size_t gateways);
  RetryWindowUse UseAt(Time now, size_t gateways);
  /// Takes effect at once, also for requests and retries already counted.
  void SetLimits(const RetryLimits& limits) { limits_ = limits; }

 private:
  void Expire(Time now);

  RetryLimits limits_;
  const Time whole_from_;
  std::deque<Time> requests_;
  std::deque<Time> retries_;
  size_t reserved_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RETRY_WINDOW_H_
