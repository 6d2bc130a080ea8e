// The gateway's admin interface: metrics and the state dump.
#include "corianderlink/Gateway/gateway.h"
#include "corianderlink/Support/json_reader.h"

namespace corianderlink {

void Gateway::OnAdmin(const std::shared_ptr<HttpExchange>& exchange) {
  if (exchange->path() == "/metrics") {
    exchange->Reply(200, "text/plain; version=0.0.4", metrics_.Exposition());
  } else if (exchange->path() == "/dump") {
    exchange->Reply(200, "application/json", DumpState(BootClock::now()));
  } else {
    exchange->Reply(404, "text/plain", "");
  }
}

std::string Gateway::DumpState(Time now) const {
  Json dump{{"process", process_id_.value()},
            {"ready", ready()},
            {"leaving", shutting_down_},
            {"config_version", record_cache_.config_version()},
            {"client_connections", client_server_.connections()}};
  for (const auto& [id, upstream] : placer_.directory().records()) {
    Json& entry = dump["upstreams"][id.value()];
    entry = {{"service", upstream.service.value()},
             {"address", upstream.address.ToString()},
             {"draining", upstream.draining},
             {"version", upstream.version.value()},
             {"speed_factor", placer_.speed().Factor(upstream)},
             {"connections", pool_.ConnectionCount(upstream.address)}};
    const RateLimitNotice* limit =
        placer_.rate_limiter().limits().Find(upstream);
    if (limit == nullptr || !limit->per_second) continue;
    entry["rate_limit"] = {{"per_s", *limit->per_second},
                           {"age_ms", ToMillis(now - limit->received_at)}};
  }
  for (const UpstreamLink link :
       {UpstreamLink::kImpaired, UpstreamLink::kPartitioned}) {
    for (const ServiceId& service : reachability_.ServicesWith(link)) {
      dump["upstream_links"][service.value()] = ToString(link);
    }
  }
  for (const VersionSighting& sighting :
       stream_versions_.history().Sightings()) {
    dump["versions"][sighting.service.value()][sighting.version.value()] = {
        {"last_seen_ms", ToMillis(now - sighting.last_seen)}};
  }
  for (const QuarantinedKey& entry : quarantine_.Quarantined(now)) {
    dump["quarantined"][ToString(entry.key)] = {
        {"ends_in_s", ToSeconds(entry.ends_at - now)}};
  }
  for (const GatewayPeer* peer : peers_.Live(now)) {
    dump["peers"][peer->process] = {
        {"ready", peer->status.ready},
        {"leaving", peer->status.leaving},
        {"age_ms", ToMillis(now - peer->last_heartbeat)}};
  }
  return dump.dump(2);
}

void Gateway::UpdateGauges(Time now) {
  metrics_.Set("gateway_client_connections",
               static_cast<double>(client_server_.connections()));
  metrics_.Set("gateway_upstream_connects",
               static_cast<double>(pool_.connections_opened()));
  metrics_.Set("gateway_discarded_responses",
               static_cast<double>(pool_.responses_discarded()));
  metrics_.Set("gateway_answer_bytes_held",
               static_cast<double>(answer_memory_.held()));
  client_connections_->Export(metrics_, "gateway_");
  metrics_.Set("gateway_peers", static_cast<double>(peers_.Live(now).size()));
  metrics_.Set("gateway_quarantined_keys",
               static_cast<double>(quarantine_.Quarantined(now).size()));
  metrics_.Set("gateway_rate_limited_upstreams",
               static_cast<double>(placer_.rate_limiter().limits().size()));
  metrics_.Set("gateway_denied_permits",
               static_cast<double>(placer_.rate_limiter().denials()));
  const auto services_with = [this](UpstreamLink link) {
    return static_cast<double>(reachability_.ServicesWith(link).size());
  };
  metrics_.Set("gateway_partitioned_services",
               services_with(UpstreamLink::kPartitioned));
  metrics_.Set("gateway_impaired_services",
               services_with(UpstreamLink::kImpaired));
  metrics_.Set("gateway_known_streams",
               static_cast<double>(stream_versions_.origins().size()));
  metrics_.Set("gateway_store_age_seconds",
               ToSeconds(store_contact_.OwnAge(now)));
}

}  // namespace corianderlink
