// What of one request arrives at upstreams, and what of that is charged to the
// retry budget.
#ifndef CORIANDERLINK_GATEWAY_REQUEST_ARRIVALS_H_
#define CORIANDERLINK_GATEWAY_REQUEST_ARRIVALS_H_

#include <optional>

#include "corianderlink/Gateway/arrival_counts.h"
#include "corianderlink/Gateway/fleet_retry_budget.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Charges the repeats of one request.  Each call is covered by a free arrival
/// or a reserved retry before it is sent.  The owner releases what is reserved
/// at the end of the request; the budget may be gone when this is destroyed.
class RequestArrivals {
 public:
  /// The next attempt: one call, or a prefill and a decode call.
  enum class Attempt { kOneCall, kSplit };

  RequestArrivals(FleetRetryBudget& budget, ServiceId service,
                  RequestId request, ArrivalCounts before);
  RequestArrivals(const RequestArrivals&) = delete;
  RequestArrivals& operator=(const RequestArrivals&) = delete;

  /// Covers the next attempt; false, without any effect, if the budget does not
  /// allow its retries.
  bool TryCover(Time now, Attempt attempt);
  /// A call of a covered attempt is sent.
  void OnSent(Time now);
  /// The last call surely did not reach its upstream.
  void OnNotReached();
  /// The last call was a prefill, and the upstream has accepted it.
  void OnPrefilled() { counts_.is_prefilled = true; }
  /// Gives back what is reserved.
  void Release();
  /// Hands what is reserved over to another gateway, as charged.
  ArrivalCounts HandOver(Time now);

 private:
  FleetRetryBudget& budget_;
  const ServiceId service_;
  const RequestId request_;
  ArrivalCounts counts_;
  int reserved_ = 0;
  // When the last call was charged, if it was.
  std::optional<Time> last_charged_at_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_REQUEST_ARRIVALS_H_
