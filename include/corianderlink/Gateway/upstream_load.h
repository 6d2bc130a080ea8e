// Work that this gateway and its peers have given to upstreams.
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

/// Order in which an engine admits waiting requests.
enum class PriorityTier {
  kExpress,  ///< Small prompts.
  kTimely,   ///< Can still meet their objective.
  kLate,     ///< Cannot, but are worth an answer before their deadline.
};
constexpr size_t kPriorityTiers = 3;

/// Outstanding work of one gateway on one upstream.
struct OutstandingLoad {
  /// Requests dispatched and not ended.
  uint32_t requests = 0;
  /// Those of them with small prompts, which mostly generate.
  uint32_t express = 0;
  /// Estimated time of computing that has not been done, by tier, milliseconds.
  std::array<double, kPriorityTiers> backlog_ms{};

  bool empty() const { return requests == 0; }
  /// Time until work of `tier` that is sent now would begin, milliseconds.
  double BacklogMs(PriorityTier tier) const {
    double sum = 0;
    for (size_t i = 0; i <= static_cast<size_t>(tier); ++i) {
      sum += backlog_ms[i];
    }
    return sum;
  }
};

using DispatchId = uint64_t;

class UpstreamLoad {
 public:
  /// A peer's share is ignored once it was not heard of for `peer_timeout`.
  explicit UpstreamLoad(Duration peer_timeout) : peer_timeout_(peer_timeout) {}

  /// A request of estimated `cost_ms` was sent.
  DispatchId OnDispatch(Time now, const UpstreamId& upstream, PriorityTier tier,
                        double cost_ms);
  /// The upstream computed the request's prompt, or answered.
  void OnPrefillComplete(Time now, const UpstreamId& upstream, DispatchId id);
  /// The request ended.
  void OnEnd(Time now, const UpstreamId& upstream, DispatchId id);

  void SetPeer(Time now, const std::string& peer,
               std::map<UpstreamId, OutstandingLoad> shares);
  /// Drops the shares of peers that were silent for too long.
  void ExpirePeers(Time now);

  /// Sum of all gateways' shares of an upstream; its cost does not depend on
  /// the number of gateways.
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
  /// Own requests that wait for computing longer than `limit`, while nothing
  /// was computed since: the upstream seems to hang.
  bool Stalled(Time now, const UpstreamId& upstream, Duration limit) const;
  /// Median age of the peers' shares that count.
  Duration PeerAge(Time now) const;
  /// Usual time between two news of a peer, the median over the peers.
  Duration HeartbeatInterval(Time now) const;
  /// Own shares on all upstreams that have any.
  std::map<UpstreamId, OutstandingLoad> OwnLoads(Time now) const;
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
    PriorityTier tier = PriorityTier::kTimely;
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
    /// Time between its news, averaged; nothing before the second news.
    std::optional<Duration> interval;
    std::map<UpstreamId, OutstandingLoad> shares;
  };
  /// Sum of peers' shares, in whole numbers: what is added can be taken off
  /// again exactly.
  struct PeerSum {
    int64_t requests = 0;
    int64_t express = 0;
    std::array<int64_t, kPriorityTiers> backlog_us{};

    bool operator==(const PeerSum&) const = default;
  };

  static std::optional<Duration> AverageInterval(Time now, const Peer& peer);
  static OutstandingLoad ShareOf(Time now, const Own& own);
  /// Adds a peer's shares to the sums, or takes them off if `sign` is -1.
  void AddToSums(const Peer& peer, int64_t sign);
  static void Add(const OutstandingLoad& share, OutstandingLoad& total);
  /// True if a peer's share is in the sums that should not count any more.
  bool SumsOutdated(Time now) const {
    return !peers_.empty() && now - oldest_heard_ > peer_timeout_;
  }
  void NoteOldest();

  const Duration peer_timeout_;
  std::unordered_map<UpstreamId, Own> own_;
  std::map<std::string, Peer> peers_;
  std::unordered_map<UpstreamId, PeerSum> peer_sums_;
  // When the peer that has been silent longest was heard.
  Time oldest_heard_{};
  DispatchId next_id_ = 1;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_LOAD_H_
