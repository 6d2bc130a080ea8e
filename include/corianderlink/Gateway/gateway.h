// The gateway process: serves clients, the directory and readiness checks.
#ifndef CORIANDERLINK_GATEWAY_GATEWAY_H_
#define CORIANDERLINK_GATEWAY_GATEWAY_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/gateway_peers.h"
#include "corianderlink/Gateway/gateway_settings.h"
#include "corianderlink/Gateway/order_codec.h"
#include "corianderlink/Gateway/placer.h"
#include "corianderlink/Gateway/record_cache.h"
#include "corianderlink/Gateway/record_codec.h"
#include "corianderlink/Gateway/record_store.h"
#include "corianderlink/Gateway/relay_codec.h"
#include "corianderlink/Gateway/relay_task.h"
#include "corianderlink/Gateway/retry_window.h"
#include "corianderlink/Gateway/role_coordinator.h"
#include "corianderlink/Gateway/route_table.h"
#include "corianderlink/Gateway/usual_wait.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_server.h"
#include "corianderlink/Http1/front_server.h"
#include "corianderlink/Http1/upstream_pool.h"
#include "corianderlink/Support/metrics.h"
#include "corianderlink/Support/random.h"

namespace corianderlink {

/// How the platform names and formats things.
struct GatewayCodecs {
  RelayCodec relay;
  RecordCodec records;
  DirectoryCodec directory;
  OrderCodec orders;
  /// Path of readiness checks.
  std::string ready_path;
};

class Gateway {
 public:
  Gateway(EventLoop& loop, GatewaySettings settings, GatewayCodecs codecs);

  /// Binds all addresses.  False, with a reason, if one cannot be bound.
  bool Start(std::string& reason);
  /// Takes settings that may change while running.
  void Reload(const GatewaySettings& settings);
  /// Begins a planned stop: no request is cut.  The loop ends when it is over.
  void BeginStop();

  /// News from the store.
  void OnConfigRecords(const std::vector<StoreRecord>& records);
  /// The whole list, complete up to `version` of the store.
  void OnAllUpstreams(const std::vector<StoreRecord>& records,
                      uint64_t version);
  void OnUpstreamChanges(const std::vector<StoreRecord>& records,
                         uint64_t version);
  void OnGatewayRecords(const std::vector<StoreRecord>& records);
  void OnUpstreamTableReachable(bool reachable);

  /// Starts the duty of changing roles, on the store's transactions.
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

  /// Key and value of this process's record in the table of gateways.
  StoreRecord OwnRecord() const;
  /// True if requests can be served.
  bool ready() const;

 private:
  void StartRoleCoordinator(
      std::function<void(const TableTransaction&, CommitCallback)> commit,
      std::function<void(const std::string&, ReadCallback)> read);
  bool IsCoordinatorCandidate(Time now) const;
  std::vector<RoleChange> PlanRoles(Time now);
  void OnRequest(const std::shared_ptr<InboundExchange>& exchange);
  const WeightedService* PickService(const RouteSpec& route);
  bool TakeRetry(Time now, const ServiceId& service);
  Duration NoteWait(const RouteSpec& route, Duration wait);
  void OnDirectory(const std::shared_ptr<HttpExchange>& exchange);
  void OnAdmin(const std::shared_ptr<HttpExchange>& exchange);
  GatewayStatus Status(Time now);
  void OnPeerRecords(const PeerRecords& records);
  /// Puts a configuration in force; null changes nothing.
  void Apply(const std::shared_ptr<const GatewayConfig>& config);
  /// Asks a peer for what it knows and this gateway does not.
  void CatchUpWithPeers(Time now);
  void Housekeeping();
  void CloseConnectionsToGoneUpstreams();
  void ContinueStop();
  std::string Dump(Time now) const;

  EventLoop& loop_;
  GatewaySettings settings_;
  const GatewayCodecs codecs_;
  RandomSource random_;
  const ProcessId self_;
  Metrics metrics_;
  UpstreamPool pool_;
  Placer placer_;
  RecordCache record_cache_;
  GatewayPeers peers_;
  FrontServer front_;
  HttpServer ready_server_;
  HttpServer directory_server_;
  HttpServer admin_server_;
  RelayContext relay_context_;
  RouteTable routes_;
  std::map<ServiceId, RetryWindow> retries_;
  std::map<RouteId, UsualWait> usual_waits_;
  std::map<ServiceId, RolePlanner> planners_;
  std::unique_ptr<RoleCoordinator> role_coordinator_;
  std::set<UpstreamId> held_;
  // Since when a peer has known newer records.
  std::optional<Time> behind_since_;
  bool leaving_ = false;
  Time leaving_since_{};
  EventHandle housekeeping_;
  EventHandle stop_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_GATEWAY_H_
