// The gateway process.
#include "corianderlink/Gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Support/json_reader.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Descriptors kept for files, listeners, peers and upstreams.
constexpr int kReservedDescriptors = 1000;
constexpr Duration kHousekeepingInterval = milliseconds(200);
// How long callers may keep an answer of the directory.
constexpr Duration kDirectoryTtl = seconds(1);
// Some callers keep an answer this many times as long.
constexpr int kDirectoryTtlFactor = 3;
// A gateway that is behind a peer for this long asks the peer.
constexpr Duration kCatchUpAfter = milliseconds(300);
constexpr Duration kStopPoll = milliseconds(100);
// Left of the grace time when the process ends at the latest.
constexpr Duration kStopMargin = milliseconds(700);
// Told to callers while no configuration is known.
constexpr Duration kNotReadyRetryAfter = milliseconds(300);

OutlierEjectorLimits GatewayEjectorLimits() {
  OutlierEjectorLimits limits;
  limits.max_ejection_time = seconds(4);
  return limits;
}

size_t MaxClientConnections(int descriptors) {
  return static_cast<size_t>(
      std::max(descriptors - kReservedDescriptors, descriptors / 2));
}

}  // namespace

Gateway::Gateway(EventLoop& loop, GatewaySettings settings,
                 GatewayCodecs codecs)
    : loop_(loop),
      settings_(std::move(settings)),
      codecs_(std::move(codecs)),
      self_(settings_.instance + "." + random_.HexId().substr(0, 12)),
      pool_(loop),
      placer_(PlacerLimits{}, GatewayEjectorLimits(),
              GatewayPeers::kPeerTimeout, settings_.zone),
      book_(codecs_.records, placer_.directory(), metrics_),
      peers_(loop, settings_.store.ToString(), self_, settings_.peer,
             [this](Time now) { return Status(now); }),
      front_(loop, MaxClientConnections(settings_.max_descriptors),
             [this](const std::shared_ptr<InboundExchange>& exchange) {
               OnRequest(exchange);
             }),
      ready_server_(
          loop, {},
          [this](const auto& exchange) {
            const int status =
                exchange->path() == codecs_.ready_path && ready() ? 200 : 503;
            exchange->Reply(status, "text/plain", status == 200 ? "ok\n" : "");
          }),
      directory_server_(
          loop, {}, [this](const auto& exchange) { OnDirectory(exchange); }),
      admin_server_(loop, {},
                    [this](const auto& exchange) { OnAdmin(exchange); }),
      relay_context_{loop_,
                     pool_,
                     placer_,
                     codecs_.relay,
                     metrics_,
                     random_,
                     [this](Time now, const ServiceId& service) {
                       return TakeRetry(now, service);
                     },
                     [this](const RouteSpec& route, Duration wait) {
                       return NoteWait(route, wait);
                     }} {
  front_.on_malformed = [this](const std::string& reason) {
    metrics_.Add("gateway_malformed_requests_total");
    Log(LogLevel::kWarning, "request_malformed", {{"reason", reason}});
  };
  peers_.on_records_request = [this](bool needs_upstreams) {
    return book_.ForPeer(needs_upstreams);
  };
  peers_.on_records = [this](const PeerRecords& records) {
    OnPeerRecords(records);
  };
  peers_.on_heartbeat = [this](Time now, const GatewayPeer& peer) {
    placer_.load().SetPeer(now, peer.process, peer.status.shares);
    for (const PromptUse& use : peer.status.uses) placer_.OnPeerUse(use);
    placer_.SetHeld(now, peer.process, peer.status.held);
  };
}

bool Gateway::Start(std::string& reason) {
  const auto bind = [&reason](bool bound, const Address& address) {
    if (!bound && reason.empty()) reason = "cannot bind " + address.ToString();
    return bound;
  };
  bool bound = bind(front_.Listen(settings_.front), settings_.front);
  bound &= bind(ready_server_.Listen(settings_.ready), settings_.ready);
  bound &=
      bind(directory_server_.Listen(settings_.directory), settings_.directory);
  bound &= bind(peers_.Listen(settings_.peer), settings_.peer);
  bound &= bind(admin_server_.Listen(settings_.admin), settings_.admin);
  if (!bound) return false;
  peers_.Start();
  housekeeping_ =
      loop_.Every(kHousekeepingInterval, [this] { Housekeeping(); });
  return true;
}

