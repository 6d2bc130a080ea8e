// The gateway: relays client requests to upstreams.
#include "corianderlink/Gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Support/hash.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// File descriptors reserved for files, listeners, peers and upstreams; the rest
// is available to client connections.
constexpr int kReservedDescriptors = 1000;
constexpr Duration kHousekeepingInterval = milliseconds(200);
// Time for which clients may cache a response of the directory.
constexpr Duration kDirectoryTtl = seconds(1);
// Some clients cache a directory response for up to this many times its TTL.
constexpr int kMaxTtlOverrunFactor = 3;
// Retry-After time sent to clients until the configuration is loaded.
constexpr Duration kNotReadyRetryAfter = milliseconds(300);

// Shortens the longest ejection, so that a recovered upstream is used again
// sooner than with the default limits.
OutlierEjectorLimits MakeEjectorLimits() {
  OutlierEjectorLimits limits;
  limits.max_ejection_time = seconds(4);
  return limits;
}

// Part of the process's memory that answers may take: 1 / this.
constexpr size_t kAnswerMemoryDivisor = 8;
// The share of the process's memory for the bodies of requests, each of which
// is kept for another attempt while it is being sent.
constexpr size_t kRequestMemoryDivisor = 6;
// The share for what connections hold besides: their objects, heads, answers
// that are not read.
constexpr size_t kConnectionMemoryDivisor = 5;

// Processes that have run before may have used the budget, and this one does
// not know yet how many it shares it with.
Time WholeBudgetFrom(const GatewaySettings& settings) {
  if (settings.initial_start) return Time::min();
  return BootClock::now() + settings.retries.window;
}

// Leaves at least half of the descriptors to client connections.
size_t MaxClientConnections(int max_descriptors) {
  return static_cast<size_t>(
      std::max(max_descriptors - kReservedDescriptors, max_descriptors / 2));
}

std::shared_ptr<ClientConnections> MakeClientConnections(
    const GatewaySettings& settings) {
  ConnectionBudgetLimits limits;
  limits.memory_bytes = settings.memory_bytes / kConnectionMemoryDivisor;
  limits.connections = MaxClientConnections(settings.max_descriptors);
  return std::make_shared<ClientConnections>(
      limits, settings.memory_bytes / kRequestMemoryDivisor);
}

}  // namespace

