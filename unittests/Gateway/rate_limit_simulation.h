// Gateways that share the rate limits of upstreams, in virtual time.
#ifndef CORIANDERLINK_UNITTESTS_GATEWAY_RATE_LIMIT_SIMULATION_H_
#define CORIANDERLINK_UNITTESTS_GATEWAY_RATE_LIMIT_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "corianderlink/Gateway/fleet_rate_limiter.h"

namespace corianderlink {

/// Where the requests arrive.
enum class Demand { kEven, kOneGateway, kShifting };

/// Gateways, a network between them and an upstream with a rate limit.
class RateLimitSimulation {
 public:
  struct Options {
    size_t gateways = 3;
    double limit = 5;
    Demand demand = Demand::kEven;
    uint64_t seed = 1;
    /// Each gateway has a bucket of its own for the whole limit.
    bool naive = false;
  };

  explicit RateLimitSimulation(const Options& options)
      : options_(options), random_(options.seed) {
    upstream_.id = UpstreamId("u" + std::to_string(options.seed));
    upstream_.started_ms = 1;
    for (size_t i = 0; i < options.gateways; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      nodes_[i]->limiter = std::make_unique<FleetRateLimiter>(numbers_);
      nodes_[i]->address = {"10.0.0.1", static_cast<uint16_t>(kFirstPort + i)};
    }
    // All of them have been there for a while.
    for (auto& node : nodes_) {
      node->heard.assign(nodes_.size(), now_);
      node->leaving_seen.assign(nodes_.size(), false);
    }
    for (size_t i = 0; i < nodes_.size(); ++i) StartNode(i);
    At(Random(1, 5), [this] { GenerateRequest(); });
  }

  void Run(Duration time) {
    const Time end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
      // The queue gives no other access to a move-only event.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }

  void Kill(size_t i) {
    Node& node = *nodes_[i];
    node.alive = false;
    ++node.incarnation;
    Excuse(i);
  }
  /// Starts a killed gateway, which knows nothing.
  void Restart(size_t i) {
    Node& node = *nodes_[i];
    node.limiter = std::make_unique<FleetRateLimiter>(numbers_);
    node.alive = true;
    node.frozen = node.leaving = false;
    node.backlog.clear();
    node.members.clear();
    std::fill(node.heard.begin(), node.heard.end(), Time{});
    std::fill(node.leaving_seen.begin(), node.leaving_seen.end(), false);
    StartNode(i);
    Excuse(i);
  }
  void Freeze(size_t i) {
    nodes_[i]->frozen = true;
    Excuse(i);
  }
  void Thaw(size_t i) {
    Node& node = *nodes_[i];
    node.frozen = false;
    for (auto& run : std::exchange(node.backlog, {})) run();
    Excuse(i);
  }
  /// Gateways on different sides do not reach each other.
  void SetSide(size_t i, int side, bool excused) {
    nodes_[i]->side = side;
    if (excused) Excuse(i);
  }
  /// A planned stop begins; the gateway serves its clients on.
  void Leave(size_t i) {
    nodes_[i]->leaving = true;
    RefreshView(i);
    SendHeartbeat(i);
  }

  size_t size() const { return nodes_.size(); }
  Time now() const { return now_; }
  bool idle(size_t i) const {
    const Node& node = *nodes_[i];
    return node.alive && !node.frozen && !node.leaving && node.side == 0;
  }
  /// Largest number of counted arrivals in 4 s that begin at `from` or later.
  size_t MaxInWindow(Time from) const {
    size_t most = 0;
    auto end = arrivals_.begin();
    for (auto it = arrivals_.begin(); it != arrivals_.end(); ++it) {
      if (*it < from) continue;
      if (end < it) end = it;
      while (end != arrivals_.end() && *end < *it + seconds(4)) ++end;
      most = std::max(most, static_cast<size_t>(end - it));
    }
    return most;
  }
  double Rate(Time from) const {
    const auto first =
        std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
    return static_cast<double>(arrivals_.end() - first) /
           ToSeconds(now_ - from);
  }
  uint64_t messages() const { return messages_; }

 private:
  struct Event {
    Time at;
    uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };
  struct Node {
    Address address;
    std::unique_ptr<FleetRateLimiter> limiter;
    bool alive = true;
    bool frozen = false;
    bool leaving = false;
    int side = 0;
    int incarnation = 0;
    std::vector<Time> heard;
    std::vector<char> leaving_seen;
    std::vector<std::function<void()>> backlog;
    /// Until then its own arrivals are not counted.
    Time excused_until{};
    PermitAllocator own_bucket;
    size_t live = 0;
    std::vector<char> members;
  };
  static constexpr int kFirstPort = 9000;

  Duration Random(int from_ms, int to_ms) {
    std::uniform_real_distribution<double> ms(from_ms, to_ms);
    return FromSeconds(ms(random_) / 1000);
  }
  void At(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++event_number_, std::move(run)});
  }
  void Excuse(size_t i) { nodes_[i]->excused_until = now_ + seconds(3); }
  /// Runs on the node after `delay`, unless it is dead or cut off by then.
  void Deliver(size_t from, size_t to, std::function<void(Node&)> run) {
    ++messages_;
    At(Random(0, 3), [this, from, to, run = std::move(run)] {
      Node& node = *nodes_[to];
      if (!node.alive || nodes_[from]->side != node.side) return;
      if (node.frozen) {
        node.backlog.push_back([&node, run] { run(node); });
      } else {
        run(node);
      }
    });
  }

