// Encodes and decodes the messages between gateways.
#include "peer_codec.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace corianderlink {
namespace {

// 0 stands for an unknown age.
uint64_t EncodeAge(Duration age) {
  const auto ms = std::chrono::duration_cast<milliseconds>(age).count();
  return static_cast<uint64_t>(std::max<int64_t>(ms, 1));
}

Duration DecodeAge(uint64_t ms) {
  constexpr uint64_t kMaxMs = 24UL * 3600 * 1000;
  return ms == 0 || ms > kMaxMs ? Duration::max()
                                : milliseconds(static_cast<int64_t>(ms));
}

void EncodeRecord(const StoreRecord& record, wire::Record& out) {
  out.set_key(record.key);
  out.set_value(record.value.value_or(""));
  out.set_version(record.version);
  out.set_era(record.era);
}

StoreRecord DecodeRecord(const wire::Record& in) {
  return {in.key(), in.value(), in.version(), in.era()};
}

void EncodeDeparture(Time now, const UpstreamDeparture& departure,
                     wire::Departure& out) {
  out.set_upstream(departure.id.value());
  out.set_started_ms(departure.last_record.started_ms);
  out.set_sequence(departure.last_record.sequence);
  out.set_era(departure.removed_at.era);
  out.set_version(departure.removed_at.version);
  out.set_age_ms(EncodeAge(now - departure.noticed_at));
}

// Empty if the departure has no usable age.
std::optional<UpstreamDeparture> DecodeDeparture(Time now,
                                                 const wire::Departure& in) {
  const Duration age = DecodeAge(in.age_ms());
  if (age == Duration::max()) return std::nullopt;
  return UpstreamDeparture{UpstreamId(in.upstream()),
                           {in.started_ms(), in.sequence()},
                           {in.era(), in.version()},
                           now - age};
}

void EncodeSuspectReport(Time now, const SuspectReport& report,
                         wire::SuspectReport& out) {
  out.set_id(report.key.id);
  out.set_is_request(report.key.kind == SuspectKey::Kind::kRequest);
  out.set_level(report.level);
  for (const UpstreamCrash& crash : report.crashes) {
    wire::UpstreamCrash* entry = out.add_crashes();
    entry->set_upstream(crash.upstream.value());
    entry->set_started_ms(crash.started_ms);
    entry->set_sent_age_ms(EncodeAge(now - crash.sent_at));
    entry->set_crash_age_ms(EncodeAge(now - crash.crashed_at));
    entry->set_request(crash.request);
  }
  if (report.answered_at) {
    out.set_answered_age_ms(EncodeAge(now - *report.answered_at));
  }
  if (report.quarantined_at) {
    out.set_quarantined_age_ms(EncodeAge(now - *report.quarantined_at));
  }
  if (report.tried_since) {
    out.set_tried_age_ms(EncodeAge(now - *report.tried_since));
  }
}

std::optional<Time> DecodeTime(Time now, uint64_t age_ms) {
  const Duration age = DecodeAge(age_ms);
  if (age == Duration::max()) return std::nullopt;
  return now - age;
}

SuspectReport DecodeSuspectReport(Time now, const wire::SuspectReport& in) {
  SuspectReport report;
  report.key.id = in.id();
  if (in.is_request()) report.key.kind = SuspectKey::Kind::kRequest;
  report.level = in.level();
  for (const wire::UpstreamCrash& crash : in.crashes()) {
    const auto sent_at = DecodeTime(now, crash.sent_age_ms());
    const auto crashed_at = DecodeTime(now, crash.crash_age_ms());
    if (!sent_at || !crashed_at) continue;
    report.crashes.push_back({UpstreamId(crash.upstream()), crash.started_ms(),
                              *sent_at, *crashed_at, crash.request()});
  }
  report.answered_at = DecodeTime(now, in.answered_age_ms());
  report.quarantined_at = DecodeTime(now, in.quarantined_age_ms());
  report.tried_since = DecodeTime(now, in.tried_age_ms());
  return report;
}

void EncodeRateLimit(Time now, const RateLimitNotice& notice,
                     wire::RateLimitNotice& out) {
  out.set_upstream(notice.upstream.value());
  out.set_started_ms(notice.started_ms);
  if (notice.per_second) out.set_per_second(*notice.per_second);
  out.set_sent_age_ms(EncodeAge(now - notice.sent_at));
  out.set_received_age_ms(EncodeAge(now - notice.received_at));
}

void EncodeStreamVersions(Time now, const StreamVersionReport& report,
                          wire::StreamVersionReport& out) {
  out.set_is_complete(report.is_complete);
  out.set_knowledge_age_ms(EncodeAge(report.knowledge_age));
  for (const VersionSighting& sighting : report.sightings) {
    wire::VersionSighting* entry = out.add_sightings();
    entry->set_service(sighting.service.value());
    entry->set_version(sighting.version.value());
    entry->set_age_ms(EncodeAge(now - sighting.last_seen));
  }
  std::map<std::pair<ServiceId, SoftwareVersion>, wire::StreamOrigins*> groups;
  for (const StreamOrigin& origin : report.origins) {
    wire::StreamOrigins*& group = groups[{origin.service, origin.version}];
    if (group == nullptr) {
      group = out.add_origins();
      group->set_service(origin.service.value());
      group->set_version(origin.version.value());
    }
    group->add_keys(origin.key.value);
    group->add_ages_ms(static_cast<uint32_t>(EncodeAge(now - origin.begun_at)));
  }
}

StreamVersionReport DecodeStreamVersions(Time now,
                                         const wire::StreamVersionReport& in) {
  StreamVersionReport report;
  report.is_complete = in.is_complete();
  report.knowledge_age = DecodeAge(in.knowledge_age_ms());
  for (const wire::VersionSighting& entry : in.sightings()) {
    const auto last_seen = DecodeTime(now, entry.age_ms());
    if (!last_seen) continue;
    report.sightings.push_back({ServiceId(entry.service()),
                                SoftwareVersion(entry.version()), *last_seen});
  }
  for (const wire::StreamOrigins& group : in.origins()) {
    const ServiceId service(group.service());
    const SoftwareVersion version(group.version());
    const int streams = std::min(group.keys_size(), group.ages_ms_size());
    for (int i = 0; i < streams; ++i) {
      const auto begun_at = DecodeTime(now, group.ages_ms(i));
      if (!begun_at) continue;
      report.origins.push_back(
          {StreamKey{group.keys(i)}, service, version, *begun_at});
    }
  }
  return report;
}

// Empty if the ages are unknown or the limit is not a number in range.
std::optional<RateLimitNotice> DecodeRateLimit(
    Time now, const wire::RateLimitNotice& in) {
  const auto sent_at = DecodeTime(now, in.sent_age_ms());
  const auto received_at = DecodeTime(now, in.received_age_ms());
  if (!sent_at || !received_at) return std::nullopt;
  RateLimitNotice notice{UpstreamId(in.upstream()), in.started_ms(),
                         std::nullopt, *sent_at, *received_at};
  if (!in.has_per_second()) return notice;
  const double per_second = in.per_second();
  if (!std::isfinite(per_second) || per_second < 0) return std::nullopt;
  notice.per_second = per_second;
  return notice;
}

}  // namespace