Gateway::Gateway(EventLoop& loop, GatewaySettings settings,
                 GatewayCodecs codecs)
    : loop_(loop),
      settings_(std::move(settings)),
      codecs_(std::move(codecs)),
      process_id_(settings_.instance + "." + random_.HexId().substr(0, 12)),
      pool_(loop),
      retry_budget_(settings_.retries, WholeBudgetFrom(settings_), metrics_),
      answer_memory_(settings_.memory_bytes / kAnswerMemoryDivisor),
      client_connections_(MakeClientConnections(settings_)),
      stop_admission_({kDirectoryTtl, kMaxTtlOverrunFactor * kDirectoryTtl}),
      placer_(PlacerLimits{}, MakeEjectorLimits(), GatewayPeers::kPeerTimeout,
              settings_.zone, random_),
      quarantine_(Fnv1aHash(process_id_.value())),
      upstream_probe_(loop_, pool_, codecs_.orders),
      stream_versions_(placer_.directory(), random_),
      record_cache_(codecs_.records, placer_.directory(), metrics_),
      peers_(loop, settings_.store.ToString(), process_id_, settings_.peer,
             [this](Time now) { return CurrentStatus(now); }),
      reachability_sampler_(loop, pool_, random_, codecs_.orders),
      peer_selection_(settings_.zone, random_),
      client_server_(loop, client_connections_,
                     [this](const std::shared_ptr<InboundExchange>& exchange) {
                       OnRequest(exchange, false);
                     }),
      forward_server_(loop, client_connections_,
                      [this](const std::shared_ptr<InboundExchange>& exchange) {
                        OnRequest(exchange, true);
                      }),
      ready_server_(
          loop, LimitsWithoutBody(),
          [this](const auto& exchange) {
            const int status =
                exchange->path() == codecs_.ready_path && ready() ? 200 : 503;
            exchange->Reply(status, "text/plain", status == 200 ? "ok\n" : "");
          },
          client_connections_),
      directory_server_(
          loop, LimitsWithoutBody(),
          [this](const auto& exchange) { OnDirectory(exchange); },
          client_connections_),
      admin_server_(
          loop, LimitsWithoutBody(),
          [this](const auto& exchange) { OnAdmin(exchange); },
          client_connections_),
      forward_context_(MakeForwardContext()),
      relay_context_(MakeRelayContext()) {
  client_server_.on_request_rejected = [this](const std::string& reason) {
    metrics_.Add("gateway_malformed_requests_total");
    Log(LogLevel::kWarning, "request_rejected", {{"reason", reason}});
  };
  peers_.on_records_request = [this](bool needs_upstreams) {
    return record_cache_.RecordsForPeer(needs_upstreams);
  };
  peers_.on_records_received = [this](const PeerRecords& records) {
    OnPeerRecords(records);
  };
  peers_.on_heartbeat = [this](Time now, const GatewayPeer& peer) {
    if (initial_sync_.OnHeartbeat(peer.status.peer_address,
                                  peer.status.ready)) {
      peers_.RequestRecords(peer, true);
    }
    stop_admission_.OnPeer(now, peer.process, peer.status.leaving);
    placer_.load().SetPeer(now, peer.process, peer.status.shares);
    for (const PromptUse& use : peer.status.prompt_uses) placer_.OnPeerUse(use);
    placer_.SetHeld(now, peer.process, peer.status.held_engines);
    for (const auto& [id, started_ms] : peer.status.leaving_upstreams) {
      if (placer_.directory().Find(id) == nullptr) continue;
      placer_.notices().OnLeaving(id, started_ms);
    }
    highest_fencing_ = std::max(highest_fencing_, peer.status.highest_fencing);
    quarantine_.OnPeerReports(now, Fnv1aHash(peer.process),
                              peer.status.suspect_reports);
    placer_.rate_limiter().limits().OnPeerNotices(peer.status.rate_limits);
    stream_versions_.OnReport(now, peer.status.stream_versions,
                              peer.reported_after);
  };
  const auto on_answer = [this](const UpstreamRecord& upstream,
                                const ResponseHead& head) {
    OnProbeAnswer(upstream, head);
  };
  upstream_probe_.on_answer = on_answer;
  reachability_sampler_.on_answer = on_answer;
  quarantine_.on_claim = [this] { peers_.SendHeartbeat(); };
  peers_.on_member_change = [this](Time now) { UpdateFleetView(now); };
  peers_.on_permit_request = [this](Time now, const PermitRequest& request) {
    return placer_.rate_limiter().OnRequest(now, request);
  };
  peers_.on_permit_reply = [this](Time now, const PermitReply& reply) {
    placer_.rate_limiter().OnReply(now, reply);
  };
  placer_.rate_limiter().send_request = [this](const Address& keeper,
                                               const PermitRequest& request) {
    peers_.SendPermitRequest(keeper, request);
    if (!permit_timer_.active()) AwaitPermits();
  };
}

void Gateway::AwaitPermits() {
  permit_timer_ = loop_.After(FleetRateLimiter::kReplyTimeout / 2,
                              [this] { OnPermitTimer(); });
}

void Gateway::OnPermitTimer() {
  permit_timer_.Reset();
  placer_.rate_limiter().Update(BootClock::now());
  const bool armed = permit_timer_.active();
  if (placer_.rate_limiter().HasPending() && !armed) AwaitPermits();
}

void Gateway::UpdateFleetView(Time now) {
  placer_.rate_limiter().SetView(peers_.View(now, ready()));
}

bool Gateway::Start(std::string& reason) {
  const auto check_bound = [&reason](bool bound, const Address& address) {
    if (!bound && reason.empty()) reason = "cannot bind " + address.ToString();
    return bound;
  };
  bool bound =
      check_bound(client_server_.Listen(settings_.front), settings_.front);
  bound &= check_bound(ready_server_.Listen(settings_.ready), settings_.ready);
  bound &= check_bound(directory_server_.Listen(settings_.directory),
                       settings_.directory);
  bound &= check_bound(peers_.Listen(settings_.peer), settings_.peer);
  if (settings_.forward.port != 0) {
    bound &= check_bound(forward_server_.Listen(settings_.forward),
                         settings_.forward);
  }
  bound &= check_bound(admin_server_.Listen(settings_.admin), settings_.admin);
  if (!bound) return false;
  peers_.Start();
  housekeeping_ =
      loop_.Every(kHousekeepingInterval, [this] { Housekeeping(); });
  return true;
}

bool Gateway::CanServe(Time now) const {
  return record_cache_.config() != nullptr &&
         record_cache_.upstreams_loaded() && initial_sync_.IsOver(now);
}

bool Gateway::ready() const {
  return CanServe(BootClock::now()) && !shutting_down_;
}

void Gateway::Reload(const GatewaySettings& settings) {
  const bool retries_changed = settings.retries != settings_.retries;
  settings_.retries = settings.retries;
  settings_.stop_grace = settings.stop_grace;
  settings_.directory_ttl_max = settings.directory_ttl_max;
  retry_budget_.SetLimits(settings.retries);
  Log(LogLevel::kInfo, "settings_reloaded",
      {{"retries_changed", retries_changed ? "yes" : "no"}});
}