  void StartNode(size_t i) {
    Node& node = *nodes_[i];
    node.limiter->send_request = [this, i](const Address& keeper,
                                           const PermitRequest& request) {
      const size_t to = IndexOf(keeper);
      Deliver(i, to, [this, i, to, request](Node& peer) {
        const PermitReply reply = peer.limiter->OnRequest(now_, request);
        Deliver(to, i, [this, reply](Node& asker) {
          asker.limiter->OnReply(now_, reply);
        });
      });
    };
    RefreshView(i);
    const int incarnation = node.incarnation;
    At(Random(0, 25), [this, i, incarnation] { Beat(i, incarnation); });
    At(Random(0, 200), [this, i, incarnation] { Housekeep(i, incarnation); });
    At(Random(0, 25), [this, i, incarnation] { UpdateLoop(i, incarnation); });
  }
  static size_t IndexOf(const Address& address) {
    return static_cast<size_t>(address.port - kFirstPort);
  }
  Duration Interval(const Node& node) const {
    return std::max<Duration>(
        milliseconds(25), static_cast<int64_t>(node.live) * milliseconds(3));
  }
  void Beat(size_t i, int incarnation) {
    Node& node = *nodes_[i];
    if (!node.alive || node.incarnation != incarnation) return;
    if (!node.frozen) SendHeartbeat(i);
    At(Interval(node), [this, i, incarnation] { Beat(i, incarnation); });
  }
  void SendHeartbeat(size_t i) {
    const auto notices = nodes_[i]->limiter->limits().OwnNotices(now_);
    const bool leaving = nodes_[i]->leaving;
    const int side = nodes_[i]->side;
    At(Random(0, 3), [this, i, notices, leaving, side] {
      for (size_t to = 0; to < nodes_.size(); ++to) {
        Node& peer = *nodes_[to];
        if (to == i || !peer.alive || peer.frozen || peer.side != side) {
          continue;
        }
        const bool news = now_ - peer.heard[i] > Timeout(peer) ||
                          peer.leaving_seen[i] != leaving;
        peer.heard[i] = now_;
        peer.leaving_seen[i] = leaving;
        if (!notices.empty()) peer.limiter->limits().OnPeerNotices(notices);
        if (news) RefreshView(to);
      }
    });
  }
  void Housekeep(size_t i, int incarnation) {
    Node& node = *nodes_[i];
    if (!node.alive || node.incarnation != incarnation) return;
    if (!node.frozen) RefreshView(i);
    // In a large fleet views change with its slow heartbeats only.
    const Duration pause =
        std::max<Duration>(milliseconds(200), Interval(node) / 2);
    At(pause, [this, i, incarnation] { Housekeep(i, incarnation); });
  }
  void UpdateLoop(size_t i, int incarnation) {
    Node& node = *nodes_[i];
    if (!node.alive || node.incarnation != incarnation) return;
    if (!node.frozen) node.limiter->Update(now_);
    At(milliseconds(25),
       [this, i, incarnation] { UpdateLoop(i, incarnation); });
  }
  Duration Timeout(const Node& node) const {
    return std::max<Duration>(milliseconds(1500), 3 * Interval(node));
  }
  /// Sets what GatewayPeers::View would return.
  void RefreshView(size_t i) {
    Node& node = *nodes_[i];
    const Time live_since = now_ - milliseconds(1500);
    const Time member_since = now_ - Timeout(node);
    const Time known_since = now_ - seconds(20);
    size_t live = 0;
    size_t known = 1;
    bool changed = node.members.empty();
    node.members.resize(nodes_.size());
    for (size_t j = 0; j < nodes_.size(); ++j) {
      const bool self = j == i;
      const bool stays = self ? !node.leaving : !node.leaving_seen[j];
      const Time heard = self ? now_ : node.heard[j];
      if (heard >= live_since) ++live;
      if (!self && stays && heard >= known_since) ++known;
      const char member = stays && heard >= member_since ? 1 : 0;
      changed |= node.members[j] != member;
      node.members[j] = member;
    }
    node.live = live;
    if (!changed && known == node.limiter->view().known) return;
    FleetView view;
    view.self = node.address;
    view.known = known;
    view.settle = 2 * Interval(node) + milliseconds(50);
    for (size_t j = 0; j < nodes_.size(); ++j) {
      if (node.members[j] != 0) view.members.push_back(nodes_[j]->address);
    }
    node.limiter->SetView(std::move(view));
  }

