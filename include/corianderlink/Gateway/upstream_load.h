// Work that this gateway and its peers have given to upstreams.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_LOAD_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_LOAD_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Order in which an engine admits waiting requests.
enum class WorkTier {
  kExpress,  ///< Small prompts.
  kTimely,   ///< Can still meet their objective.
  kLate,     ///< Cannot, but are worth an answer before their deadline.
};
constexpr size_t kWorkTiers = 3;

/// Outstanding work of one gateway on one upstream.
struct LoadShare {
  /// Requests dispatched and not ended.
  uint32_t requests = 0;
  /// Those of them with small prompts, which mostly generate.
  uint32_t express = 0;
  /// Estimated time of computing that has not been done, by tier, milliseconds.
  std::array<double, kWorkTiers> backlog_ms{};

  bool empty() const { return requests == 0; }
};

using DispatchId = uint64_t;

class UpstreamLoad {
 public:
  /// A peer's share is ignored once it was not heard of for `peer_timeout`.
  explicit UpstreamLoad(Duration peer_timeout) : peer_timeout_(peer_timeout) {}

  /// A request of estimated `cost_ms` was sent.
  DispatchId OnDispatch(Time now, const UpstreamId& upstream, WorkTier tier,
                        double cost_ms);
  /// The upstream computed the request's prompt, or answered.
  void OnComputed(Time now, const UpstreamId& upstream, DispatchId id);
  /// The request ended.
  void OnEnd(Time now, const UpstreamId& upstream, DispatchId id);

  void SetPeer(Time now, const std::string& peer,
               std::map<UpstreamId, LoadShare> shares);
  void ForgetPeer(const std::string& peer) { peers_.erase(peer); }

  /// Time until work of `tier` that is sent now would begin, milliseconds.
  double BacklogMs(Time now, const UpstreamId& upstream, WorkTier tier) const;
  /// Requests in progress, of all gateways.
  uint32_t Requests(Time now, const UpstreamId& upstream) const;
  /// Requests of the express tier in progress, of all gateways.
  uint32_t Express(Time now, const UpstreamId& upstream) const;
  uint32_t OwnRequests(const UpstreamId& upstream) const;
  /// Own requests that wait for computing longer than `limit`, while nothing
  /// was computed since: the upstream seems to hang.
  bool Stalled(Time now, const UpstreamId& upstream, Duration limit) const;
  /// Median age of the peers' shares that count.
  Duration PeerAge(Time now) const;
  /// Own shares on all upstreams that have any.
  std::map<UpstreamId, LoadShare> OwnShares(Time now) const;
  /// Forgets upstreams without own requests for which `gone` holds.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    std::erase_if(own_, [&](const auto& entry) {
      return entry.second.dispatches.empty() && gone(entry.first);
    });
  }

 private:
  struct Dispatch {
    DispatchId id = 0;
    WorkTier tier = WorkTier::kTimely;
    double cost_ms = 0;
    Time sent{};
    bool computed = false;
  };
  struct Own {
    std::deque<Dispatch> dispatches;
    Time last_computed{};
  };
  struct Peer {
    Time heard{};
    std::map<UpstreamId, LoadShare> shares;
  };

  static LoadShare ShareOf(Time now, const Own& own);
  /// Sum of `value` over the shares of all gateways on an upstream.
  template <typename Value>
  auto Sum(Time now, const UpstreamId& upstream, Value value) const;

  const Duration peer_timeout_;
  std::unordered_map<UpstreamId, Own> own_;
  std::map<std::string, Peer> peers_;
  DispatchId next_id_ = 1;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_LOAD_H_
