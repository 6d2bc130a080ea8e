// Which peer takes over a request that this gateway cannot serve.
#include "corianderlink/Gateway/peer_selection.h"

#include <algorithm>
#include <tuple>

namespace corianderlink {

bool PeerSelection::CanServe(const GatewayPeer& peer,
                             const ServiceId& service) {
  const GatewayStatus& status = peer.status;
  return status.ready && !status.leaving && status.forward_address.port != 0 &&
         status.partitioned_services.count(service) == 0;
}

bool PeerSelection::IsUnimpaired(const GatewayPeer& peer,
                                 const ServiceId& service) {
  return CanServe(peer, service) &&
         peer.status.impaired_services.count(service) == 0;
}

std::optional<Address> PeerSelection::Choose(
    const std::vector<const GatewayPeer*>& live, const ServiceId& service,
    const std::set<Address>& excluded) {
  std::vector<const GatewayPeer*> candidates;
  for (const GatewayPeer* peer : live) {
    if (!CanServe(*peer, service)) continue;
    if (excluded.count(peer->status.forward_address) > 0) continue;
    candidates.push_back(peer);
  }
  if (candidates.empty()) return std::nullopt;
  const auto unimpaired = std::stable_partition(
      candidates.begin(), candidates.end(),
      [&](const GatewayPeer* peer) { return IsUnimpaired(*peer, service); });
  if (unimpaired != candidates.begin()) {
    candidates.erase(unimpaired, candidates.end());
  }
  const auto cost = [this](const GatewayPeer& peer) {
    const GatewayStatus& status = peer.status;
    return std::tuple(InProgress(status.forward_address),
                      status.zone != own_zone_);
  };
  const auto draw = [&] {
    return candidates[random_.Bits() % candidates.size()];
  };
  const GatewayPeer* first = draw();
  const GatewayPeer* second = draw();
  const GatewayPeer* best = cost(*second) < cost(*first) ? second : first;
  return best->status.forward_address;
}

void PeerSelection::OnEnd(const Address& peer) {
  const auto it = in_progress_.find(peer);
  if (it == in_progress_.end()) return;
  if (--it->second == 0) in_progress_.erase(it);
}

size_t PeerSelection::InProgress(const Address& peer) const {
  const auto it = in_progress_.find(peer);
  return it == in_progress_.end() ? 0 : it->second;
}

}  // namespace corianderlink
