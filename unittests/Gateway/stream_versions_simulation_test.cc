// Streams that break off and go on, in a fleet whose gateways fall out of step.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>

#include "corianderlink/Gateway/gateway_peers.h"
#include "corianderlink/Gateway/stream_versions.h"

namespace corianderlink {
namespace {

const ServiceId kService("chat");
constexpr Duration kTick = milliseconds(25);
constexpr Duration kPeerExpiry = seconds(20);
constexpr Duration kWatchWait = milliseconds(1500);
// Twice the longest time in which a client resumes a stream.
constexpr Duration kStreamLifetime = seconds(24);
// Upstreams end so long after they have left.
constexpr Duration kDrainTime = seconds(8);
constexpr size_t kGateways = 4;
constexpr int64_t kUnixNowMs = 1'700'000'000'000;

/// What a naive gateway does.
enum class Naivety { kNone, kTakesSilenceForConsent, kDatesByArrival };

/// What is known at a time, and when it was asked for.
struct StoreAnswer {
  Time asked_at{};
  Time due{};
  std::set<SoftwareVersion> versions;
};

struct Message {
  size_t from = 0;
  Time sent_at{};
  std::optional<Time> echo;
  StreamVersionReport report;
};

struct Peer {
  StreamVersionReport report;
  Time heard_at = Time::min();
  std::optional<Time> sent_at;
  std::optional<Time> reported_after;
};

/// One gateway: what it knows and what waits for it.
struct Node {
  explicit Node(uint64_t seed) : random(seed) {}

  RandomSource random;
  UpstreamDirectory directory{seconds(2)};
  StreamVersions versions{directory, random};
  std::array<Peer, kGateways> peers;
  std::deque<Message> inbox;
  std::optional<StoreAnswer> answer;
  std::set<SoftwareVersion> registered;
  Time still_until = Time::min();
  Time cut_until = Time::min();
};

/// A fleet in virtual time.  Streams are known to no other gateway, so that
/// each resumption is placed by what is known of versions.
class StreamVersionsSimulation {
 public:
  StreamVersionsSimulation(uint64_t seed, Naivety naivety)
      : random_(seed), naivety_(naivety) {
    Join();
    for (size_t i = 0; i < kGateways; ++i) {
      nodes_.push_back(std::make_unique<Node>(seed + i));
      StreamVersions& versions = nodes_.back()->versions;
      versions.history().SetStreamLifetime(kStreamLifetime);
      versions.Restore(now_, {}, kUnixNowMs, now_);
    }
  }

  void Run(Duration time) {
    for (const Time end = now_ + time; now_ < end; now_ += kTick) {
      if (Happens(0.001)) Join();
      if (Happens(0.01)) Leave();
      for (const auto& node : nodes_) Disturb(*node);
      for (size_t i = 0; i < kGateways; ++i) Turn(i);
    }
  }

  int resumed = 0;
  int refused = 0;
  int joined = 0;

 private:
  struct Stream {
    SoftwareVersion version;
    Time begun_at{};
  };

  bool Happens(double probability) { return random_.Uniform() < probability; }
  Duration UpTo(Duration most) {
    return FromSeconds(random_.Uniform() * ToSeconds(most));
  }
  void Join() {
    registered_.insert(SoftwareVersion("v" + std::to_string(++joins_)));
  }
  void Leave() {
    if (registered_.size() < 2) return;
    left_at_[*registered_.begin()] = now_;
    registered_.erase(registered_.begin());
  }
  void Disturb(Node& node) {
    if (Happens(0.003)) node.still_until = now_ + UpTo(seconds(9));
    if (Happens(0.003)) node.cut_until = now_ + UpTo(seconds(9));
  }

