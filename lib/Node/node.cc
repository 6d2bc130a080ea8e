// Functions common to the entry and fleet processes.
#include "corianderlink/Node/node.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Http/problem.h"
#include "corianderlink/Platform/instance.h"
#include "corianderlink/Release/note_acceptor.h"
#include "corianderlink/Support/hash.h"
#include "corianderlink/Support/log.h"
#include "corianderlink/Support/open_file_limit.h"

namespace corianderlink {
namespace {

const char* KindName(NodeKind kind) {
  return kind == NodeKind::kEntry ? "entry" : "fleet";
}

// Descriptors for files, listeners, peers, the platform and upstreams: half.
constexpr size_t kDescriptorDivisor = 2;
// Parts of the process's memory: for what connections hold besides bodies, and
// for the bodies of requests.
constexpr uint64_t kConnectionMemoryDivisor = 5;
constexpr uint64_t kBodyMemoryDivisor = 6;

// Only release notes, which the fleet process takes, have bodies.
HttpServerLimits AdminLimits(NodeKind kind) {
  return kind == NodeKind::kFleet ? HttpServerLimits() : LimitsWithoutBody();
}

std::shared_ptr<ClientConnections> MakeClientConnections(
    const LimitSettings& settings) {
  const uint64_t memory = static_cast<uint64_t>(settings.memory_mb) << 20;
  ConnectionBudgetLimits limits;
  limits.memory_bytes = memory / kConnectionMemoryDivisor;
  const size_t descriptors =
      std::min(static_cast<size_t>(settings.max_descriptors), OpenFileLimit());
  limits.connections = descriptors / kDescriptorDivisor;
  return std::make_shared<ClientConnections>(limits,
                                             memory / kBodyMemoryDivisor);
}

}  // namespace

Node::Node(EventLoop& loop, NodeSettings settings, NodeKind kind,
           std::optional<PeerKeys> keys, std::string admin_token)
    : loop_(loop),
      settings_(std::move(settings)),
      kind_(kind),
      addresses_(kind == NodeKind::kEntry ? settings_.entry : settings_.fleet),
      admin_token_(std::move(admin_token)),
      self_(std::string(KindName(kind)) + "-" + settings_.instance + "-" +
            random_.HexId().substr(0, 12)),
      client_(loop),
      table_(client_, settings_.platform, settings_.platform_timeout),
      bus_(loop, settings_.deployment, self_, std::move(keys)),
      peers_(settings_.timing.peer_timeout),
      freshness_gate_(settings_.timing.freshness),
      client_connections_(MakeClientConnections(settings_.limits)),
      admin_(
          loop, AdminLimits(kind), [this](Exchange e) { OnAdminRequest(e); },
          client_connections_),
      started_(BootClock::now()) {}

bool Node::Start(std::string& reason) {
  if (!bus_.Listen(addresses_.peer)) {
    reason = "cannot bind peer address " + addresses_.peer.ToString();
    return false;
  }
  if (!admin_.Listen(addresses_.admin)) {
    reason = "cannot bind admin address " + addresses_.admin.ToString();
    return false;
  }
  bus_.signal_message.connect(sigc::mem_fun(*this, &Node::OnMessage));
  heartbeat_timer_ = loop_.Every(settings_.timing.heartbeat, [this] {
    peers_.Expire(BootClock::now());
    SendHeartbeat();
  });
  instance_timer_ =
      loop_.Every(settings_.timing.instance_poll, [this] { PollInstances(); });
  revision_timer_ =
      loop_.Every(settings_.timing.store_poll, [this] { PollRevision(); });
  PollInstances();
  PollRevision();
  return true;
}

void Node::SetLeaving() {
  leaving_ = true;
  SendHeartbeat();
}

void Node::SendHeartbeat() {
  const Time now = BootClock::now();
  wire::Envelope envelope;
  wire::Heartbeat& heartbeat = *envelope.mutable_heartbeat();
  heartbeat.set_instance(settings_.instance);
  heartbeat.set_kind(KindName(kind_));
  heartbeat.set_zone(settings_.zone.value());
  heartbeat.set_revision(state().revision);
  heartbeat.set_leaving(leaving_);
  heartbeat.set_entry_address(settings_.entry.listen.ToString());
  heartbeat.set_peer_address(addresses_.peer.ToString());
  const Duration age = store_ever_read_ ? now - last_store_read_
                                        : Duration(std::chrono::hours(1));
  heartbeat.set_store_age_ms(static_cast<uint64_t>(ToMillis(age)));
  if (fill_heartbeat) fill_heartbeat(heartbeat);
  for (const Address& to : peers_.Receivers(addresses_.peer)) {
    bus_.Send(to, envelope);
  }
}

void Node::Publish(const DesiredState& state, const ReleaseNote& note) {
  if (!release_.ApplyState(state)) return;
  release_.CacheNote(state.revision, note);
  wire::Envelope envelope;
  envelope.mutable_release_update()->set_revision(state.revision);
  envelope.mutable_release_update()->set_note_json(ToJson(note).dump());
  for (const Address& to : peers_.Receivers(addresses_.peer)) {
    bus_.Send(to, envelope);
  }
  signal_state_changed.emit();
  SendHeartbeat();
}

void Node::OnMessage(const wire::Envelope& message) {
  const ProcessId from(message.process());
  switch (message.body_case()) {
    case wire::Envelope::kHeartbeat:
      OnHeartbeat(from, message.heartbeat());
      return;
    case wire::Envelope::kReleaseUpdate:
      OnReleaseUpdate(message.release_update());
      return;
    case wire::Envelope::kReleaseRequest: {
      const auto& peers = peers_.peers();
      const auto it = peers.find(from);
      if (it == peers.end()) return;
      auto update = release_.UpdateFor(message.release_request());
      if (!update) return;
      wire::Envelope reply;
      *reply.mutable_release_update() = std::move(*update);
      bus_.Send(it->second.address, reply);
      return;
    }
    case wire::Envelope::kClaimQuery:
    case wire::Envelope::kClaimAnswer:
      signal_claim.emit(message);
      return;
    case wire::Envelope::kRecordsRequest:
    case wire::Envelope::kRecordsAnswer:
    case wire::Envelope::kPermitRequest:
    case wire::Envelope::kPermitReply:
      break;  // Exchanged only between gateways.
    case wire::Envelope::BODY_NOT_SET:
      return;
  }
}

void Node::OnHeartbeat(const ProcessId& process,
                       const wire::Heartbeat& heartbeat) {
  const auto peer_address = Address::Parse(heartbeat.peer_address());
  if (peer_address && peers_.peers().count(process) == 0) {
    bus_.OnPeerStarted(*peer_address);
  }
  peers_.OnHeartbeat(BootClock::now(), process, heartbeat);
  const bool behind =
      !release_.has_state() || heartbeat.revision() > state().revision;
  if (behind) {
    wire::Envelope request;
    request.mutable_release_request()->set_have_revision(state().revision);
    request.mutable_release_request()->set_needs_state(!release_.has_state());
    if (peer_address) bus_.Send(*peer_address, request);
  }
  signal_heartbeat.emit(process, heartbeat);
}

void Node::OnReleaseUpdate(const wire::ReleaseUpdate& update) {
  std::string reason;
  if (release_.ApplyUpdate(update, reason)) {
    Log(LogLevel::kInfo, "release_in_force",
        {{"revision", state().revision}, {"source", "peer"}});
    signal_state_changed.emit();
    SendHeartbeat();
    return;
  }
  if (update.revision() <= state().revision) return;
  Log(LogLevel::kInfo, "release_update_not_applied",
      {{"revision", update.revision()}, {"reason", reason}});
  // The update arrived out of order.  Read the current state from the table;
  // the next heartbeat of a peer that is ahead also requests an update.
  ReadReleaseHead();
}

void Node::PollInstances() {
  if (instances_read_outstanding_) return;
  instances_read_outstanding_ = true;
  HttpRequest request;
  request.address = settings_.platform;
  request.target = "/v1/instances";
  request.timeout = settings_.platform_timeout;
  client_.Start(request, [this](const HttpResponse& response) {
    instances_read_outstanding_ = false;
    if (!response.ok()) return;
    std::string reason;
    auto instances = DecodeInstances(response.body, reason);
    if (!instances) {
      Log(LogLevel::kWarning, "instance_list_refused", {{"reason", reason}});
      return;
    }
    peers_.OnInstances(std::move(*instances));
  });
}

// Reads the row that holds only the revision.  The head row grows with the
// number of items and is read only if its revision is newer.
void Node::PollRevision() {
  if (revision_read_outstanding_) return;
  revision_read_outstanding_ = true;
  const Time requested_at = BootClock::now();
  table_.ReadPrefix(kReleaseRevisionKey,
                    [this, requested_at](const ReadResult& result) {
                      revision_read_outstanding_ = false;
                      if (result.rows) OnRevision(requested_at, *result.rows);
                    });
}

void Node::OnRevision(Time requested_at, const std::vector<TableRow>& rows) {
  if (rows.empty()) {
    // Once a revision above 0 is known, an empty result is stale or wrong.
    if (state().revision > 0) return;
    release_.OnEmptyTable();
    return RecordStoreRead(requested_at);
  }
  const Revision revision =
      std::strtoull(rows.front().value.c_str(), nullptr, 10);
  const bool behind = !release_.has_state() || revision > state().revision;
  if (behind) return ReadReleaseHead();
  // An older revision means that the result is stale; it does not count as a
  // read of the current state.
  if (revision == state().revision) RecordStoreRead(requested_at);
}

void Node::RecordStoreRead(Time requested_at) {
  store_ever_read_ = true;
  last_store_read_ = std::max(last_store_read_, requested_at);
}

void Node::ReadReleaseHead() {
  if (head_read_outstanding_) return;
  head_read_outstanding_ = true;
  const Time requested_at = BootClock::now();
  table_.ReadPrefix(kReleaseHeadKey,
                    [this, requested_at](const ReadResult& result) {
                      head_read_outstanding_ = false;
                      OnReleaseHead(requested_at, result);
                    });
}

void Node::OnReleaseHead(Time requested_at, const ReadResult& result) {
  if (!result.rows) {
    Log(LogLevel::kDebug, "release_head_unread", {{"reason", result.reason}});
    return;
  }
  const TableRow* head = nullptr;
  for (const TableRow& row : *result.rows) {
    if (row.key == kReleaseHeadKey) head = &row;
  }
  if (head == nullptr) return;
  std::string reason;
  const auto state = ParseDesiredState(head->value, reason);
  if (!state) {
    Log(LogLevel::kWarning, "release_head_refused", {{"reason", reason}});
    return;
  }
  if (state->revision < this->state().revision) return;
  if (release_.ApplyState(*state)) {
    Log(LogLevel::kInfo, "release_in_force",
        {{"revision", state->revision}, {"source", "table"}});
    signal_state_changed.emit();
    SendHeartbeat();
  }
  RecordStoreRead(requested_at);
}

FreshnessView Node::Freshness(Time now) const {
  FreshnessView view;
  view.last_store_read = last_store_read_;
  view.store_ever_read = store_ever_read_;
  view.listed_instances = peers_.instances().size();
  view.live_instances = peers_.CountLiveInstances(now, settings_.instance,
                                                  freshness_gate_.window());
  view.has_state = release_.has_state();
  return view;
}

bool Node::MayServe(Time now) const {
  return freshness_gate_.MayServe(now, Freshness(now));
}

bool Node::MayAcceptNotes(Time now) const {
  return freshness_gate_.MayAcceptNote(Freshness(now));
}

bool Node::TokenMatches(const HttpExchange& exchange) const {
  return ConstantTimeEquals(exchange.Header("Authorization"),
                            "Bearer " + admin_token_);
}

void Node::OnAdminRequest(const Exchange& exchange) {
  const std::string& path = exchange->path();
  if (path == "/health") {
    exchange->Reply(200, "text/plain", "ok\n");
    return;
  }
  if (path == "/metrics") {
    const PeerBusCounters& counters = bus_.counters();
    metrics_.Set("peer_frames_sent_total",
                 static_cast<double>(counters.frames_sent));
    metrics_.Set("peer_bytes_sent_total",
                 static_cast<double>(counters.bytes_sent));
    metrics_.Set("peer_bytes_received_total",
                 static_cast<double>(counters.bytes_received));
    metrics_.Set("peer_frames_refused_total",
                 static_cast<double>(counters.frames_refused));
    client_connections_->Export(metrics_, "client_");
    metrics_.Set("release_revision", static_cast<double>(state().revision));
    exchange->Reply(200, "text/plain; version=0.0.4", metrics_.Exposition());
    return;
  }
  if (!TokenMatches(*exchange)) {
    ReplyProblem(*exchange,
                 {401, "Unauthorized",
                  Outcome::NotRun("wrong or missing token"), std::nullopt, ""});
    return;
  }
  if (path == "/v1/dump") {
    exchange->Reply(200, "application/json", Dump(BootClock::now()).dump(2));
    return;
  }
  if (handle_admin && handle_admin(exchange)) return;
  ReplyProblem(*exchange, {404, "Not found", Outcome::NotRun("no such path"),
                           std::nullopt, ""});
}

Json Node::Dump(Time now) const {
  Json peers = Json::array();
  for (const auto& [process, peer] : peers_.peers()) {
    peers.push_back({{"process", process.value()},
                     {"instance", peer.heartbeat.instance()},
                     {"kind", peer.heartbeat.kind()},
                     {"zone", peer.heartbeat.zone()},
                     {"revision", peer.heartbeat.revision()},
                     {"leaving", peer.heartbeat.leaving()},
                     {"in_flight", peer.heartbeat.in_flight()},
                     {"silent_ms", ToMillis(now - peer.last_heartbeat)}});
  }
  Json dump = {{"process", self_.value()},
               {"kind", KindName(kind_)},
               {"deployment", settings_.deployment},
               {"instance", settings_.instance},
               {"zone", settings_.zone.value()},
               {"uptime_s", ToSeconds(now - started_)},
               {"leaving", leaving_},
               {"may_serve", MayServe(now)},
               {"revision", state().revision},
               {"listed_instances", peers_.instances().size()},
               {"peers", peers}};
  if (store_ever_read_) {
    dump["store_age_ms"] = ToMillis(now - last_store_read_);
  }
  if (fill_dump) fill_dump(dump);
  return dump;
}

}  // namespace corianderlink