GatewayStatus Gateway::CurrentStatus(Time now) {
  GatewayStatus status;
  status.instance = settings_.instance;
  status.zone = settings_.zone;
  status.client_address = settings_.front;
  status.peer_address = settings_.peer;
  status.forward_address = settings_.forward;
  status.partitioned_services =
      reachability_.ServicesWith(UpstreamLink::kPartitioned);
  status.impaired_services =
      reachability_.ServicesWith(UpstreamLink::kImpaired);
  status.upstream_responses = reachability_.LastResponses();
  status.ready = ready();
  status.leaving = shutting_down_;
  status.config_version = record_cache_.config_version();
  status.upstreams_position = record_cache_.upstreams_position();
  status.upstreams_digest = placer_.directory().Digest();
  status.store_age = store_contact_.OwnAge(now);
  status.shares = placer_.OwnLoads(now);
  status.prompt_uses = placer_.TakeRecentUses();
  status.demands = placer_.Demands(now);
  status.held_engines = held_engines_;
  status.leaving_upstreams = placer_.notices().leaving();
  status.highest_fencing = highest_fencing_;
  status.suspect_reports = quarantine_.Reports(now);
  status.stream_versions =
      stream_versions_.NextReport(now, StoreResponseAge(now));
  status.rate_limits = placer_.rate_limiter().limits().OwnNotices(now);
  return status;
}

void Gateway::StartRoleCoordinator(
    std::function<void(const TableTransaction&, CommitCallback)> commit,
    std::function<void(const std::string&, ReadCallback)> read) {
  RoleCoordinatorCallbacks callbacks;
  callbacks.is_candidate = [this](Time now) {
    return IsCoordinatorCandidate(now);
  };
  callbacks.plan_changes = [this](Time now) { return PlanRoleChanges(now); };
  callbacks.on_ordered = [this](Time now, const RoleChange& change) {
    const UpstreamRecord* engine = placer_.directory().Find(change.engine);
    if (engine == nullptr) return;
    role_planners_.try_emplace(engine->service, RolePlannerLimits{})
        .first->second.OnOrdered(now, change);
    metrics_.Add("gateway_role_orders_total");
  };
  callbacks.find_engine = [this](const UpstreamId& id) {
    return placer_.directory().Find(id);
  };
  callbacks.set_held_engines = [this](const std::set<UpstreamId>& held) {
    held_engines_ = held;
    placer_.SetHeld(BootClock::now(), process_id_.value(), held);
    peers_.SendHeartbeat();
  };
  callbacks.commit = std::move(commit);
  callbacks.read = std::move(read);
  role_coordinator_ = std::make_unique<RoleCoordinator>(
      loop_, pool_, random_, codecs_.orders, process_id_, settings_.lease,
      std::move(callbacks));
  role_coordinator_->Start();
}

bool Gateway::IsCoordinatorCandidate(Time now) const {
  return ready() &&
         reachability_.ServicesWith(UpstreamLink::kPartitioned).empty() &&
         Rank(now) == 0;
}

size_t Gateway::Rank(Time now) const {
  size_t rank = 0;
  for (const GatewayPeer* peer : peers_.Live(now)) {
    const GatewayStatus& status = peer->status;
    if (!status.ready || !status.partitioned_services.empty()) continue;
    if (peer->process < process_id_.value()) ++rank;
  }
  return rank;
}

std::vector<RoleChange> Gateway::PlanRoleChanges(Time now) {
  std::map<ServiceId, ServiceDemand> demands = placer_.Demands(now);
  for (const GatewayPeer* peer : peers_.Live(now)) {
    for (const auto& [service, demand] : peer->status.demands) {
      ServiceDemand& sum = demands[service];
      sum.prefill_ms_per_s += demand.prefill_ms_per_s;
      sum.handover_ms_per_s += demand.handover_ms_per_s;
      sum.generating += demand.generating;
    }
  }
  for (const auto& [service, demand] : demands) {
    const auto engines = placer_.EngineSnapshots(now, service);
    auto changes = role_planners_.try_emplace(service, RolePlannerLimits{})
                       .first->second.Plan(now, demand, engines);
    if (!changes.empty()) return changes;
  }
  return {};
}

const WeightedService* Gateway::PickService(const RouteSpec& route) {
  double total = 0;
  for (const WeightedService& service : route.services) total += service.weight;
  double weight_offset = random_.Uniform() * total;
  for (const WeightedService& service : route.services) {
    weight_offset -= service.weight;
    if (weight_offset < 0) return &service;
  }
  return route.services.empty() ? nullptr : &route.services.back();
}