wire::PermitRequest EncodePermitRequest(Time now, const PermitRequest& request,
                                        const Address& reply_to) {
  wire::PermitRequest out;
  out.set_number(request.number);
  EncodeRateLimit(now, request.limit, *out.mutable_limit());
  out.set_count(request.demand.count);
  out.set_priority(static_cast<uint32_t>(request.demand.priority));
  out.set_peer_address(reply_to.ToString());
  return out;
}

std::optional<PermitRequest> DecodePermitRequest(
    Time now, const wire::PermitRequest& in) {
  constexpr auto kLeastUrgent =
      static_cast<uint32_t>(FleetRateLimiter::kLeastUrgent);
  const auto limit = DecodeRateLimit(now, in.limit());
  if (!limit) return std::nullopt;
  PermitRequest request;
  request.number = in.number();
  request.limit = *limit;
  request.demand.count = in.count();
  request.demand.priority =
      static_cast<int>(std::min(in.priority(), kLeastUrgent));
  return request;
}

wire::PermitReply EncodePermitReply(const PermitReply& reply) {
  wire::PermitReply out;
  out.set_number(reply.number);
  out.set_upstream(reply.upstream.value());
  out.set_granted(reply.grant.granted);
  const double retry_ms = std::max(0.0, ToMillis(reply.grant.retry_after));
  out.set_retry_after_ms(static_cast<uint32_t>(retry_ms));
  return out;
}