  void Turn(size_t number) {
    Node& node = *nodes_[number];
    AnswerWatch(node);
    if (now_ < node.still_until) return;
    // What has arrived and what clients send is handled in any order.
    for (int step = 0; step < 4; ++step) {
      if (Happens(0.5)) ReadAnswer(node);
      if (Happens(0.5)) ReadMessages(node);
      if (Happens(0.5)) Resume(node);
    }
    node.versions.Update(now_);
    Begin(node);
    Send(number);
  }
  /// The store answers when its time has come, also while nobody reads.
  void AnswerWatch(Node& node) {
    if (!node.answer) {
      if (now_ < node.still_until) return;
      node.answer = {now_, now_ + UpTo(kWatchWait), {}};
    }
    if (node.answer->versions.empty() && node.answer->due <= now_) {
      node.answer->versions = registered_;
    }
  }
  void ReadAnswer(Node& node) {
    if (!node.answer || node.answer->versions.empty()) return;
    if (now_ < node.cut_until) return;
    Apply(node, node.answer->versions);
    node.versions.OnKnowledge(Dated(node.answer->asked_at));
    node.answer.reset();
  }
  void Apply(Node& node, const std::set<SoftwareVersion>& versions) {
    for (const SoftwareVersion& version : node.registered) {
      if (versions.count(version) > 0) continue;
      node.directory.Remove(now_, UpstreamId(version.value()),
                            {1, ++sequence_});
    }
    for (const SoftwareVersion& version : versions) {
      if (node.registered.count(version) > 0) continue;
      UpstreamRecord record;
      record.id = UpstreamId(version.value());
      record.service = kService;
      record.version = version;
      record.started_ms = 1;
      record.sequence = ++sequence_;
      node.directory.Put(record);
    }
    node.registered = versions;
    node.versions.Update(now_);
  }
  void ReadMessages(Node& node) {
    if (now_ < node.cut_until) return;
    for (int i = 0; i < 100 && !node.inbox.empty(); ++i) {
      const Message message = node.inbox.front();
      node.inbox.pop_front();
      node.peers[message.from] = {message.report, now_, message.sent_at,
                                  message.echo};
      const auto echo = message.echo;
      node.versions.OnReport(now_, message.report,
                             echo ? std::optional(Dated(*echo)) : echo);
    }
  }
  Time Dated(Time asked_at) const {
    return naivety_ == Naivety::kDatesByArrival ? now_ : asked_at;
  }
  void Send(size_t number) {
    Node& node = *nodes_[number];
    const StreamVersionReport report = node.versions.NextReport(now_, {});
    for (size_t to = 0; to < kGateways; ++to) {
      // While a link is cut, some messages are lost and some delayed.
      const bool cut = now_ < std::max(node.cut_until, nodes_[to]->cut_until);
      if (to == number || (cut && Happens(0.8))) continue;
      nodes_[to]->inbox.push_back(
          {number, now_, node.peers[to].sent_at, report});
    }
  }
  void Begin(Node& node) {
    const Duration silence = naivety_ == Naivety::kTakesSilenceForConsent
                                 ? GatewayPeers::kPeerTimeout
                                 : kPeerExpiry;
    std::vector<const StreamVersionReport*> reports;
    for (const Peer& peer : node.peers) {
      const bool is_known = peer.sent_at && now_ - peer.heard_at <= silence;
      if (is_known) reports.push_back(&peer.report);
    }
    const VersionConstraint constraint =
        node.versions.ForNewStream(now_, kService, reports);
    for (const UpstreamRecord* upstream : node.directory.Usable(kService)) {
      if (!constraint.Permits(*upstream) || !Happens(0.2)) continue;
      const auto left = left_at_.find(upstream->version);
      if (left != left_at_.end() && now_ - left->second > kDrainTime) continue;
      streams_.push_back({upstream->version, now_});
    }
    while (!streams_.empty() &&
           now_ - streams_.front().begun_at > kStreamLifetime / 2) {
      streams_.pop_front();
    }
  }
  /// A client resumes a recent stream; more often one that has just begun.
  void Resume(Node& node) {
    if (streams_.empty()) return;
    const double recency = random_.Uniform() * random_.Uniform();
    const auto back =
        static_cast<size_t>(recency * static_cast<double>(streams_.size()));
    const Stream& stream = streams_[streams_.size() - 1 - back];
    Time reported_until = Time::max();
    for (const Peer& peer : node.peers) {
      if (!peer.sent_at || now_ - peer.heard_at > kPeerExpiry) continue;
      reported_until =
          std::min(reported_until, peer.reported_after.value_or(Time::min()));
    }
    const auto version =
        node.versions.Resolve(now_, {1}, kService, reported_until).version;
    if (!version) {
      ++refused;
      return;
    }
    ++resumed;
    if (*version != stream.version) ++joined;
  }

  RandomSource random_;
  const Naivety naivety_;
  Time now_{seconds(1000)};
  int joins_ = 0;
  uint64_t sequence_ = 0;
  std::set<SoftwareVersion> registered_;
  std::map<SoftwareVersion, Time> left_at_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::deque<Stream> streams_;
};

/// Numbers of resumed streams, and of those that two versions wrote.
std::pair<int, int> Play(Naivety naivety, uint64_t seeds) {
  int resumed = 0;
  int joined = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    StreamVersionsSimulation simulation(seed, naivety);
    simulation.Run(seconds(120));
    resumed += simulation.resumed;
    joined += simulation.joined;
  }
  return {resumed, joined};
}

TEST(StreamVersionsSimulationTest, GatewaysOutOfStepJoinNoStreams) {
  const auto [resumed, joined] = Play(Naivety::kNone, 60);
  EXPECT_GT(resumed, 10000);
  EXPECT_EQ(joined, 0);
}

TEST(StreamVersionsSimulationTest, NaiveGatewaysOutOfStepJoinStreams) {
  EXPECT_GT(Play(Naivety::kTakesSilenceForConsent, 60).second, 0);
  EXPECT_GT(Play(Naivety::kDatesByArrival, 60).second, 0);
}

}  // namespace
}  // namespace corianderlink
