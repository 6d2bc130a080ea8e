// Work that gateways have given to upstreams.
#include "corianderlink/Gateway/upstream_load.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace corianderlink {
namespace {

size_t Index(WorkTier tier) { return static_cast<size_t>(tier); }

}  // namespace

DispatchId UpstreamLoad::OnDispatch(Time now, const UpstreamId& upstream,
                                    WorkTier tier, double cost_ms) {
  const DispatchId id = next_id_++;
  own_[upstream].dispatches.push_back({id, tier, cost_ms, now, false});
  return id;
}

void UpstreamLoad::OnComputed(Time now, const UpstreamId& upstream,
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
                           std::map<UpstreamId, LoadShare> shares) {
  peers_[peer] = {now, std::move(shares)};
}

LoadShare UpstreamLoad::ShareOf(Time now, const Own& own) {
  LoadShare share;
  share.requests = static_cast<uint32_t>(own.dispatches.size());
  bool first = true;
  for (const Dispatch& dispatch : own.dispatches) {
    if (dispatch.tier == WorkTier::kExpress) ++share.express;
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

template <typename Value>
auto UpstreamLoad::Sum(Time now, const UpstreamId& upstream,
                       Value value) const {
  decltype(value(LoadShare{})) sum{};
  const auto own = own_.find(upstream);
  if (own != own_.end()) sum += value(ShareOf(now, own->second));
  for (const auto& [name, peer] : peers_) {
    if (now - peer.heard > peer_timeout_) continue;
    const auto share = peer.shares.find(upstream);
    if (share != peer.shares.end()) sum += value(share->second);
  }
  return sum;
}

double UpstreamLoad::BacklogMs(Time now, const UpstreamId& upstream,
                               WorkTier tier) const {
  return Sum(now, upstream, [tier](const LoadShare& share) {
    double sum = 0;
    for (size_t i = 0; i <= Index(tier); ++i) sum += share.backlog_ms[i];
    return sum;
  });
}

uint32_t UpstreamLoad::Requests(Time now, const UpstreamId& upstream) const {
  return Sum(now, upstream,
             [](const LoadShare& share) { return share.requests; });
}

uint32_t UpstreamLoad::Express(Time now, const UpstreamId& upstream) const {
  return Sum(now, upstream,
             [](const LoadShare& share) { return share.express; });
}

uint32_t UpstreamLoad::OwnRequests(const UpstreamId& upstream) const {
  const auto own = own_.find(upstream);
  if (own == own_.end()) return 0;
  return static_cast<uint32_t>(own->second.dispatches.size());
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
  if (ages.empty()) return Duration::zero();
  const auto median =
      ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 2);
  std::nth_element(ages.begin(), median, ages.end());
  return *median;
}

std::map<UpstreamId, LoadShare> UpstreamLoad::OwnShares(Time now) const {
  std::map<UpstreamId, LoadShare> shares;
  for (const auto& [id, own] : own_) {
    if (!own.dispatches.empty()) shares[id] = ShareOf(now, own);
  }
  return shares;
}

}  // namespace corianderlink