PermitReply DecodePermitReply(const wire::PermitReply& in) {
  PermitReply reply;
  reply.number = in.number();
  reply.upstream = UpstreamId(in.upstream());
  reply.grant.granted = in.granted();
  reply.grant.retry_after = milliseconds(in.retry_after_ms());
  return reply;
}

wire::Heartbeat EncodeHeartbeat(Time now, const GatewayStatus& status) {
  wire::Heartbeat heartbeat;
  heartbeat.set_instance(status.instance);
  heartbeat.set_kind(kGatewayHeartbeat);
  heartbeat.set_zone(status.zone.value());
  heartbeat.set_revision(status.config_version);
  heartbeat.set_upstreams_version(status.upstreams_position.version);
  heartbeat.set_store_era(status.upstreams_position.era);
  heartbeat.set_upstreams_digest(status.upstreams_digest);
  heartbeat.set_store_age_ms(EncodeAge(status.store_age));
  heartbeat.set_highest_fencing(status.highest_fencing);
  for (const auto& [id, started_ms] : status.leaving_upstreams) {
    wire::LeavingUpstream* out = heartbeat.add_leaving_upstreams();
    out->set_upstream(id.value());
    out->set_started_ms(started_ms);
  }
  for (const SuspectReport& report : status.suspect_reports) {
    EncodeSuspectReport(now, report, *heartbeat.add_suspect_reports());
  }
  for (const RateLimitNotice& notice : status.rate_limits) {
    EncodeRateLimit(now, notice, *heartbeat.add_rate_limits());
  }
  heartbeat.set_forward_address(status.forward_address.ToString());
  for (const ServiceId& service : status.partitioned_services) {
    heartbeat.add_partitioned_services(service.value());
  }
  for (const ServiceId& service : status.impaired_services) {
    heartbeat.add_impaired_services(service.value());
  }
  for (const auto& [service, response_at] : status.upstream_responses) {
    wire::UpstreamResponse* out = heartbeat.add_upstream_responses();
    out->set_service(service.value());
    out->set_age_ms(EncodeAge(now - response_at));
  }
  EncodeStreamVersions(now, status.stream_versions,
                       *heartbeat.mutable_stream_versions());
  heartbeat.set_leaving(status.leaving);
  heartbeat.set_ready(status.ready);
  heartbeat.set_entry_address(status.client_address.ToString());
  heartbeat.set_peer_address(status.peer_address.ToString());
  for (const auto& [id, load] : status.shares) {
    wire::EngineShare* share = heartbeat.add_shares();
    share->set_engine(id.value());
    share->set_requests(load.requests);
    share->set_express_requests(load.express);
    share->set_generating(load.generating);
    for (const double ms : load.backlog_ms) {
      share->add_backlog_ms(static_cast<float>(ms));
    }
  }
  for (const PromptUse& use : status.prompt_uses) {
    wire::PromptUse* out = heartbeat.add_uses();
    out->set_engine(use.upstream.value());
    for (const PromptPart& part : use.parts) {
      out->add_part_ids(part.id);
      out->add_part_tokens(part.tokens);
    }
  }
  for (const auto& [service, demand] : status.demands) {
    wire::EngineDemand* out = heartbeat.add_demands();
    out->set_service(service.value());
    out->set_prefill_ms_per_s(demand.prefill_ms_per_s);
    out->set_handover_ms_per_s(demand.handover_ms_per_s);
    out->set_generating(demand.generating);
  }
  for (const UpstreamId& id : status.held_engines) {
    heartbeat.add_held_engines(id.value());
  }
  return heartbeat;
}

