// The gateway: relays client requests to upstreams.
//
// Also serves the directory, readiness checks, metrics and the state dump, and
// exchanges heartbeats and records with the other gateways.
#ifndef CORIANDERLINK_GATEWAY_GATEWAY_H_
#define CORIANDERLINK_GATEWAY_GATEWAY_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Gateway/client_timeout_estimate.h"
#include "corianderlink/Gateway/crash_quarantine.h"
#include "corianderlink/Gateway/fleet_retry_budget.h"
#include "corianderlink/Gateway/forward_task.h"
#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/gateway_peers.h"
#include "corianderlink/Gateway/gateway_settings.h"
#include "corianderlink/Gateway/initial_sync.h"
#include "corianderlink/Gateway/order_codec.h"
#include "corianderlink/Gateway/peer_selection.h"
#include "corianderlink/Gateway/peer_sync.h"
#include "corianderlink/Gateway/placer.h"
#include "corianderlink/Gateway/reachability_sampler.h"
#include "corianderlink/Gateway/record_cache.h"
#include "corianderlink/Gateway/record_codec.h"
#include "corianderlink/Gateway/record_store.h"
#include "corianderlink/Gateway/relay_codec.h"
#include "corianderlink/Gateway/relay_task.h"
#include "corianderlink/Gateway/role_coordinator.h"
#include "corianderlink/Gateway/route_table.h"
#include "corianderlink/Gateway/stop_admission.h"
#include "corianderlink/Gateway/store_contact.h"
#include "corianderlink/Gateway/stream_versions.h"
#include "corianderlink/Gateway/upstream_probe.h"
#include "corianderlink/Gateway/upstream_reachability.h"
#include "corianderlink/Gateway/watch_schedule.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_server.h"
#include "corianderlink/Http/inbound_server.h"
#include "corianderlink/Http1/upstream_pool.h"
#include "corianderlink/Support/metrics.h"
#include "corianderlink/Support/random.h"

namespace corianderlink {

/// Codecs for the platform's protocols and records.
struct GatewayCodecs {
  RelayCodec relay;
  RecordCodec records;
  DirectoryCodec directory;
  OrderCodec orders;
  /// Path of readiness checks.
  std::string ready_path;
};

/// Connects the components of one gateway process.  All of them run on `loop`.
class Gateway {
 public:
  Gateway(EventLoop& loop, GatewaySettings settings, GatewayCodecs codecs);

  /// Binds all listening addresses and starts the timers.  If an address cannot
  /// be bound, returns false and sets `reason`.
  bool Start(std::string& reason);
  /// Applies the settings that may change at run time, which are the retry
  /// budget, the shutdown grace period and the directory's TTL.  Ignores
  /// changes of all other settings.
  void Reload(const GatewaySettings& settings);
  /// Begins a graceful shutdown, in which requests in progress are completed.
  /// The directory no longer lists this gateway, which accepts connections
  /// until cached directory responses have expired, takes only requests that
  /// end before it does, and refuses the others.  Stops the loop when all
  /// client connections are closed, or shortly before the end of the grace
  /// period; requests that are still in progress are answered before.
  void BeginShutdown();

  /// Handles records of the configuration that were read from the store.
  void OnConfigRecords(const std::vector<StoreRecord>& records);
  /// Replaces the list of upstreams by one that is complete up to `position` of
  /// the store.
  void OnAllUpstreams(const std::vector<StoreRecord>& records,
                      StorePosition position);
  /// Applies changed records of upstreams up to `position` of the store.
  void OnUpstreamChanges(const std::vector<StoreRecord>& records,
                         StorePosition position);
  /// The gateway was told of all changes of upstreams that the store had made
  /// by `as_of`.
  void OnUpstreamsKnown(Time as_of) { stream_versions_.OnKnowledge(as_of); }
  /// When and for how long this gateway watches the store now.
  WatchSchedule CurrentWatchSchedule() const;
  /// The store responded to a read or watch of the table.
  void OnStoreResponse(StoreTable table) {
    store_contact_.OnResponse(BootClock::now(), table);
  }
  /// Time since the store's last response about the table.
  Duration StoreAge(StoreTable table) const {
    return store_contact_.OwnAge(BootClock::now(), table);
  }
  /// The store came back from a copy and has lost writes.
  void OnStoreRestored();
  /// Adds the gateways in these records as peers.  The gateway serves no
  /// requests before it was told of the others once, or has a peer's records.
  void OnGatewayRecords(const std::vector<StoreRecord>& records);
  /// Takes over quarantines that the store has kept.  A record's key is that of
  /// the part or request, its value the Unix time of the quarantine
  /// in milliseconds, 0 if it was lifted; `unix_now_ms` is the present time.
  void OnQuarantineRecords(const std::vector<StoreRecord>& records,
                           int64_t unix_now_ms);
  /// Called with the record to be kept when this gateway quarantines a part of
  /// prompts or a request, or lifts a quarantine; `quarantined` says which, and
  /// the value is left to the callee.
  void SetQuarantineHandler(
      std::function<void(const std::string& key, bool quarantined)> handler);
  /// Takes over the records of software versions and streams that the store was
  /// asked for at `asked_at`; `unix_now_ms` is the present time.
  void OnStreamRecords(const std::vector<StoreRecord>& records,
                       int64_t unix_now_ms, Time asked_at) {
    stream_versions_.Restore(BootClock::now(), records, unix_now_ms, asked_at);
  }
  /// True if the records of software versions are to be read once more.
  bool NeedsStreamRecords() const;
  /// The next record of software versions or streams for the store, if this
  /// gateway keeps them and there is something new.
  std::optional<StoreRecord> NextStreamRecord(int64_t unix_now_ms);
  void OnStreamRecordWritten(bool written) {
    stream_versions_.OnRecordWritten(written);
  }
  /// Handles the loss or return of access to the store's table of upstreams.
  void OnUpstreamTableReachable(bool reachable);

