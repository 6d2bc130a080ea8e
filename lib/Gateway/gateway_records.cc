// The gateway's records: what the store and the peers tell it.
#include <algorithm>
#include <charconv>
#include <set>

#include "corianderlink/Gateway/gateway.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Clients resume a stream within the timeout of its route; theirs may be
// longer.
Duration StreamLifetime(const GatewayConfig& config) {
  Duration longest = seconds(30);
  for (const RouteSpec& route : config.routes) {
    if (route.resumable) longest = std::max(longest, route.timeout);
  }
  return 2 * std::min<Duration>(longest, seconds(300));
}

}  // namespace

StoreRecord Gateway::OwnRecord() const {
  return {settings_.peer.ToString(), settings_.instance, 0};
}

void Gateway::OnGatewayRecords(const std::vector<StoreRecord>& records) {
  std::set<Address> others;
  for (const StoreRecord& record : records) {
    if (!record.value) continue;
    const std::optional<Address> address = Address::Parse(record.key);
    if (!address || *address == settings_.peer) continue;
    peers_.AddPeerAddress(*address);
    others.insert(*address);
  }
  initial_sync_.Begin(BootClock::now(), others);
}

void Gateway::OnQuarantineRecords(const std::vector<StoreRecord>& records,
                                  int64_t unix_now_ms) {
  const Time now = BootClock::now();
  for (const StoreRecord& record : records) {
    const std::optional<SuspectKey> key = ParseSuspectKey(record.key);
    if (!key || !record.value) continue;
    int64_t since_ms = 0;
    const std::string& text = *record.value;
    std::from_chars(text.data(), text.data() + text.size(), since_ms);
    if (since_ms <= 0) continue;
    // Clocks of instances may differ a little.
    const Duration age =
        milliseconds(std::max<int64_t>(unix_now_ms - since_ms, 0));
    quarantine_.Restore(now, *key, age);
  }
}

void Gateway::SetQuarantineHandler(
    std::function<void(const std::string& key, bool quarantined)> handler) {
  quarantine_.on_verdict = [handler = std::move(handler)](const SuspectKey& key,
                                                          bool quarantined) {
    handler(ToString(key), quarantined);
  };
}

void Gateway::OnConfigRecords(const std::vector<StoreRecord>& records) {
  ApplyConfig(record_cache_.ApplyConfig(records), "store");
}

void Gateway::OnPeerRecords(const PeerRecords& records) {
  initial_sync_.OnRecords();
  const Time now = BootClock::now();
  ApplyConfig(record_cache_.ApplyPeerRecords(now, records), "peer");
  stream_versions_.Update(now);
}

void Gateway::ApplyConfig(const std::shared_ptr<const GatewayConfig>& config,
                          const char* source) {
  if (config == nullptr) return;
  Log(LogLevel::kInfo, "config_applied",
      {{"version", config->version},
       {"routes", static_cast<uint64_t>(config->routes.size())},
       {"idle_timeout_ms", ToMillis(config->limits.idle_timeout)},
       {"source", source},
       {"last_store_response_ms", ToMillis(StoreAge(StoreTable::kConfig))}});
  route_table_ = RouteTable(config);
  const Time now = BootClock::now();
  client_server_.SetLimits(now, config->limits);
  forward_server_.SetLimits(now, config->limits);
  ForgetRemovedRoutes(*config);
  stream_versions_.history().SetStreamLifetime(StreamLifetime(*config));
  for (const auto& [id, service] : config->services) {
    placer_.SetMaxConnections(id, service.max_connections);
  }
  metrics_.Set("gateway_config_version", static_cast<double>(config->version));
}

void Gateway::ForgetRemovedRoutes(const GatewayConfig& config) {
  std::set<RouteId> present;
  for (const RouteSpec& route : config.routes) present.insert(route.id);
  const auto gone = [&](const RouteId& id) { return present.count(id) == 0; };
  placer_.ForgetRoutesIf(gone);
  stop_admission_.ForgetRoutesIf(gone);
  std::erase_if(client_timeout_estimates_,
                [&](const auto& entry) { return gone(entry.first); });
}

void Gateway::OnAllUpstreams(const std::vector<StoreRecord>& records,
                             StorePosition position) {
  const Time now = BootClock::now();
  record_cache_.ReplaceUpstreams(now, records, position);
  stream_versions_.Update(now);
}

void Gateway::OnUpstreamChanges(const std::vector<StoreRecord>& records,
                                StorePosition position) {
  const Time now = BootClock::now();
  record_cache_.ApplyUpstreamChanges(now, records, position);
  stream_versions_.Update(now);
}

WatchSchedule Gateway::CurrentWatchSchedule() const {
  const Time now = BootClock::now();
  WatchSchedule schedule;
  for (const GatewayPeer* peer : peers_.Live(now)) {
    ++schedule.gateways;
    if (peer->process < process_id_.value()) ++schedule.rank;
  }
  schedule.peer_store_age = peers_.StoreAge(now);
  return schedule;
}

void Gateway::OnStoreRestored() {
  placer_.directory().OnStoreRestored(BootClock::now());
  stream_versions_.OnStoreRestored();
}

void Gateway::OnUpstreamTableReachable(bool reachable) {
  if (reachable) {
    placer_.directory().OnStoreReachable(BootClock::now());
  } else {
    placer_.directory().OnStoreUnreachable();
  }
}

void Gateway::SyncFromPeers(Time now) {
  const PeerRequests requests =
      peer_sync_.Next(now, record_cache_, placer_.directory().Digest(),
                      peers_.Live(now), 2 * CurrentWatchSchedule().Spacing());
  if (requests.upstreams != nullptr) {
    peers_.RequestRecords(*requests.upstreams, true);
  }
  if (requests.config != nullptr && requests.config != requests.upstreams) {
    peers_.RequestRecords(*requests.config, false);
  }
}

}  // namespace corianderlink
