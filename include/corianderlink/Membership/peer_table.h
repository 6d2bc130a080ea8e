// What this process heard from its peers.
#ifndef CORIANDERLINK_MEMBERSHIP_PEER_TABLE_H_
#define CORIANDERLINK_MEMBERSHIP_PEER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Platform/instance.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"
#include "peer.pb.h"

namespace corianderlink {

/// The last heartbeat of a peer process.
struct PeerState {
  ProcessId process;
  Address address;
  Time last_heard{};
  wire::Heartbeat heartbeat;
};

/// Liveness of peers from heartbeats, corrected by and correcting the
/// platform's lagging list.
class PeerTable {
 public:
  /// A peer is live for `timeout` after its last heartbeat.
  explicit PeerTable(Duration timeout) : timeout_(timeout) {}

  void OnHeartbeat(Time now, const ProcessId& process,
                   const wire::Heartbeat& heartbeat);
  /// Replaces the platform's list.
  void OnInstances(std::vector<Instance> instances);
  /// Forgets peers that were silent for many timeouts.
  void Expire(Time now);

  /// Peers of `kind` ("entry" or "fleet") heard within the timeout.
  std::vector<const PeerState*> Live(Time now, const std::string& kind) const;
  /// True if `process` was heard within the timeout.
  bool IsLive(Time now, const ProcessId& process) const;
  const std::map<ProcessId, PeerState>& peers() const { return peers_; }
  const std::vector<Instance>& instances() const { return instances_; }

  /// Receivers to send heartbeats to: listed ones and heard ones.
  std::set<Address> Receivers(const Address& self) const;

  /// Instances of the list of which some process was heard within `window`.
  size_t HeardInstances(Time now, const std::string& own_instance,
                        Duration window) const;

 private:
  const Duration timeout_;
  std::map<ProcessId, PeerState> peers_;
  std::vector<Instance> instances_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_PEER_TABLE_H_