  /// Takes part in the election of the gateway that changes engine roles.  The
  /// lease is kept in `store`, which must outlive this gateway.
  template <typename Store>
  void StartRoleCoordinator(Store& store) {
    StartRoleCoordinator(
        [&store](const TableTransaction& txn, CommitCallback done) {
          store.Commit(txn, std::move(done));
        },
        [&store](const std::string& prefix, ReadCallback done) {
          store.ReadPrefix(prefix, std::move(done));
        });
  }

  /// This gateway's record in the store's table of gateways.
  StoreRecord OwnRecord() const;
  /// True if the configuration and the list of upstreams are loaded, the peers
  /// have sent heartbeats, and the gateway is not shutting down.
  bool ready() const;
  /// Peers that have sent a heartbeat lately.
  size_t LivePeers() const { return peers_.Live(BootClock::now()).size(); }
  const Metrics& metrics() const { return metrics_; }
  const AnswerMemory& answer_memory() const { return answer_memory_; }

 private:
  void StartRoleCoordinator(
      std::function<void(const TableTransaction&, CommitCallback)> commit,
      std::function<void(const std::string&, ReadCallback)> read);
  /// True if this gateway has the lowest process id of the ready gateways.
  bool IsCoordinatorCandidate(Time now) const;
  /// Plans role changes from the demand on all gateways, for at most one
  /// service at a time.
  std::vector<RoleChange> PlanRoleChanges(Time now);
  /// Starts the relay task of a request, or refuses the request if it has no
  /// route or the configuration is not loaded.
  /// `from_peer` says that a peer has forwarded the request, which is then not
  /// forwarded again.
  void OnRequest(const std::shared_ptr<InboundExchange>& exchange,
                 bool from_peer);
  /// Counts the request once over all gateways, and starts its task.
  void StartRelay(RelayedRequest relayed);
  /// True if only a peer can serve the service, and one can.
  bool MustForward(Time now, const ServiceId& service) const;
  /// True if this gateway reaches half of the service's upstreams at most, and
  /// a peer reaches more.
  bool CanPeerServeBetter(Time now, const ServiceId& service) const;
  RelayContext MakeRelayContext();
  ForwardContext MakeForwardContext();
  /// Counts a crash against the request, unless this gateway's own link is at
  /// fault.
  void ReportCrash(const ServiceId& service, const RequestSuspects& request,
                   const UpstreamCrash& crash);
  /// True if a peer has had responses of the service's upstreams since this
  /// gateway could not reach them.
  bool IsOwnLinkBroken(Time now, const ServiceId& service) const;
  /// Takes note of an upstream that says in the answer to a probe that it
  /// leaves.
  void OnProbeAnswer(const UpstreamRecord& upstream, const ResponseHead& head);
  void OnSuspectFailure(Time now, const UpstreamRecord& upstream,
                        const Outcome& outcome);
  /// Takes the samples of connections that are due.
  void SampleReachability(Time now);
  void SampleReachability(Time now, const ServiceId& service);
  void OnReachabilitySample(const ServiceId& service,
                            const ConnectionSample& sample);
  /// Where a stream may begin or go on; `service` is the one that was picked,
  /// and is replaced by that of a stream that goes on.  Empty, with a reason,
  /// if a stream must not go on.
  std::optional<VersionConstraint> ConstrainStream(Time now,
                                                   const RouteSpec& route,
                                                   const ClientRequest& request,
                                                   ServiceId& service,
                                                   std::string& reason) const;
  /// What the peers know of software versions by their latest heartbeats.
  std::vector<const StreamVersionReport*> PeerVersions(Time now) const;
  /// Time since the store told this gateway or a peer of the upstreams.
  Duration StoreResponseAge(Time now) const;
  /// Number of ready gateways with a lower process id that are not partitioned
  /// from a service.
  size_t Rank(Time now) const;
  /// Picks a service of the route at random, by weight; null if it has none.
  const WeightedService* PickService(const RouteSpec& route);
  /// Estimates how long a client waited in earlier attempts, given the timeout
  /// of the present one, which is added to the route's history.
  Duration EstimatePriorWait(const RouteSpec& route, Duration client_timeout);
  /// Responds with the addresses of the ready gateways.
  void OnDirectory(const std::shared_ptr<HttpExchange>& exchange);
  /// Responds with the metrics or the state dump.
  void OnAdmin(const std::shared_ptr<HttpExchange>& exchange);
  /// Returns the contents of the next heartbeat.
  GatewayStatus CurrentStatus(Time now);
  void OnPeerRecords(const PeerRecords& records);
  /// Applies a new configuration, which came from the store or a peer as
  /// `source` says; null changes nothing.
  void ApplyConfig(const std::shared_ptr<const GatewayConfig>& config,
                   const char* source);
  /// Drops what was learned about routes that `config` does not contain.
  void ForgetRemovedRoutes(const GatewayConfig& config);
  /// True once the configuration and the upstreams are loaded and the peers
  /// have sent heartbeats.
  bool CanServe(Time now) const;
  /// Requests records from peers that know more than this gateway.
  void SyncFromPeers(Time now);
  /// Tells the rate limiter which gateways take part.
  void UpdateFleetView(Time now);
  /// Ends requests for permits that no peer answers in time.
  void AwaitPermits();
  void OnPermitTimer();
  /// Periodic work: synchronizes with peers, drops expired state, updates
  /// gauges.
  void Housekeeping();
  void UpdateGauges(Time now);
  void CloseConnectionsToRemovedUpstreams();
  /// Next step of a shutdown, repeated until the loop is stopped.
  void ContinueShutdown();
  /// Says what is still open, and stops the loop.
  void EndShutdown(Time now);
  /// False if a stop has begun and the request would be cut by it.
  bool TakesInStop(Time now, const InboundExchange& exchange,
                   const RouteSpec& route, const ClientRequest& request) const;
  /// Returns the state dump, a JSON document.
  std::string DumpState(Time now) const;

