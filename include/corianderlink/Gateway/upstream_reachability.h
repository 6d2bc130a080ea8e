// Whether this gateway reaches the upstreams of a service.
//
// Single upstreams that fail are ejected.  If most or all of a service cannot
// be reached at the same time, the fault may be this gateway's own link, and a
// peer may still reach them.  Failures of requests only raise the suspicion; a
// sample of new connections decides, so that neither an upstream that does not
// respond for a second nor a single crash is taken for a partition.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_REACHABILITY_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_REACHABILITY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Results of a sample of connections to upstreams of one service.
struct ConnectionSample {
  /// Upstreams to which a connection was established, or was not.
  std::vector<Address> established;
  std::vector<Address> failed;
};

/// What this gateway reaches of a service.
enum class UpstreamLink {
  /// Most of the upstreams.
  kUp,
  /// Half of them at most: peers may have more capacity than this gateway.
  kImpaired,
  /// None.
  kPartitioned,
};

const char* ToString(UpstreamLink link);

/// Decides by service, without I/O.
class UpstreamReachability {
 public:
  /// A request to the upstream lost its connection, was refused one, or has no
  /// response for a suspiciously long time.  `usable` is the number of the
  /// service's upstreams.
  void OnSuspectFailure(Time now, const UpstreamRecord& upstream,
                        size_t usable);
  /// There is reason to take a sample of the service's connections.
  void Suspect(const ServiceId& service) {
    services_[service].suspected = true;
  }
  /// An upstream of the service has responded to this gateway.
  void OnResponse(Time now, const ServiceId& service) {
    services_[service].last_response_at = now;
  }
  /// True if a sample of the service's connections is to be taken now.
  bool IsSampleDue(Time now, const ServiceId& service) const;
  /// Most upstreams of the service to which connections are sampled now.
  size_t SampleSize(const ServiceId& service) const;
  void OnSampleBegun(Time now, const ServiceId& service);
  void OnSample(Time now, const ServiceId& service,
                const ConnectionSample& sample);

  UpstreamLink LinkTo(const ServiceId& service) const;
  bool IsPartitioned(const ServiceId& service) const {
    return LinkTo(service) == UpstreamLink::kPartitioned;
  }
  /// True while the sample is taken that follows a suspicion.
  bool IsUnknown(const ServiceId& service) const;
  /// When the sample began that has found the partition; empty if there is
  /// none.
  std::optional<Time> PartitionedSince(const ServiceId& service) const;
  /// When upstreams of each service last responded.
  std::map<ServiceId, Time> LastResponses() const;
  /// Services to which this gateway has such a link.
  std::set<ServiceId> ServicesWith(UpstreamLink link) const;
  /// Services of which something is to be found out.
  std::set<ServiceId> WatchedServices() const;
  /// Drops the state of all services for which `gone` returns true, but for
  /// those of which a sample is being taken.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    std::erase_if(services_, [&](const auto& entry) {
      return !entry.second.sampling && gone(entry.first);
    });
  }

 private:
  struct State {
    // Upstreams with a recent failure, and when it was.
    std::map<UpstreamId, Time> failures;
    bool suspected = false;
    bool sampling = false;
    std::optional<Time> last_sample_at;
    // Some upstreams have just been found not to be reached, by a small sample.
    bool must_sample_again = false;
    UpstreamLink link = UpstreamLink::kUp;
    std::optional<Time> partitioned_since;
    std::optional<Time> last_response_at;
  };

  std::map<ServiceId, State> services_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_REACHABILITY_H_