  double DemandPerSecond() const { return 2 * options_.limit + 20; }
  size_t NextGateway() {
    if (options_.demand == Demand::kOneGateway) return 0;
    if (options_.demand == Demand::kShifting) {
      const auto second =
          static_cast<size_t>(ToSeconds(now_.time_since_epoch()));
      return second % nodes_.size();
    }
    return random_() % nodes_.size();
  }
  void GenerateRequest() {
    std::exponential_distribution<double> gap(DemandPerSecond());
    At(FromSeconds(gap(random_)), [this] { GenerateRequest(); });
    const size_t i = NextGateway();
    Node& node = *nodes_[i];
    if (!node.alive || node.frozen) return;
    if (node.limiter->Blocks(now_, upstream_, {})) return;
    if (options_.naive) {
      const auto limit = node.limiter->limits().PerSecond(upstream_);
      const bool granted = !limit || node.own_bucket
                                             .Take(now_, upstream_.id, *limit,
                                                   Duration::zero(), {1, 0})
                                             .granted > 0;
      if (granted) SendToUpstream(i);
      return;
    }
    const int incarnation = node.incarnation;
    node.limiter->Acquire(now_, upstream_, 0,
                          [this, i, incarnation](bool granted) {
                            if (!granted) return;
                            if (nodes_[i]->incarnation != incarnation) return;
                            SendToUpstream(i);
                          });
  }
  void SendToUpstream(size_t i) {
    const Time sent_at = now_;
    const int incarnation = nodes_[i]->incarnation;
    At(Random(0, 3), [this, i, sent_at, incarnation] {
      if (now_ >= nodes_[i]->excused_until) arrivals_.push_back(now_);
      At(Random(15, 25), [this, i, sent_at, incarnation] {
        Node& node = *nodes_[i];
        if (!node.alive || node.frozen || node.incarnation != incarnation) {
          return;
        }
        node.limiter->limits().OnNotice(
            {upstream_.id, 1, options_.limit, sent_at, now_});
      });
    });
  }

  const Options options_;
  std::mt19937_64 random_;
  // For the numbers of permit requests; apart, so that plays stay as they were.
  RandomSource numbers_{options_.seed};
  Time now_ = Time(seconds(1000));
  uint64_t event_number_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  UpstreamRecord upstream_;
  std::vector<Time> arrivals_;
  uint64_t messages_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_GATEWAY_RATE_LIMIT_SIMULATION_H_