  EventLoop& loop_;
  GatewaySettings settings_;
  const GatewayCodecs codecs_;
  RandomSource random_;
  // Unique per process: instance name and a random suffix.
  const ProcessId process_id_;
  Metrics metrics_;
  UpstreamPool pool_;
  FleetRetryBudget retry_budget_;
  AnswerMemory answer_memory_;
  // Of all listening addresses but that of `peers_`.
  const std::shared_ptr<ClientConnections> client_connections_;
  StopAdmission stop_admission_;
  Placer placer_;
  CrashQuarantine quarantine_;
  UpstreamProbe upstream_probe_;
  StreamVersions stream_versions_;
  RecordCache record_cache_;
  StoreContact store_contact_;
  GatewayPeers peers_;
  InitialSync initial_sync_;
  PeerSync peer_sync_;
  UpstreamReachability reachability_;
  ReachabilitySampler reachability_sampler_;
  PeerSelection peer_selection_;
  // Reports of crashes that wait, by number.
  std::map<uint64_t, EventHandle> crash_reports_;
  uint64_t last_crash_report_ = 0;
  InboundServer client_server_;
  // Requests that peers forward.
  InboundServer forward_server_;
  HttpServer ready_server_;
  HttpServer directory_server_;
  HttpServer admin_server_;
  ForwardContext forward_context_;
  RelayContext relay_context_;
  RouteTable route_table_;
  std::map<RouteId, ClientTimeoutEstimate> client_timeout_estimates_;
  std::map<ServiceId, RolePlanner> role_planners_;
  std::unique_ptr<RoleCoordinator> role_coordinator_;
  // Engines that get no new work because their role is about to change.
  std::set<UpstreamId> held_engines_;
  // Highest fencing token of role orders that any gateway has told of.
  FencingToken highest_fencing_ = 0;
  bool shutting_down_ = false;
  EventHandle housekeeping_;
  EventHandle shutdown_timer_;
  EventHandle permit_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_GATEWAY_H_
