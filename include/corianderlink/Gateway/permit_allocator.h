// Allocates the requests that rate-limited upstreams take from all gateways.
#ifndef CORIANDERLINK_GATEWAY_PERMIT_ALLOCATOR_H_
#define CORIANDERLINK_GATEWAY_PERMIT_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>

#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// The answer to a gateway that wants to send requests to an upstream.
struct PermitGrant {
  /// Requests that it may send now.
  uint32_t granted = 0;
  /// If some were denied: time after which to ask again.
  Duration retry_after{};
};

/// A request for permits.
struct PermitDemand {
  uint32_t count = 1;
  /// Priority of the requests; 0 is the most urgent.
  int priority = 0;
};

/// Token buckets of the upstreams whose limits this gateway keeps for all.
///
/// A bucket starts empty, so that a change of the gateway that keeps it adds no
/// burst, and grants nothing until all gateways know of the change.
class PermitAllocator {
 public:
  /// Grants permits for an upstream that takes `per_second` requests.  A bucket
  /// that did not exist grants nothing for the time `settle`.
  PermitGrant Take(Time now, const UpstreamId& upstream, double per_second,
                   Duration settle, const PermitDemand& demand);

  /// Drops the buckets of upstreams for which `gone` returns true.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    std::erase_if(buckets_,
                  [&](const auto& entry) { return gone(entry.first); });
  }

  /// Largest number of requests that a bucket saves up.
  static double Capacity(double per_second);

 private:
  struct Bucket {
    double tokens = 0;
    Time updated_at{};
    Time usable_from{};
    /// Next time that was not yet given to a gateway to ask again.
    Time next_retry{};
    /// Most urgent priority that was denied lately, and when.
    std::optional<int> denied_priority;
    Time denied_at{};
  };

  static void Refill(Time now, double per_second, Bucket& bucket);
  /// True if a more urgent request was denied lately.
  static bool YieldsToUrgent(Time now, const Bucket& bucket, int priority);
  static void RecordDenial(Time now, Bucket& bucket, int priority);
  static Duration RetryAfter(Time now, double per_second, Bucket& bucket);

  std::map<UpstreamId, Bucket> buckets_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_PERMIT_ALLOCATOR_H_
