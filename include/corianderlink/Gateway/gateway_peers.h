// The other gateways: found through the store, known by their heartbeats.
#ifndef CORIANDERLINK_GATEWAY_GATEWAY_PEERS_H_
#define CORIANDERLINK_GATEWAY_GATEWAY_PEERS_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Gateway/prompt.h"
#include "corianderlink/Gateway/record_store.h"
#include "corianderlink/Gateway/role_planner.h"
#include "corianderlink/Gateway/upstream_load.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Wire/peer_bus.h"

namespace corianderlink {

/// What a gateway tells its peers.
struct GatewayStatus {
  std::string instance;
  ZoneId zone;
  Address front;
  Address peer;
  bool ready = false;
  bool leaving = false;
  uint64_t config_version = 0;
  /// Version of the store up to which the upstreams are known.
  uint64_t upstreams_version = 0;
  std::map<UpstreamId, OutstandingLoad> shares;
  /// Prompts sent to engines since the last heartbeat.
  std::vector<PromptUse> uses;
  /// Demand on the engines of each service.
  std::map<ServiceId, ServiceDemand> demands;
  /// Engines that no gateway should send new work to.
  std::set<UpstreamId> held;
};

/// Records of the store as a gateway read them.
struct PeerRecords {
  std::optional<StoreRecord> config;
  std::vector<StoreRecord> upstreams;
  uint64_t upstreams_version = 0;
};

/// A peer as last heard of.
struct GatewayPeer {
  std::string process;
  Time heard{};
  GatewayStatus status;
};

/// Exchanges heartbeats.  Their interval grows with the number of peers, so
/// that the cost of a gateway stays bounded.
class GatewayPeers {
 public:
  using StatusSource = std::function<GatewayStatus(Time)>;

  GatewayPeers(EventLoop& loop, std::string deployment, ProcessId self,
               Address own_address, StatusSource status);

  bool Listen(const Address& address) { return bus_.Listen(address); }
  void Start();
  /// Sends a heartbeat to every peer now.
  void SendHeartbeat();
  /// A peer is said to listen at `address`.
  void Learn(const Address& address);

  /// Peers heard of within the timeout.
  std::vector<const GatewayPeer*> Live(Time now) const;
  /// Gateways that share the load, this one included.
  size_t Count(Time now) const { return Live(now).size() + 1; }
  const PeerBusCounters& counters() const { return bus_.counters(); }

  /// Asks a live peer for records that the store does not give.
  void AskForRecords(bool needs_upstreams);

  /// Fills in the answer to a peer that asks for records.
  std::function<PeerRecords(bool needs_upstreams)> on_records_request;
  /// A peer answered.
  std::function<void(const PeerRecords&)> on_records;
  /// Called for each heartbeat of a peer.
  std::function<void(Time, const GatewayPeer&)> on_heartbeat;

  /// A peer not heard of for this long is not live.
  static constexpr Duration kPeerTimeout = milliseconds(1500);

 private:
  void OnMessage(const wire::Envelope& message);
  void OnHeartbeat(const wire::Envelope& message);
  void OnRecordsRequest(const wire::Envelope& message);
  void OnRecordsAnswer(const wire::Envelope& message);
  void Tick();
  Duration Interval(Time now) const;
  void Expire(Time now);

  EventLoop& loop_;
  PeerBus bus_;
  const ProcessId self_;
  const Address own_address_;
  const StatusSource status_;
  std::map<std::string, GatewayPeer> peers_;
  // Addresses to send to, with the last sign of life.
  std::map<Address, Time> receivers_;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_GATEWAY_PEERS_H_
