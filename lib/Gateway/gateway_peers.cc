// Exchange of heartbeats and records with the other gateways.
#include "corianderlink/Gateway/gateway_peers.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Support/log.h"
#include "peer.pb.h"

namespace corianderlink {
namespace {

constexpr char kGatewayKind[] = "gateway";
constexpr Duration kMinHeartbeatInterval = milliseconds(25);
// The heartbeat interval is at least this long per live peer, which bounds the
// number of heartbeats sent and received per second.
constexpr Duration kHeartbeatIntervalPerPeer = milliseconds(3);
// Peers and addresses without a heartbeat for longer than this are forgotten.
constexpr Duration kPeerExpiry = seconds(20);

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

wire::Heartbeat EncodeHeartbeat(const GatewayStatus& status) {
  wire::Heartbeat heartbeat;
  heartbeat.set_instance(status.instance);
  heartbeat.set_kind(kGatewayKind);
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

GatewayStatus DecodeHeartbeat(const wire::Heartbeat& heartbeat) {
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

}  // namespace

GatewayPeers::GatewayPeers(EventLoop& loop, std::string deployment,
                           ProcessId self, Address own_address,
                           StatusSource status)
    : loop_(loop),
      bus_(loop, std::move(deployment), self, std::nullopt),
      self_(std::move(self)),
      own_address_(std::move(own_address)),
      status_source_(std::move(status)) {
  bus_.signal_message.connect(
      [this](const wire::Envelope& message) { OnMessage(message); });
}

void GatewayPeers::Start() { Tick(); }

void GatewayPeers::Tick() {
  SendHeartbeat();
  const Time now = BootClock::now();
  ExpirePeers(now);
  heartbeat_timer_ = loop_.After(HeartbeatInterval(now), [this] { Tick(); });
}

Duration GatewayPeers::HeartbeatInterval(Time now) const {
  const auto live = static_cast<int64_t>(Live(now).size());
  return std::max(kMinHeartbeatInterval, live * kHeartbeatIntervalPerPeer);
}

void GatewayPeers::SendHeartbeat() {
  const Time now = BootClock::now();
  wire::Envelope message;
  *message.mutable_heartbeat() = EncodeHeartbeat(status_source_(now));
  for (const auto& [address, heard] : receivers_) bus_.Send(address, message);
}

void GatewayPeers::AddPeerAddress(const Address& address) {
  if (address == own_address_ || address.port == 0) return;
  receivers_.try_emplace(address, BootClock::now());
}

void GatewayPeers::OnMessage(const wire::Envelope& message) {
  if (message.process() == self_.value()) return;
  if (message.has_heartbeat()) OnHeartbeat(message);
  if (message.has_records_request()) OnRecordsRequest(message);
  if (message.has_records_answer()) OnRecordsAnswer(message);
}

void GatewayPeers::RequestRecords(const GatewayPeer& peer,
                                  bool needs_upstreams) {
  wire::Envelope message;
  wire::RecordsRequest* request = message.mutable_records_request();
  request->set_needs_upstreams(needs_upstreams);
  request->set_peer_address(own_address_.ToString());
  bus_.Send(peer.status.peer_address, message);
}

void GatewayPeers::OnRecordsRequest(const wire::Envelope& message) {
  const wire::RecordsRequest& request = message.records_request();
  const auto address = Address::Parse(request.peer_address());
  if (!address || !on_records_request) return;
  const PeerRecords records = on_records_request(request.needs_upstreams());
  wire::Envelope reply;
  wire::RecordsAnswer* answer = reply.mutable_records_answer();
  if (records.config) EncodeRecord(*records.config, *answer->mutable_config());
  answer->set_upstreams_version(records.upstreams_position.version);
  answer->set_store_era(records.upstreams_position.era);
  for (const StoreRecord& record : records.upstreams) {
    EncodeRecord(record, *answer->add_upstreams());
  }
  const Time now = BootClock::now();
  for (const UpstreamDeparture& departure : records.departures) {
    EncodeDeparture(now, departure, *answer->add_departures());
  }
  bus_.Send(*address, reply);
}

void GatewayPeers::OnRecordsAnswer(const wire::Envelope& message) {
  const wire::RecordsAnswer& answer = message.records_answer();
  PeerRecords records;
  if (answer.has_config()) records.config = DecodeRecord(answer.config());
  records.upstreams_position = {answer.store_era(), answer.upstreams_version()};
  for (const wire::Record& record : answer.upstreams()) {
    records.upstreams.push_back(DecodeRecord(record));
  }
  const Time now = BootClock::now();
  for (const wire::Departure& in : answer.departures()) {
    const auto departure = DecodeDeparture(now, in);
    if (departure) records.departures.push_back(*departure);
  }
  if (on_records_received) on_records_received(records);
}

void GatewayPeers::OnHeartbeat(const wire::Envelope& message) {
  if (message.heartbeat().kind() != kGatewayKind) return;
  const Time now = BootClock::now();
  GatewayPeer& peer = peers_[message.process()];
  const bool is_new = peer.process.empty();
  peer.process = message.process();
  peer.last_heartbeat = now;
  const bool same_digest =
      !is_new &&
      peer.status.upstreams_digest == message.heartbeat().upstreams_digest();
  if (!same_digest) peer.digest_since = now;
  peer.status = DecodeHeartbeat(message.heartbeat());
  if (is_new) {
    Log(LogLevel::kInfo, "peer_found",
        {{"peer", peer.status.instance}, {"process", peer.process}});
    bus_.OnPeerStarted(peer.status.peer_address);
  }
  AddPeerAddress(peer.status.peer_address);
  receivers_[peer.status.peer_address] = now;
  if (on_heartbeat) on_heartbeat(now, peer);
}

void GatewayPeers::ExpirePeers(Time now) {
  std::erase_if(peers_, [&](const auto& entry) {
    if (now - entry.second.last_heartbeat <= kPeerExpiry) return false;
    Log(LogLevel::kInfo, "peer_lost",
        {{"peer", entry.second.status.instance},
         {"process", entry.first},
         {"silent_s", ToSeconds(now - entry.second.last_heartbeat)}});
    return true;
  });
  std::erase_if(receivers_, [&](const auto& entry) {
    if (now - entry.second <= kPeerExpiry) return false;
    bus_.Disconnect(entry.first);
    return true;
  });
}

Duration GatewayPeers::StoreAge(Time now) const {
  Duration age = Duration::max();
  for (const GatewayPeer* peer : Live(now)) {
    if (peer->status.store_age == Duration::max()) continue;
    age = std::min(age, now - peer->last_heartbeat + peer->status.store_age);
  }
  return age;
}

std::vector<const GatewayPeer*> GatewayPeers::Live(Time now) const {
  std::vector<const GatewayPeer*> live;
  for (const auto& [process, peer] : peers_) {
    if (now - peer.last_heartbeat <= kPeerTimeout) live.push_back(&peer);
  }
  return live;
}

}  // namespace corianderlink
