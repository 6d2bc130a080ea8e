// Functions common to the entry and fleet processes: communication with peers,
// the desired state, polling of the platform, and the administration server
// with metrics and a diagnostic dump.
#ifndef CORIANDERLINK_NODE_NODE_H_
#define CORIANDERLINK_NODE_NODE_H_

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_client.h"
#include "corianderlink/Http/http_server.h"
#include "corianderlink/Membership/freshness_gate.h"
#include "corianderlink/Membership/peer_table.h"
#include "corianderlink/Node/node_settings.h"
#include "corianderlink/Node/release_follower.h"
#include "corianderlink/Platform/http_table_store.h"
#include "corianderlink/Support/metrics.h"
#include "corianderlink/Support/random.h"
#include "corianderlink/Wire/peer_bus.h"

namespace corianderlink {

/// Kind of process.  Entries serve clients; the fleet process manages engines.
enum class NodeKind { kEntry, kFleet };

/// The part of a process that exchanges heartbeats with peers and keeps the
/// desired state up to date from the table service and from peers.
class Node {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  Node(EventLoop& loop, NodeSettings settings, NodeKind kind,
       std::optional<PeerKeys> keys, std::string admin_token);

  /// Binds the sockets and starts the timers.  Returns false and sets `reason`
  /// if an address cannot be bound.
  bool Start(std::string& reason);

  /// Sends a heartbeat to every peer immediately.
  void SendHeartbeat();
  /// Applies a newly accepted state and sends its note to the peers.
  void Publish(const DesiredState& state, const ReleaseNote& note);
  /// True if the desired state is recent enough to serve requests.
  bool MayServe(Time now) const;
  /// True if this process may accept a release note; see FreshnessGate.
  bool MayAcceptNotes(Time now) const;
  /// Announces to the peers that this process is shutting down.
  void SetLeaving();

  /// Emitted after the desired state has changed.
  sigc::signal<void()> signal_state_changed;
  /// Emitted for each heartbeat received from a peer.
  sigc::signal<void(const ProcessId&, const wire::Heartbeat&)> signal_heartbeat;
  /// Emitted for each claim query and claim answer received from a peer.
  sigc::signal<void(const wire::Envelope&)> signal_claim;

  /// Adds the fields of this kind of process to a heartbeat before it is sent.
  std::function<void(wire::Heartbeat&)> fill_heartbeat;
  /// Adds the fields of this kind of process to the diagnostic dump.
  std::function<void(Json&)> fill_dump;
  /// Handles an administration request whose token has been verified.  Returns
  /// false if the path is unknown.
  std::function<bool(const Exchange&)> handle_admin;

  EventLoop& loop() { return loop_; }
  HttpClient& client() { return client_; }
  HttpTableStore& table() { return table_; }
  PeerBus& bus() { return bus_; }
  /// Of all HTTP servers of the process.
  const std::shared_ptr<ClientConnections>& client_connections() const {
    return client_connections_;
  }
  Metrics& metrics() { return metrics_; }
  RandomSource& random() { return random_; }
  const NodeSettings& settings() const { return settings_; }
  const ProcessAddresses& addresses() const { return addresses_; }
  const ProcessId& self() const { return self_; }
  const PeerTable& peers() const { return peers_; }
  ReleaseFollower& release() { return release_; }
  const DesiredState& state() const { return release_.state(); }
  bool leaving() const { return leaving_; }
  /// Administration requests whose answer was not given or not sent.
  size_t open_admin_requests() const {
    return admin_.unanswered_requests() + admin_.unsent_answers();
  }

 private:
  void OnMessage(const wire::Envelope& message);
  void OnHeartbeat(const ProcessId& process, const wire::Heartbeat& heartbeat);
  void OnReleaseUpdate(const wire::ReleaseUpdate& update);
  void PollInstances();
  void PollRevision();
  void OnRevision(Time requested_at, const std::vector<TableRow>& rows);
  void RecordStoreRead(Time requested_at);
  void ReadReleaseHead();
  void OnReleaseHead(Time requested_at, const ReadResult& result);
  void OnAdminRequest(const Exchange& exchange);
  bool TokenMatches(const HttpExchange& exchange) const;
  FreshnessView Freshness(Time now) const;
  Json Dump(Time now) const;

  EventLoop& loop_;
  const NodeSettings settings_;
  const NodeKind kind_;
  const ProcessAddresses addresses_;
  const std::string admin_token_;
  RandomSource random_;
  const ProcessId self_;
  HttpClient client_;
  HttpTableStore table_;
  PeerBus bus_;
  PeerTable peers_;
  ReleaseFollower release_;
  FreshnessGate freshness_gate_;
  Metrics metrics_;
  const std::shared_ptr<ClientConnections> client_connections_;
  HttpServer admin_;
  bool leaving_ = false;
  bool instances_read_outstanding_ = false;
  bool revision_read_outstanding_ = false;
  bool head_read_outstanding_ = false;
  bool store_ever_read_ = false;
  // Time at which the last successful read of the current state was requested.
  Time last_store_read_{};
  Time started_;
  EventHandle heartbeat_timer_;
  EventHandle instance_timer_;
  EventHandle revision_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_NODE_NODE_H_
