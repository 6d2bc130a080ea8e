// Rate limits that upstreams name in their responses.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_LIMITS_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// What one response said of its upstream's rate limit.
struct RateLimitNotice {
  UpstreamId upstream;
  /// Start time of the incarnation, in Unix milliseconds.
  int64_t started_ms = 0;
  /// Requests per second that the upstream takes from all gateways together;
  /// empty if it names no limit.
  std::optional<double> per_second;
  /// The upstream wrote the response between these times.
  Time sent_at{};
  Time received_at{};
};

/// Rate limits in force, by upstream.
///
/// Responses on different connections overtake each other.  A notice that
/// raises, ends or revives a limit therefore counts only if its request was
/// sent after the response with the present notice had arrived.  One that
/// lowers the limit counts at once, unless it is certainly the older one.
///
/// Gateways tell each other the notices that they have received themselves.  A
/// limit ends with its incarnation.
class UpstreamLimits {
 public:
  /// A response arrived at this gateway.  Returns true if this changes the
  /// limit in force.
  bool OnNotice(const RateLimitNotice& notice);
  /// Notices that a peer has received; their times include the transit.
  void OnPeerNotices(const std::vector<RateLimitNotice>& notices);

  /// The limit in force, in requests per second.
  std::optional<double> PerSecond(const UpstreamRecord& upstream) const;
  /// The notice in force; null if there is none for this incarnation.
  const RateLimitNotice* Find(const UpstreamRecord& upstream) const;
  /// Own notices of limits and of their ends, the latest first, of a bounded
  /// number of upstreams.
  std::vector<RateLimitNotice> OwnNotices(Time now) const;
  /// Number of upstreams with a limit in force.
  size_t size() const;

  /// Drops the limits of upstreams for which `gone` returns true.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    std::erase_if(known_, [&](const auto& entry) { return gone(entry.first); });
  }

 private:
  struct Known {
    RateLimitNotice notice;
    /// The latest one that this gateway has received itself.
    std::optional<RateLimitNotice> own;
  };

  bool Merge(const RateLimitNotice& notice, Duration tolerance,
             const char* source);

  std::map<UpstreamId, Known> known_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_LIMITS_H_