bool Gateway::ready() const {
  return book_.config() != nullptr && book_.upstreams_loaded() && !leaving_;
}

void Gateway::Reload(const GatewaySettings& settings) {
  const bool retries_changed = settings.retries != settings_.retries;
  settings_.retries = settings.retries;
  settings_.stop_grace = settings.stop_grace;
  settings_.directory_ttl_max = settings.directory_ttl_max;
  for (auto& [service, window] : retries_) window.SetLimits(settings.retries);
  Log(LogLevel::kInfo, "settings_reloaded",
      {{"retries_changed", retries_changed ? "yes" : "no"}});
}

GatewayStatus Gateway::Status(Time now) {
  GatewayStatus status;
  status.instance = settings_.instance;
  status.zone = settings_.zone;
  status.front = settings_.front;
  status.peer = settings_.peer;
  status.ready = ready();
  status.leaving = leaving_;
  status.config_version = book_.config_version();
  status.upstreams_version = book_.upstreams_version();
  status.shares = placer_.OwnShares(now);
  status.uses = placer_.TakeRecentUses();
  status.demands = placer_.Demands(now);
  status.held = held_;
  return status;
}

StoreRecord Gateway::OwnRecord() const {
  return {settings_.peer.ToString(), settings_.instance, 0};
}

void Gateway::OnGatewayRecords(const std::vector<StoreRecord>& records) {
  for (const StoreRecord& record : records) {
    if (!record.value) continue;
    const std::optional<Address> address = Address::Parse(record.key);
    if (address) peers_.Learn(*address);
  }
}

void Gateway::OnConfigRecords(const std::vector<StoreRecord>& records) {
  Apply(book_.TakeConfig(records));
}

void Gateway::OnPeerRecords(const PeerRecords& records) {
  Apply(book_.TakePeerRecords(BootClock::now(), records));
}

void Gateway::Apply(const std::shared_ptr<const GatewayConfig>& config) {
  if (config == nullptr) return;
  Log(LogLevel::kInfo, "config_applied",
      {{"version", config->version},
       {"routes", static_cast<uint64_t>(config->routes.size())}});
  routes_ = RouteTable(config);
  front_.SetLimits(config->limits);
  for (const auto& [id, service] : config->services) {
    placer_.SetMaxConnections(id, service.max_connections);
  }
  metrics_.Set("gateway_config_version", static_cast<double>(config->version));
}

void Gateway::OnAllUpstreams(const std::vector<StoreRecord>& records,
                             uint64_t version) {
  book_.TakeAllUpstreams(BootClock::now(), records, version);
}

void Gateway::OnUpstreamChanges(const std::vector<StoreRecord>& records,
                                uint64_t version) {
  book_.TakeUpstreamChanges(BootClock::now(), records, version);
}

void Gateway::OnUpstreamTableReachable(bool reachable) {
  if (reachable) {
    placer_.directory().OnStoreBack(BootClock::now());
  } else {
    placer_.directory().OnStoreLost();
  }
}

void Gateway::StartRoleDuty(
    std::function<void(const TableTransaction&, CommitCallback)> commit,
    std::function<void(const std::string&, ReadCallback)> read) {
  RoleDutyPorts ports;
  ports.candidate = [this](Time now) { return IsDutyCandidate(now); };
  ports.plan = [this](Time now) { return PlanRoles(now); };
  ports.on_ordered = [this](Time now, const RoleChange& change) {
    const UpstreamRecord* engine = placer_.directory().Find(change.engine);
    if (engine == nullptr) return;
    planners_.try_emplace(engine->service, RolePlannerLimits{})
        .first->second.OnOrdered(now, change);
    metrics_.Add("gateway_role_orders_total");
  };
  ports.find = [this](const UpstreamId& id) {
    return placer_.directory().Find(id);
  };
  ports.set_held = [this](const std::set<UpstreamId>& held) {
    held_ = held;
    placer_.SetHeld(BootClock::now(), self_.value(), held);
    peers_.SendHeartbeat();
  };
  ports.commit = std::move(commit);
  ports.read = std::move(read);
  role_duty_ =
      std::make_unique<RoleDuty>(loop_, pool_, random_, codecs_.orders, self_,
                                 settings_.lease, std::move(ports));
  role_duty_->Start();
}

