// The part of one gateway in the retry budgets that all gateways share.
#ifndef CORIANDERLINK_GATEWAY_FLEET_RETRY_BUDGET_H_
#define CORIANDERLINK_GATEWAY_FLEET_RETRY_BUDGET_H_

#include <map>

#include "corianderlink/Gateway/retry_window.h"
#include "corianderlink/Support/metrics.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// Retry budgets of all services.  A retry is reserved when it is decided on
/// and charged when it is sent, since it may wait in between.
class FleetRetryBudget {
 public:
  /// From `whole_from` on no process before this one has used the budget within
  /// the window.
  FleetRetryBudget(RetryLimits limits, Time whole_from, Metrics& metrics);

  /// Takes effect at once.
  void SetLimits(const RetryLimits& limits);
  /// `live` gateways are in contact, including this one.  Called often.
  void OnLiveGateways(Time now, size_t live) { sharing_.Update(now, live); }
  /// A client request for the service arrived.
  void OnRequest(Time now, const ServiceId& service);

  /// Reserves this many retries of a request; false, without any effect, if the
  /// budget does not allow all of them.
  bool TryReserve(Time now, const ServiceId& service, const RequestId& request,
                  size_t retries);
  /// A reserved retry is sent.
  void Charge(Time now, const ServiceId& service);
  /// The retry that was charged at `charged_at` did not reach its upstream; it
  /// is reserved again.
  void Refund(Time charged_at, const ServiceId& service);
  /// Reserved retries are not needed.
  void Release(const ServiceId& service, size_t retries);

 private:
  RetryWindow& WindowOf(const ServiceId& service);

  RetryLimits limits_;
  const Time whole_from_;
  Metrics& metrics_;
  SharingGateways sharing_;
  std::map<ServiceId, RetryWindow> windows_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_FLEET_RETRY_BUDGET_H_
