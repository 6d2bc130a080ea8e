// Work that gateways have given to upstreams.
#include "corianderlink/Gateway/upstream_load.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace corianderlink {
namespace {

constexpr double kUsPerMs = 1000;
// News over which the time between them is averaged.
constexpr int kIntervalSamples = 8;

size_t Index(PriorityTier tier) { return static_cast<size_t>(tier); }

Duration Median(std::vector<Duration> values) {
  if (values.empty()) return Duration::zero();
  const auto median =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), median, values.end());
  return *median;
}

}  // namespace

DispatchId UpstreamLoad::OnDispatch(Time now, const UpstreamId& upstream,
                                    PriorityTier tier, double cost_ms) {
  const DispatchId id = next_id_++;
  own_[upstream].dispatches.push_back({id, tier, cost_ms, now, false});
  return id;
}

void UpstreamLoad::OnPrefillComplete(Time now, const UpstreamId& upstream,
                                     DispatchId id) {
  const auto it = own_.find(upstream);
  if (it == own_.end()) return;
  it->second.last_computed = now;
  for (Dispatch& dispatch : it->second.dispatches) {
    if (dispatch.id == id) dispatch.computed = true;
  }
}

void UpstreamLoad::OnEnd(Time now, const UpstreamId& upstream, DispatchId id) {
  const auto it = own_.find(upstream);
  if (it == own_.end()) return;
  std::erase_if(it->second.dispatches,
                [id](const Dispatch& dispatch) { return dispatch.id == id; });
  it->second.last_computed = now;
}

void UpstreamLoad::SetPeer(Time now, const std::string& peer,
                           std::map<UpstreamId, OutstandingLoad> shares) {
  Peer& known = peers_[peer];
  AddToSums(known, -1);
  known.interval = AverageInterval(now, known);
  known.heard = now;
  known.shares = std::move(shares);
  AddToSums(known, 1);
  NoteOldest();
}

std::optional<Duration> UpstreamLoad::AverageInterval(Time now,
                                                      const Peer& peer) {
  if (peer.heard == Time{}) return std::nullopt;
  const Duration gap = now - peer.heard;
  if (!peer.interval) return gap;
  return *peer.interval + (gap - *peer.interval) / kIntervalSamples;
}

void UpstreamLoad::ExpirePeers(Time now) {
  if (!SumsOutdated(now)) return;
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.heard <= peer_timeout_) {
      ++it;
      continue;
    }
    AddToSums(it->second, -1);
    it = peers_.erase(it);
  }
  NoteOldest();
}

void UpstreamLoad::NoteOldest() {
  oldest_heard_ = Time::max();
  for (const auto& [name, peer] : peers_) {
    oldest_heard_ = std::min(oldest_heard_, peer.heard);
  }
}

void UpstreamLoad::AddToSums(const Peer& peer, int64_t sign) {
  for (const auto& [upstream, share] : peer.shares) {
    PeerSum& sum = peer_sums_[upstream];
    sum.requests += sign * share.requests;
    sum.express += sign * share.express;
    for (size_t i = 0; i < kPriorityTiers; ++i) {
      sum.backlog_us[i] += sign * std::llround(share.backlog_ms[i] * kUsPerMs);
    }
    if (sum == PeerSum{}) peer_sums_.erase(upstream);
  }
}

OutstandingLoad UpstreamLoad::ShareOf(Time now, const Own& own) {
  OutstandingLoad share;
  share.requests = static_cast<uint32_t>(own.dispatches.size());
  bool first = true;
  for (const Dispatch& dispatch : own.dispatches) {
    if (dispatch.tier == PriorityTier::kExpress) ++share.express;
    if (dispatch.computed) continue;
    double left_ms = dispatch.cost_ms;
    if (first) {
      // The upstream has worked on the first one since it finished another.
      const Time since = std::max(dispatch.sent, own.last_computed);
      left_ms = std::max(0.0, left_ms - ToMillis(now - since));
      first = false;
    }
    share.backlog_ms[Index(dispatch.tier)] += left_ms;
  }
  return share;
}

void UpstreamLoad::Add(const OutstandingLoad& share, OutstandingLoad& total) {
  total.requests += share.requests;
  total.express += share.express;
  for (size_t i = 0; i < kPriorityTiers; ++i) {
    total.backlog_ms[i] += share.backlog_ms[i];
  }
}

OutstandingLoad UpstreamLoad::Total(Time now,
                                    const UpstreamId& upstream) const {
  OutstandingLoad total;
  const auto own = own_.find(upstream);
  if (own != own_.end()) Add(ShareOf(now, own->second), total);
  if (SumsOutdated(now)) {
    for (const auto& [name, peer] : peers_) {
      if (now - peer.heard > peer_timeout_) continue;
      const auto share = peer.shares.find(upstream);
      if (share != peer.shares.end()) Add(share->second, total);
    }
    return total;
  }
  const auto sum = peer_sums_.find(upstream);
  if (sum == peer_sums_.end()) return total;
  total.requests += static_cast<uint32_t>(sum->second.requests);
  total.express += static_cast<uint32_t>(sum->second.express);
  for (size_t i = 0; i < kPriorityTiers; ++i) {
    total.backlog_ms[i] +=
        static_cast<double>(sum->second.backlog_us[i]) / kUsPerMs;
  }
  return total;
}

size_t UpstreamLoad::OwnRequests(const UpstreamId& upstream) const {
  const auto own = own_.find(upstream);
  return own == own_.end() ? 0 : own->second.dispatches.size();
}

bool UpstreamLoad::Stalled(Time now, const UpstreamId& upstream,
                           Duration limit) const {
  const auto own = own_.find(upstream);
  if (own == own_.end()) return false;
  if (now - own->second.last_computed <= limit) return false;
  for (const Dispatch& dispatch : own->second.dispatches) {
    if (!dispatch.computed) return now - dispatch.sent > limit;
  }
  return false;
}

Duration UpstreamLoad::PeerAge(Time now) const {
  std::vector<Duration> ages;
  for (const auto& [name, peer] : peers_) {
    const Duration age = now - peer.heard;
    if (age <= peer_timeout_) ages.push_back(age);
  }
  return Median(std::move(ages));
}

Duration UpstreamLoad::HeartbeatInterval(Time now) const {
  std::vector<Duration> intervals;
  for (const auto& [name, peer] : peers_) {
    if (now - peer.heard > peer_timeout_ || !peer.interval) continue;
    intervals.push_back(*peer.interval);
  }
  return Median(std::move(intervals));
}

std::map<UpstreamId, OutstandingLoad> UpstreamLoad::OwnLoads(Time now) const {
  std::map<UpstreamId, OutstandingLoad> shares;
  for (const auto& [id, own] : own_) {
    if (!own.dispatches.empty()) shares[id] = ShareOf(now, own);
  }
  return shares;
}

}  // namespace corianderlink
