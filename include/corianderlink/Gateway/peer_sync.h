// Which peers a gateway asks for records, and when.
#ifndef CORIANDERLINK_GATEWAY_PEER_SYNC_H_
#define CORIANDERLINK_GATEWAY_PEER_SYNC_H_

#include <optional>
#include <vector>

#include "corianderlink/Gateway/gateway_peers.h"
#include "corianderlink/Gateway/record_cache.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Peers to ask for records; null if none is to be asked.
struct PeerRequests {
  const GatewayPeer* config = nullptr;
  const GatewayPeer* upstreams = nullptr;
};

/// Decides from heartbeats whose records are newer than this gateway's, or
/// differ from them although neither list is newer: after a restore of the
/// store, gateways at the same position may know different things.
class PeerSync {
 public:
  /// `digest` is that of this gateway's upstreams, and changes of the store
  /// reach all gateways within `spread` of each other.
  PeerRequests Next(Time now, const RecordCache& cache, uint64_t digest,
                    const std::vector<const GatewayPeer*>& live,
                    Duration spread);

 private:
  static PeerRequests FindAhead(const RecordCache& cache,
                                const std::vector<const GatewayPeer*>& live);
  /// A peer with another digest, if both digests have lasted.
  const GatewayPeer* FindDiverged(Time now,
                                  const std::vector<const GatewayPeer*>& live,
                                  Duration spread);
  void NoteDigest(Time now, uint64_t digest);

  // Since when a peer has had newer records than this gateway.
  std::optional<Time> behind_since_;
  uint64_t digest_ = 0;
  Time digest_since_{};
  std::optional<Time> last_diverged_request_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_PEER_SYNC_H_