bool Gateway::IsDutyCandidate(Time now) const {
  if (!ready()) return false;
  for (const GatewayPeer* peer : peers_.Live(now)) {
    if (peer->status.ready && peer->process < self_.value()) return false;
  }
  return true;
}

std::vector<RoleChange> Gateway::PlanRoles(Time now) {
  std::map<ServiceId, MixDemand> demands = placer_.Demands(now);
  for (const GatewayPeer* peer : peers_.Live(now)) {
    for (const auto& [service, demand] : peer->status.demands) {
      MixDemand& sum = demands[service];
      sum.prefill_ms_per_s += demand.prefill_ms_per_s;
      sum.handover_ms_per_s += demand.handover_ms_per_s;
      sum.generating += demand.generating;
    }
  }
  for (const auto& [service, demand] : demands) {
    const auto engines = placer_.PlannedEngines(now, service);
    auto changes = planners_.try_emplace(service, RolePlannerLimits{})
                       .first->second.Plan(now, demand, engines);
    if (!changes.empty()) return changes;
  }
  return {};
}

const WeightedService* Gateway::PickService(const RouteSpec& route) {
  double total = 0;
  for (const WeightedService& service : route.services) total += service.weight;
  double at = random_.Uniform() * total;
  for (const WeightedService& service : route.services) {
    at -= service.weight;
    if (at < 0) return &service;
  }
  return route.services.empty() ? nullptr : &route.services.back();
}

void Gateway::OnRequest(const std::shared_ptr<InboundExchange>& exchange) {
  ClientRequest request = codecs_.relay.decode_request(exchange->head());
  const auto refuse = [&](int status, const char* reason) {
    std::optional<Duration> retry_after;
    if (status == 503) retry_after = kNotReadyRetryAfter;
    Log(LogLevel::kInfo, "request_done",
        {{"request", request.id.value()},
         {"result", "refused"},
         {"status", status},
         {"reason", reason},
         {"host", request.host},
         {"config", book_.config_version()}});
    exchange->Answer(status,
                     codecs_.relay.encode_refusal(request.id, retry_after), "");
  };
  const std::shared_ptr<const GatewayConfig> config = book_.config();
  if (!config || !book_.upstreams_loaded()) {
    refuse(503, "no configuration yet");
    return;
  }
  const RouteSpec* route = routes_.Match(request.host, exchange->head().Path());
  if (route == nullptr) {
    refuse(404, "no such route");
    return;
  }
  const WeightedService* target = PickService(*route);
  const auto service = target == nullptr
                           ? config->services.end()
                           : config->services.find(target->service);
  if (service == config->services.end()) {
    refuse(503, "route without a service");
    return;
  }
  retries_.try_emplace(service->first, settings_.retries)
      .first->second.OnRequest(BootClock::now());
  std::make_shared<RelayTask>(relay_context_, exchange, *route, service->second,
                              std::move(request), config->version)
      ->Start();
}

bool Gateway::TakeRetry(Time now, const ServiceId& service) {
  return retries_.try_emplace(service, settings_.retries)
      .first->second.TryRetry(now, peers_.Count(now));
}

Duration Gateway::NoteWait(const RouteSpec& route, Duration wait) {
  UsualWait& usual = usual_waits_[route.id];
  usual.Add(wait);
  return usual.Elapsed(wait);
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
      addresses.push_back(peer->status.front);
    }
  }
  if (addresses.empty()) {
    exchange->Reply(503, "text/plain", "");
    return;
  }
  const Duration ttl = std::min(kDirectoryTtl, settings_.directory_ttl_max);
  exchange->Reply(200, "application/json",
                  codecs_.directory.encode_answer(addresses, ttl));
}

