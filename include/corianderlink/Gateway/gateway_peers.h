// Exchange of heartbeats and records with the other gateways.
//
// Addresses of peers come from the store's table of gateways and from the
// heartbeats themselves.
#ifndef CORIANDERLINK_GATEWAY_GATEWAY_PEERS_H_
#define CORIANDERLINK_GATEWAY_GATEWAY_PEERS_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Authority/lease_record.h"
#include "corianderlink/Gateway/crash_quarantine.h"
#include "corianderlink/Gateway/fleet_rate_limiter.h"
#include "corianderlink/Gateway/prompt.h"
#include "corianderlink/Gateway/record_store.h"
#include "corianderlink/Gateway/role_planner.h"
#include "corianderlink/Gateway/stream_versions.h"
#include "corianderlink/Gateway/upstream_load.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Wire/peer_bus.h"

namespace corianderlink {

namespace wire {
class Heartbeat;
}  // namespace wire

/// State that a gateway reports to its peers in each heartbeat.
struct GatewayStatus {
  std::string instance;
  ZoneId zone;
  /// Address that serves clients.
  Address client_address;
  /// Address that receives messages from peers.
  Address peer_address;
  /// Address that takes forwarded requests; port 0 if there is none.
  Address forward_address;
  /// Services whose upstreams the gateway cannot reach.
  std::set<ServiceId> partitioned_services;
  /// Services of whose upstreams it reaches half at most.
  std::set<ServiceId> impaired_services;
  /// When upstreams of each service last responded to the gateway.
  std::map<ServiceId, Time> upstream_responses;
  bool ready = false;
  /// A planned stop has begun.
  bool leaving = false;
  uint64_t config_version = 0;
  /// Version of the store up to which this gateway knows the upstreams.
  StorePosition upstreams_position;
  /// Digest of the known records and departures of upstreams.
  uint64_t upstreams_digest = 0;
  /// Time since the store last responded to this gateway itself, about the
  /// table whose last response is the oldest.
  Duration store_age = Duration::max();
  /// Outstanding work that this gateway has sent to each upstream.
  std::map<UpstreamId, OutstandingLoad> shares;
  /// Prompts sent to engines since the last heartbeat.
  std::vector<PromptUse> prompt_uses;
  /// Demand of this gateway's requests on the engines of each service.
  std::map<ServiceId, ServiceDemand> demands;
  /// Engines that no gateway may send new work to, because a change of their
  /// role is under way.
  std::set<UpstreamId> held_engines;
  /// Highest fencing token of role orders that the gateway knows of.
  FencingToken highest_fencing = 0;
  /// Start times of upstreams that have said that they are leaving.
  std::map<UpstreamId, int64_t> leaving_upstreams;
  /// What the gateway knows of requests and parts of prompts that crash
  /// upstreams.
  std::vector<SuspectReport> suspect_reports;
  /// Rate limits that upstreams have named to the gateway.
  std::vector<RateLimitNotice> rate_limits;
  /// What the gateway knows of software versions, and where streams began.
  StreamVersionReport stream_versions;
};

/// Records of the store, passed on by a gateway that has read them.
struct PeerRecords {
  std::optional<StoreRecord> config;
  std::vector<StoreRecord> upstreams;
  StorePosition upstreams_position;
  std::vector<UpstreamDeparture> departures;
};

/// A peer's state in its last heartbeat.
struct GatewayPeer {
  /// Id of the process.
  std::string process;
  /// When the last heartbeat arrived.
  Time last_heartbeat{};
  /// The last heartbeat was made after this; unknown if empty.
  std::optional<Time> reported_after;
  /// The peer's clock as it sent the last heartbeat; 0 from older builds.
  uint64_t sent_at = 0;
  /// When the present digest of the peer's upstreams was first received.
  Time digest_since{};
  GatewayStatus status;
};

/// Sends heartbeats to the peers and keeps their last ones.  The interval grows
/// with the number of peers, so that the rate of heartbeats that a gateway
/// sends and receives stays bounded.
class GatewayPeers {
 public:
  using StatusSource = std::function<GatewayStatus(Time)>;

