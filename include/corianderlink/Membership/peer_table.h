// Table of the peer processes, from their heartbeats.
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
  Time last_heartbeat{};
  wire::Heartbeat heartbeat;
};

/// Peers known from heartbeats, together with the platform's list of instances.
/// The list lags behind, so heartbeats decide which peers are live, and both
/// are used to find the receivers of heartbeats.
class PeerTable {
 public:
  /// A peer is live for `timeout` after its last heartbeat.
  explicit PeerTable(Duration timeout) : timeout_(timeout) {}

  void OnHeartbeat(Time now, const ProcessId& process,
                   const wire::Heartbeat& heartbeat);
  /// Replaces the platform's list of instances.
  void OnInstances(std::vector<Instance> instances);
  /// Removes peers whose last heartbeat is many timeouts old.
  void Expire(Time now);

  /// Returns the live peers of `kind` ("entry" or "fleet").
  std::vector<const PeerState*> Live(Time now, const std::string& kind) const;
  /// Returns true if `process` is known and live.
  bool IsLive(Time now, const ProcessId& process) const;
  const std::map<ProcessId, PeerState>& peers() const { return peers_; }
  const std::vector<Instance>& instances() const { return instances_; }

  /// Returns the addresses to send heartbeats to: those of listed instances and
  /// of known peers, without `self`.
  std::set<Address> Receivers(const Address& self) const;

  /// Returns the number of listed instances from which a heartbeat of any
  /// process was received within `window`.  `own_instance` counts as well.
  size_t CountLiveInstances(Time now, const std::string& own_instance,
                            Duration window) const;

 private:
  const Duration timeout_;
  std::map<ProcessId, PeerState> peers_;
  std::vector<Instance> instances_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_PEER_TABLE_H_