void Gateway::OnRequest(const std::shared_ptr<InboundExchange>& exchange,
                        bool from_peer) {
  const Time now = BootClock::now();
  ClientRequest request = codecs_.relay.decode_request(exchange->head());
  const auto refuse = [&](int status, const char* reason) {
    std::optional<Duration> retry_after;
    if (status == 503) {
      retry_after = shutting_down_ ? stop_admission_.RetryAfter(now)
                                   : kNotReadyRetryAfter;
    }
    Log(LogLevel::kInfo, "request_done",
        {{"request", request.id.value()},
         {"result", "refused"},
         {"status", status},
         {"reason", reason},
         {"host", request.host},
         {"config", record_cache_.config_version()}});
    exchange->SendResponse(
        status, codecs_.relay.encode_error_fields(request.id, retry_after), "");
  };
  const std::optional<StopPlan>& stop = stop_admission_.plan();
  if (stop && !stop->Accepts(now)) {
    refuse(503, "the gateway stops");
    return;
  }
  const std::shared_ptr<const GatewayConfig> config = record_cache_.config();
  if (!CanServe(now)) {
    refuse(503, "no configuration or upstream list loaded yet");
    return;
  }
  const RouteSpec* route =
      route_table_.Match(request.host, exchange->head().Path());
  if (route == nullptr) {
    refuse(404, "no matching route");
    return;
  }
  if (!TakesInStop(now, *exchange, *route, request)) {
    metrics_.Add("gateway_stop_refusals_total");
    refuse(503, "the gateway stops before the request would end");
    return;
  }
  const WeightedService* target = PickService(*route);
  ServiceId service_id = target == nullptr ? ServiceId() : target->service;
  std::string reason;
  const auto versions =
      ConstrainStream(now, *route, request, service_id, reason);
  if (!versions) {
    metrics_.Add("gateway_refused_resumptions_total");
    refuse(503, reason.c_str());
    return;
  }
  const auto service = config->services.find(service_id);
  if (service == config->services.end()) {
    refuse(503, "route has no configured service");
    return;
  }
  RelayedRequest relayed{exchange, *route, service->second, std::move(request),
                         *versions};
  relayed.from_peer = from_peer;
  relayed.config_version = config->version;
  StartRelay(std::move(relayed));
}

Duration Gateway::EstimatePriorWait(const RouteSpec& route,
                                    Duration client_timeout) {
  ClientTimeoutEstimate& estimate = client_timeout_estimates_[route.id];
  estimate.Add(client_timeout);
  return estimate.Elapsed(client_timeout);
}

void Gateway::OnDirectory(const std::shared_ptr<HttpExchange>& exchange) {
  if (exchange->path() != codecs_.directory.path) {
    exchange->Reply(404, "text/plain", "");
    return;
  }
  const Time now = BootClock::now();
  std::vector<Address> addresses;
  if (ready()) addresses.push_back(settings_.front);
  for (const GatewayPeer* peer : peers_.Live(now)) {
    if (peer->status.ready && !peer->status.leaving) {
      addresses.push_back(peer->status.client_address);
    }
  }
  if (addresses.empty()) {
    exchange->Reply(503, "text/plain", "");
    return;
  }
  const Duration ttl = std::min(kDirectoryTtl, settings_.directory_ttl_max);
  exchange->Reply(200, "application/json",
                  codecs_.directory.encode_response(addresses, ttl));
}

void Gateway::Housekeeping() {
  const Time now = BootClock::now();
  placer_.SetHeld(now, process_id_.value(), held_engines_);
  if (role_coordinator_) {
    highest_fencing_ = role_coordinator_->ExchangeFencing(highest_fencing_);
  }
  const size_t live_gateways = peers_.LiveGatewayCount(now);
  placer_.SetGateways(live_gateways);
  retry_budget_.OnLiveGateways(now, live_gateways);
  UpdateFleetView(now);
  if (!shutting_down_) SyncFromPeers(now);
  placer_.directory().Expire(now);
  stream_versions_.Update(now);
  quarantine_.Update(now);
  placer_.load().ExpirePeers(now);
  placer_.Prune();
  CloseConnectionsToRemovedUpstreams();
  SampleReachability(now);
  UpdateGauges(now);
}

void Gateway::CloseConnectionsToRemovedUpstreams() {
  const std::set<Address> present = placer_.directory().Addresses();
  for (const Address& address : pool_.AddressesWithIdleConnections()) {
    if (present.count(address) == 0) pool_.CloseIdleConnections(address);
  }
}

}  // namespace corianderlink
