// Which peers a gateway asks for records, and when.
#include "corianderlink/Gateway/peer_sync.h"

namespace corianderlink {
namespace {

// The store usually delivers the same records shortly, so a gateway that has
// records gives it some time first.
constexpr Duration kDelay = milliseconds(300);
// Peers may know things of an upstream that this gateway never takes over, so
// requests for them are spaced.
constexpr Duration kDivergedInterval = seconds(1);

}  // namespace

PeerRequests PeerSync::Next(Time now, const RecordCache& cache, uint64_t digest,
                            const std::vector<const GatewayPeer*>& live,
                            Duration spread) {
  NoteDigest(now, digest);
  PeerRequests requests = FindAhead(cache, live);
  if (requests.config == nullptr && requests.upstreams == nullptr) {
    behind_since_.reset();
    requests.upstreams = FindDiverged(now, live, spread);
    return requests;
  }
  if (!behind_since_) behind_since_ = now;
  const bool loaded = cache.upstreams_loaded() && cache.config() != nullptr;
  if (loaded && now - *behind_since_ < kDelay) return {};
  return requests;
}

PeerRequests PeerSync::FindAhead(const RecordCache& cache,
                                 const std::vector<const GatewayPeer*>& live) {
  PeerRequests ahead;
  for (const GatewayPeer* peer : live) {
    const GatewayStatus& status = peer->status;
    if (!status.ready) continue;
    if (cache.IsConfigBehind(status) &&
        (ahead.config == nullptr ||
         status.config_version > ahead.config->status.config_version)) {
      ahead.config = peer;
    }
    if (cache.AreUpstreamsBehind(status) &&
        (ahead.upstreams == nullptr ||
         status.upstreams_position >
             ahead.upstreams->status.upstreams_position)) {
      ahead.upstreams = peer;
    }
  }
  return ahead;
}

const GatewayPeer* PeerSync::FindDiverged(
    Time now, const std::vector<const GatewayPeer*>& live, Duration spread) {
  const Duration delay = kDelay + spread;
  if (now - digest_since_ < delay) return nullptr;
  if (last_diverged_request_ &&
      now - *last_diverged_request_ < kDivergedInterval) {
    return nullptr;
  }
  for (const GatewayPeer* peer : live) {
    if (!peer->status.ready || peer->status.upstreams_digest == digest_) {
      continue;
    }
    if (now - peer->digest_since < delay) continue;
    last_diverged_request_ = now;
    return peer;
  }
  return nullptr;
}

void PeerSync::NoteDigest(Time now, uint64_t digest) {
  if (digest == digest_) return;
  digest_ = digest;
  digest_since_ = now;
}

}  // namespace corianderlink