  /// Messages of other deployments are dropped.  `own_address` never receives
  /// heartbeats; `status` supplies the contents of each heartbeat.
  GatewayPeers(EventLoop& loop, std::string deployment, ProcessId self,
               Address own_address, StatusSource status);

  bool Listen(const Address& address) { return bus_.Listen(address); }
  void Start();
  /// Sends a heartbeat to every peer now.
  void SendHeartbeat();
  /// Adds an address at which a peer may listen; it receives heartbeats from
  /// now on.
  void AddPeerAddress(const Address& address);

  /// Peers whose last heartbeat is not older than kPeerTimeout.
  std::vector<const GatewayPeer*> Live(Time now) const;
  /// Peers that are not live and have not ended, as far as is known.
  std::vector<const GatewayPeer*> Unresponsive(Time now) const;
  /// All known peers that serve have a heartbeat of this gateway that was sent
  /// then or later.
  Time ReportedUntil(Time now) const;
  /// Time since the store last responded to a live peer; the longest duration
  /// if there is none.
  Duration StoreAge(Time now) const;
  /// The gateways that take part in keeping rate limits.
  FleetView View(Time now, bool self_is_member) const;
  /// Number of live gateways, including this one.
  size_t LiveGatewayCount(Time now) const { return Live(now).size() + 1; }
  const PeerBusCounters& counters() const { return bus_.counters(); }

  /// Requests the store's records from a peer.  Used while the store is
  /// unreachable or its watch lags behind that peer.
  void RequestRecords(const GatewayPeer& peer, bool needs_upstreams);

  /// Asks the gateway at `keeper` for permits.
  void SendPermitRequest(const Address& keeper, const PermitRequest& request);

  /// Answers a peer's request for permits.
  std::function<PermitReply(Time, const PermitRequest&)> on_permit_request;
  /// Called with a peer's answer.
  std::function<void(Time, const PermitReply&)> on_permit_reply;
  /// Provides the records for a peer that requests them.
  std::function<PeerRecords(bool needs_upstreams)> on_records_request;
  /// Called with the records that a peer sent on request.
  std::function<void(const PeerRecords&)> on_records_received;
  /// A peer began or ceased to be ready, or is leaving.
  std::function<void(Time)> on_member_change;
  /// Called for each heartbeat of a peer.
  std::function<void(Time, const GatewayPeer&)> on_heartbeat;

  /// A peer without a heartbeat for longer than this is not live.
  static constexpr Duration kPeerTimeout = milliseconds(1500);

 private:
  void OnMessage(const wire::Envelope& message);
  void OnHeartbeat(const wire::Envelope& message);
  void OnRecordsRequest(const wire::Envelope& message);
  void OnRecordsAnswer(const wire::Envelope& message);
  void OnPermitRequest(const wire::Envelope& message);
  void OnPermitReply(const wire::Envelope& message);
  void Tick();
  /// The time after which the sender made this heartbeat, if known.
  std::optional<Time> MadeAfter(const wire::Heartbeat& heartbeat) const;
  Duration HeartbeatInterval(Time now) const;
  void ExpirePeers(Time now);
  /// The process that sent the latest heartbeat from each address.
  std::map<Address, const GatewayPeer*> PeersByAddress() const;

  EventLoop& loop_;
  PeerBus bus_;
  const ProcessId self_;
  const Address own_address_;
  const StatusSource status_source_;
  std::map<std::string, GatewayPeer> peers_;
  // Addresses that heartbeats are sent to.  The value is the time of the last
  // heartbeat from the address, or of adding it if none has arrived.
  std::map<Address, Time> receivers_;
  EventHandle heartbeat_timer_;
  Time last_tick_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_GATEWAY_PEERS_H_
