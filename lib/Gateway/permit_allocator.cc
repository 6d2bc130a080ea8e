// Allocates the requests that rate-limited upstreams take from all gateways.
#include "corianderlink/Gateway/permit_allocator.h"

#include <algorithm>
#include <cmath>

namespace corianderlink {
namespace {

// An upstream with a lower limit gets this many requests per second all the
// same: only its responses tell when the limit ends.
constexpr double kMinPerSecond = 0.25;
// Size of a bucket: this many requests, and those of this many seconds.
constexpr double kBurst = 2;
constexpr double kBurstSeconds = 0.1;
// Time for which less urgent requests leave the permits to urgent ones after
// one of these was denied.
constexpr Duration kUrgentTime = seconds(1);
constexpr Duration kMinRetry = milliseconds(5);
constexpr Duration kMaxRetry = seconds(1);

}  // namespace

double PermitAllocator::Capacity(double per_second) {
  return std::min(kBurst + kBurstSeconds * per_second, 1 + per_second);
}

void PermitAllocator::Refill(Time now, double per_second, Bucket& bucket) {
  const double gained = per_second * ToSeconds(now - bucket.updated_at);
  bucket.tokens =
      std::min(bucket.tokens + std::max(gained, 0.0), Capacity(per_second));
  bucket.updated_at = std::max(now, bucket.updated_at);
}

bool PermitAllocator::YieldsToUrgent(Time now, const Bucket& bucket,
                                     int priority) {
  return bucket.denied_priority && *bucket.denied_priority < priority &&
         now - bucket.denied_at <= kUrgentTime;
}

void PermitAllocator::RecordDenial(Time now, Bucket& bucket, int priority) {
  const bool outdated = now - bucket.denied_at > kUrgentTime;
  if (bucket.denied_priority && !outdated &&
      *bucket.denied_priority < priority) {
    return;
  }
  bucket.denied_priority = priority;
  bucket.denied_at = now;
}

Duration PermitAllocator::RetryAfter(Time now, double per_second,
                                     Bucket& bucket) {
  const double missing = std::max(0.0, 1 - bucket.tokens);
  const Time refilled =
      std::max(bucket.usable_from, now + FromSeconds(missing / per_second));
  // Each gateway gets a time of its own, so that they don't all ask at once.
  const Time retry = std::max(refilled, bucket.next_retry);
  const Duration delay =
      std::clamp<Duration>(retry - now, kMinRetry, kMaxRetry);
  bucket.next_retry =
      std::min(retry + FromSeconds(1 / per_second), now + kMaxRetry);
  return delay;
}

PermitGrant PermitAllocator::Take(Time now, const UpstreamId& upstream,
                                  double per_second, Duration settle,
                                  const PermitDemand& demand) {
  const double rate = std::max(per_second, kMinPerSecond);
  const auto [it, added] = buckets_.try_emplace(upstream);
  Bucket& bucket = it->second;
  if (added) {
    bucket.updated_at = now;
    bucket.usable_from = now + settle;
  }
  Refill(now, rate, bucket);
  PermitGrant grant;
  const bool usable = now >= bucket.usable_from &&
                      !YieldsToUrgent(now, bucket, demand.priority);
  if (usable) {
    const double whole = std::floor(bucket.tokens);
    grant.granted =
        static_cast<uint32_t>(std::min<double>(whole, demand.count));
    bucket.tokens -= grant.granted;
  }
  if (grant.granted == demand.count) return grant;
  RecordDenial(now, bucket, demand.priority);
  grant.retry_after = RetryAfter(now, rate, bucket);
  return grant;
}

}  // namespace corianderlink