void Gateway::OnAdmin(const std::shared_ptr<HttpExchange>& exchange) {
  if (exchange->path() == "/metrics") {
    exchange->Reply(200, "text/plain; version=0.0.4", metrics_.Exposition());
  } else if (exchange->path() == "/dump") {
    exchange->Reply(200, "application/json", Dump(BootClock::now()));
  } else {
    exchange->Reply(404, "text/plain", "");
  }
}

std::string Gateway::Dump(Time now) const {
  Json dump{{"process", self_.value()},
            {"ready", ready()},
            {"leaving", leaving_},
            {"config_version", book_.config_version()},
            {"client_connections", front_.connections()}};
  for (const auto& [id, upstream] : placer_.directory().records()) {
    dump["upstreams"][id.value()] = {
        {"service", upstream.service.value()},
        {"address", upstream.address.ToString()},
        {"draining", upstream.draining},
        {"speed_factor", placer_.speed().Factor(upstream)},
        {"connections", pool_.Connections(upstream.address)}};
  }
  for (const GatewayPeer* peer : peers_.Live(now)) {
    dump["peers"][peer->process] = {{"ready", peer->status.ready},
                                    {"leaving", peer->status.leaving},
                                    {"age_ms", ToMillis(now - peer->heard)}};
  }
  return dump.dump(2);
}

void Gateway::CatchUpWithPeers(Time now) {
  bool config_behind = false;
  bool upstreams_behind = !book_.upstreams_loaded();
  for (const GatewayPeer* peer : peers_.Live(now)) {
    config_behind = config_behind || book_.BehindConfig(peer->status);
    upstreams_behind = upstreams_behind || book_.BehindUpstreams(peer->status);
  }
  if (!config_behind && !upstreams_behind) {
    behind_since_.reset();
    return;
  }
  // The store's own answer is usually just on its way.
  if (!behind_since_) behind_since_ = now;
  const bool started = book_.upstreams_loaded() && book_.config() != nullptr;
  if (started && now - *behind_since_ < kCatchUpAfter) return;
  peers_.AskForRecords(upstreams_behind);
}

void Gateway::Housekeeping() {
  const Time now = BootClock::now();
  placer_.SetHeld(now, self_.value(), held_);
  placer_.SetGateways(peers_.Count(now));
  if (!leaving_) CatchUpWithPeers(now);
  placer_.directory().Expire(now);
  placer_.load().ExpirePeers(now);
  placer_.Prune();
  CloseConnectionsToGoneUpstreams();
  metrics_.Set("gateway_client_connections",
               static_cast<double>(front_.connections()));
  metrics_.Set("gateway_upstream_connects",
               static_cast<double>(pool_.connects()));
  metrics_.Set("gateway_peers", static_cast<double>(peers_.Live(now).size()));
}

void Gateway::CloseConnectionsToGoneUpstreams() {
  const std::set<Address> present = placer_.directory().Addresses();
  for (const Address& address : pool_.IdleAddresses()) {
    if (present.count(address) == 0) pool_.Forget(address);
  }
}

void Gateway::BeginStop() {
  if (leaving_) return;
  leaving_ = true;
  leaving_since_ = BootClock::now();
  Log(LogLevel::kInfo, "stopping",
      {{"client_connections", static_cast<uint64_t>(front_.connections())}});
  if (role_duty_) role_duty_->Stop();
  peers_.SendHeartbeat();
  front_.CloseAfterAnswers();
  ContinueStop();
}

void Gateway::ContinueStop() {
  const Duration since = BootClock::now() - leaving_since_;
  const Duration latest = settings_.stop_grace - kStopMargin;
  const Duration kept_answers = kDirectoryTtlFactor * kDirectoryTtl;
  if (since >= std::min(kept_answers, latest / 2)) {
    front_.StopListening();
    front_.CloseIdleConnections();
    if (front_.connections() == 0 || since >= latest) {
      loop_.Stop();
      return;
    }
  }
  stop_timer_ = loop_.After(kStopPoll, [this] { ContinueStop(); });
}

}  // namespace corianderlink