GatewayStatus DecodeHeartbeat(Time now, const wire::Heartbeat& heartbeat) {
  GatewayStatus status;
  status.instance = heartbeat.instance();
  status.zone = ZoneId(heartbeat.zone());
  status.config_version = heartbeat.revision();
  status.upstreams_position = {heartbeat.store_era(),
                               heartbeat.upstreams_version()};
  status.upstreams_digest = heartbeat.upstreams_digest();
  status.store_age = DecodeAge(heartbeat.store_age_ms());
  status.highest_fencing = heartbeat.highest_fencing();
  for (const wire::LeavingUpstream& in : heartbeat.leaving_upstreams()) {
    status.leaving_upstreams[UpstreamId(in.upstream())] = in.started_ms();
  }
  for (const wire::SuspectReport& in : heartbeat.suspect_reports()) {
    status.suspect_reports.push_back(DecodeSuspectReport(now, in));
  }
  for (const wire::RateLimitNotice& in : heartbeat.rate_limits()) {
    const auto notice = DecodeRateLimit(now, in);
    if (notice) status.rate_limits.push_back(*notice);
  }
  status.forward_address =
      Address::Parse(heartbeat.forward_address()).value_or(Address{});
  for (const std::string& service : heartbeat.partitioned_services()) {
    status.partitioned_services.insert(ServiceId(service));
  }
  for (const std::string& service : heartbeat.impaired_services()) {
    status.impaired_services.insert(ServiceId(service));
  }
  for (const wire::UpstreamResponse& in : heartbeat.upstream_responses()) {
    const auto response_at = DecodeTime(now, in.age_ms());
    if (!response_at) continue;
    status.upstream_responses[ServiceId(in.service())] = *response_at;
  }
  status.stream_versions =
      DecodeStreamVersions(now, heartbeat.stream_versions());
  const bool is_older_build = heartbeat.sent_at() == 0;
  if (is_older_build) status.stream_versions.knowledge_age = status.store_age;
  status.leaving = heartbeat.leaving();
  status.ready = heartbeat.ready();
  status.client_address =
      Address::Parse(heartbeat.entry_address()).value_or(Address{});
  status.peer_address =
      Address::Parse(heartbeat.peer_address()).value_or(Address{});
  for (const wire::EngineShare& share : heartbeat.shares()) {
    OutstandingLoad& load = status.shares[UpstreamId(share.engine())];
    load.requests = share.requests();
    load.express = share.express_requests();
    load.generating = share.generating();
    const int tiers = std::min<int>(share.backlog_ms_size(),
                                    static_cast<int>(kPriorityTiers));
    for (int i = 0; i < tiers; ++i) {
      load.backlog_ms[static_cast<size_t>(i)] = share.backlog_ms(i);
    }
  }
  for (const wire::PromptUse& in : heartbeat.uses()) {
    PromptUse use;
    use.upstream = UpstreamId(in.engine());
    const int parts = std::min(in.part_ids_size(), in.part_tokens_size());
    for (int i = 0; i < parts; ++i) {
      use.parts.push_back({in.part_ids(i), in.part_tokens(i)});
    }
    status.prompt_uses.push_back(std::move(use));
  }
  for (const wire::EngineDemand& in : heartbeat.demands()) {
    ServiceDemand& demand = status.demands[ServiceId(in.service())];
    demand.prefill_ms_per_s = in.prefill_ms_per_s();
    demand.handover_ms_per_s = in.handover_ms_per_s();
    demand.generating = in.generating();
  }
  for (const std::string& id : heartbeat.held_engines()) {
    status.held_engines.insert(UpstreamId(id));
  }
  return status;
}

wire::RecordsAnswer EncodeRecords(Time now, const PeerRecords& records) {
  wire::RecordsAnswer answer;
  if (records.config) EncodeRecord(*records.config, *answer.mutable_config());
  answer.set_upstreams_version(records.upstreams_position.version);
  answer.set_store_era(records.upstreams_position.era);
  for (const StoreRecord& record : records.upstreams) {
    EncodeRecord(record, *answer.add_upstreams());
  }
  for (const UpstreamDeparture& departure : records.departures) {
    EncodeDeparture(now, departure, *answer.add_departures());
  }
  return answer;
}

PeerRecords DecodeRecords(Time now, const wire::RecordsAnswer& answer) {
  PeerRecords records;
  if (answer.has_config()) records.config = DecodeRecord(answer.config());
  records.upstreams_position = {answer.store_era(), answer.upstreams_version()};
  for (const wire::Record& record : answer.upstreams()) {
    records.upstreams.push_back(DecodeRecord(record));
  }
  for (const wire::Departure& in : answer.departures()) {
    const auto departure = DecodeDeparture(now, in);
    if (departure) records.departures.push_back(*departure);
  }
  return records;
}

}  // namespace corianderlink
