// Outstanding work that gateways have sent to upstreams.
#include "corianderlink/Gateway/upstream_load.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace corianderlink {
namespace {

constexpr double kUsPerMs = 1000;
constexpr double kMsPerSecond = 1000;
// An upstream is stalled only after this many times the predicted time.
constexpr double kStallFactor = 2;
// Number of heartbeats over which their interval is averaged.
constexpr int kIntervalSampleCount = 8;

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
                                    PriorityTier tier, double cost_ms,
                                    double expected_ms) {
  const DispatchId id = next_id_++;
  own_[upstream].dispatches.push_back(
      {id, tier, cost_ms, expected_ms, now, false});
  return id;
}

void UpstreamLoad::OnPrefillComplete(Time now, const UpstreamId& upstream,
                                     DispatchId id) {
  const auto it = own_.find(upstream);
  if (it == own_.end()) return;
  it->second.last_progress = now;
  for (Dispatch& dispatch : it->second.dispatches) {
    if (dispatch.id == id) dispatch.prefill_complete = true;
  }
}

void UpstreamLoad::OnEnd(Time now, const UpstreamId& upstream, DispatchId id) {
  const auto it = own_.find(upstream);
  if (it == own_.end()) return;
  std::erase_if(it->second.dispatches,
                [id](const Dispatch& dispatch) { return dispatch.id == id; });
  it->second.last_progress = now;
}

void UpstreamLoad::SetPeer(Time now, const std::string& peer,
                           std::map<UpstreamId, OutstandingLoad> loads) {
  Peer& known = peers_[peer];
  AddToSums(known, -1);
  known.interval = AverageInterval(now, known);
  known.last_heartbeat = now;
  known.loads = std::move(loads);
  AddToSums(known, 1);
  UpdateOldestHeartbeat();
}

std::optional<Duration> UpstreamLoad::AverageInterval(Time now,
                                                      const Peer& peer) {
  if (peer.last_heartbeat == Time{}) return std::nullopt;
  const Duration gap = now - peer.last_heartbeat;
  if (!peer.interval) return gap;
  return *peer.interval + (gap - *peer.interval) / kIntervalSampleCount;
}

void UpstreamLoad::ExpirePeers(Time now) {
  if (!SumsOutdated(now)) return;
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.last_heartbeat <= peer_timeout_) {
      ++it;
      continue;
    }
    AddToSums(it->second, -1);
    it = peers_.erase(it);
  }
  UpdateOldestHeartbeat();
}

void UpstreamLoad::UpdateOldestHeartbeat() {
  oldest_heartbeat_ = Time::max();
  for (const auto& [name, peer] : peers_) {
    oldest_heartbeat_ = std::min(oldest_heartbeat_, peer.last_heartbeat);
  }
}

void UpstreamLoad::AddToSums(const Peer& peer, int64_t sign) {
  for (const auto& [upstream, load] : peer.loads) {
    PeerSum& sum = peer_sums_[upstream];
    sum.requests += sign * load.requests;
    sum.express += sign * load.express;
    sum.generating += sign * load.generating;
    for (size_t i = 0; i < kPriorityTiers; ++i) {
      sum.backlog_us[i] += sign * std::llround(load.backlog_ms[i] * kUsPerMs);
    }
    if (sum == PeerSum{}) peer_sums_.erase(upstream);
  }
}

OutstandingLoad UpstreamLoad::LoadOf(Time now, const OwnWork& own) {
  OutstandingLoad load;
  load.requests = static_cast<uint32_t>(own.dispatches.size());
  bool first = true;
  for (const Dispatch& dispatch : own.dispatches) {
    if (dispatch.tier == PriorityTier::kExpress) ++load.express;
    if (dispatch.prefill_complete || dispatch.cost_ms <= 0) ++load.generating;
    if (dispatch.prefill_complete) continue;
    double remaining_ms = dispatch.cost_ms;
    if (first) {
      // The upstream has worked on the first request since it completed the one
      // before.
      const Time started = std::max(dispatch.sent, own.last_progress);
      remaining_ms = std::max(0.0, remaining_ms - ToMillis(now - started));
      first = false;
    }
    load.backlog_ms[Index(dispatch.tier)] += remaining_ms;
  }
  return load;
}

void UpstreamLoad::Add(const OutstandingLoad& load, OutstandingLoad& total) {
  total.requests += load.requests;
  total.express += load.express;
  total.generating += load.generating;
  for (size_t i = 0; i < kPriorityTiers; ++i) {
    total.backlog_ms[i] += load.backlog_ms[i];
  }
}

OutstandingLoad UpstreamLoad::Total(Time now,
                                    const UpstreamId& upstream) const {
  OutstandingLoad total;
  const auto own = own_.find(upstream);
  if (own != own_.end()) Add(LoadOf(now, own->second), total);
  if (SumsOutdated(now)) {
    for (const auto& [name, peer] : peers_) {
      if (now - peer.last_heartbeat > peer_timeout_) continue;
      const auto load = peer.loads.find(upstream);
      if (load != peer.loads.end()) Add(load->second, total);
    }
    return total;
  }
  const auto sum = peer_sums_.find(upstream);
  if (sum == peer_sums_.end()) return total;
  total.requests += static_cast<uint32_t>(sum->second.requests);
  total.express += static_cast<uint32_t>(sum->second.express);
  total.generating += static_cast<uint32_t>(sum->second.generating);
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
  if (now - own->second.last_progress <= limit) return false;
  for (const Dispatch& dispatch : own->second.dispatches) {
    if (dispatch.prefill_complete) continue;
    const Time since = std::max(dispatch.sent, own->second.last_progress);
    const Duration expected =
        FromSeconds(kStallFactor * dispatch.expected_ms / kMsPerSecond);
    return now - since > limit + expected;
  }
  return false;
}

Duration UpstreamLoad::PeerAge(Time now) const {
  std::vector<Duration> ages;
  for (const auto& [name, peer] : peers_) {
    const Duration age = now - peer.last_heartbeat;
    if (age <= peer_timeout_) ages.push_back(age);
  }
  return Median(std::move(ages));
}

Duration UpstreamLoad::HeartbeatInterval(Time now) const {
  std::vector<Duration> intervals;
  for (const auto& [name, peer] : peers_) {
    if (now - peer.last_heartbeat > peer_timeout_ || !peer.interval) continue;
    intervals.push_back(*peer.interval);
  }
  return Median(std::move(intervals));
}

std::map<UpstreamId, OutstandingLoad> UpstreamLoad::OwnLoads(Time now) const {
  std::map<UpstreamId, OutstandingLoad> loads;
  for (const auto& [id, own] : own_) {
    if (!own.dispatches.empty()) loads[id] = LoadOf(now, own);
  }
  return loads;
}

}  // namespace corianderlink
