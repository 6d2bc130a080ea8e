// Outstanding work that this gateway and its peers have sent to upstreams.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_LOAD_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_LOAD_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Priority with which an engine admits a waiting request, highest first.
enum class PriorityTier {
  kExpress,  ///< Requests with small prompts.
  kTimely,   ///< Requests that can still meet their latency objective.
  kLate,     ///< Requests that miss the objective but can meet their deadline.
};
constexpr size_t kPriorityTiers = 3;

/// Outstanding work on one upstream, of one gateway or of all.
struct OutstandingLoad {
  /// Requests that were dispatched and have not ended.
  uint32_t requests = 0;
  /// Those of them in the express tier, which spend most of their time
  /// generating.
  uint32_t express = 0;
  /// Those whose prompt is computed and that generate here.
  uint32_t generating = 0;
  /// Estimated remaining prefill time by tier, in milliseconds.
  std::array<double, kPriorityTiers> backlog_ms{};

  bool empty() const { return requests == 0; }
  /// Estimated wait of a new request of `tier`, in milliseconds: the backlog of
  /// this tier and of higher ones.
  double BacklogMs(PriorityTier tier) const {
    double sum = 0;
    for (size_t i = 0; i <= static_cast<size_t>(tier); ++i) {
      sum += backlog_ms[i];
    }
    return sum;
  }
};

/// Identifies a request that this gateway sent to an upstream; never 0.
using DispatchId = uint64_t;

/// Tracks the outstanding work on each upstream: that of this gateway from its
/// dispatches, and that of its peers from their heartbeats.
class UpstreamLoad {
 public:
  /// The load of a peer without a heartbeat for `peer_timeout` is ignored.
  explicit UpstreamLoad(Duration peer_timeout) : peer_timeout_(peer_timeout) {}

  /// A request with an estimated prefill time of `cost_ms` was sent; with the
  /// work before it, its prefill was predicted to end after `expected_ms`.
  DispatchId OnDispatch(Time now, const UpstreamId& upstream, PriorityTier tier,
                        double cost_ms, double expected_ms);
  /// The upstream computed the request's prompt, or a plain upstream answered.
  void OnPrefillComplete(Time now, const UpstreamId& upstream, DispatchId id);
  void OnEnd(Time now, const UpstreamId& upstream, DispatchId id);

  /// Replaces the load that a peer reported in its last heartbeat.
  void SetPeer(Time now, const std::string& peer,
               std::map<UpstreamId, OutstandingLoad> loads);
  /// Drops the load of peers whose timeout has passed.
  void ExpirePeers(Time now);

  /// Outstanding work of all gateways on an upstream.  Runs in time independent
  /// of the number of gateways, unless a peer's timeout has passed and
  /// ExpirePeers was not called since.
  OutstandingLoad Total(Time now, const UpstreamId& upstream) const;
  double BacklogMs(Time now, const UpstreamId& upstream,
                   PriorityTier tier) const {
    return Total(now, upstream).BacklogMs(tier);
  }
  /// Requests in progress, of all gateways.
  uint32_t Requests(Time now, const UpstreamId& upstream) const {
    return Total(now, upstream).requests;
  }
  /// Requests in progress, of this gateway.
  size_t OwnRequests(const UpstreamId& upstream) const;
  /// True if a request of this gateway has waited for its prefill for `limit`
  /// longer than twice the predicted time, and the upstream completed nothing
  /// else in that time.
  bool Stalled(Time now, const UpstreamId& upstream, Duration limit) const;
  /// Median time since the last heartbeats of live peers.
  Duration PeerAge(Time now) const;
  /// Average time between a peer's heartbeats, as the median over live peers.
  Duration HeartbeatInterval(Time now) const;
  /// This gateway's outstanding work on each upstream that has any.
  std::map<UpstreamId, OutstandingLoad> OwnLoads(Time now) const;
  /// Drops the upstreams without own requests for which `gone` returns true.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    std::erase_if(own_, [&](const auto& entry) {
      return entry.second.dispatches.empty() && gone(entry.first);
    });
  }

 private:
  struct Dispatch {
    DispatchId id = 0;
    PriorityTier tier = PriorityTier::kTimely;
    double cost_ms = 0;
    double expected_ms = 0;
    Time sent{};
    bool prefill_complete = false;
  };
  struct OwnWork {
    std::deque<Dispatch> dispatches;
    Time last_progress{};
  };
  struct Peer {
    Time last_heartbeat{};
    /// Moving average of the time between heartbeats; empty before the second.
    std::optional<Duration> interval;
    std::map<UpstreamId, OutstandingLoad> loads;
  };
  /// Sum of the peers' load on one upstream.  Integers, so that a load that was
  /// added can be subtracted exactly.
  struct PeerSum {
    int64_t requests = 0;
    int64_t express = 0;
    int64_t generating = 0;
    std::array<int64_t, kPriorityTiers> backlog_us{};

    bool operator==(const PeerSum&) const = default;
  };

  static std::optional<Duration> AverageInterval(Time now, const Peer& peer);
  static OutstandingLoad LoadOf(Time now, const OwnWork& own);
  /// Adds a peer's load to the sums, or subtracts it if `sign` is -1.
  void AddToSums(const Peer& peer, int64_t sign);
  static void Add(const OutstandingLoad& load, OutstandingLoad& total);
  /// True if the sums contain the load of a peer whose timeout has passed.
  bool SumsOutdated(Time now) const {
    return !peers_.empty() && now - oldest_heartbeat_ > peer_timeout_;
  }
  void UpdateOldestHeartbeat();

  const Duration peer_timeout_;
  std::unordered_map<UpstreamId, OwnWork> own_;
  std::map<std::string, Peer> peers_;
  std::unordered_map<UpstreamId, PeerSum> peer_sums_;
  // The oldest of the peers' last heartbeats.
  Time oldest_heartbeat_{};
  DispatchId next_id_ = 1;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_LOAD_H_
