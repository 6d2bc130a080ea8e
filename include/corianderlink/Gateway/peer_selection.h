// Which peer takes over a request that this gateway cannot serve.
#ifndef CORIANDERLINK_GATEWAY_PEER_SELECTION_H_
#define CORIANDERLINK_GATEWAY_PEER_SELECTION_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "corianderlink/Gateway/gateway_peers.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/random.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// Spreads forwarded requests over the peers: of two random ones, the one with
/// fewer of this gateway's requests, then the one in its own zone.
class PeerSelection {
 public:
  PeerSelection(ZoneId own_zone, RandomSource& random)
      : own_zone_(std::move(own_zone)), random_(random) {}

  /// True if the peer can take requests of the service.
  static bool CanServe(const GatewayPeer& peer, const ServiceId& service);
  /// True if the peer also reaches most of the service's upstreams.
  static bool IsUnimpaired(const GatewayPeer& peer, const ServiceId& service);
  /// Returns the address for forwarded requests of one of the `live` peers, an
  /// unimpaired one if there is any; empty if none is left.
  std::optional<Address> Choose(const std::vector<const GatewayPeer*>& live,
                                const ServiceId& service,
                                const std::set<Address>& excluded);
  void OnBegin(const Address& peer) { ++in_progress_[peer]; }
  void OnEnd(const Address& peer);

 private:
  size_t InProgress(const Address& peer) const;

  const ZoneId own_zone_;
  RandomSource& random_;
  std::map<Address, size_t> in_progress_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_PEER_SELECTION_H_
