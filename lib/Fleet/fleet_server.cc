// The fleet process: accepts release notes, sends orders to engines and assigns
// engine roles.
#include "corianderlink/Fleet/fleet_server.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Http/problem.h"
#include "corianderlink/Support/id_json.h"
#include "corianderlink/Support/json_reader.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kFleetRowsPollInterval{1000};
constexpr seconds kOrderTimeout{2};
constexpr milliseconds kInitialBackoff{500};
constexpr seconds kMaxBackoff{30};
constexpr int kMaxBackoffDoublings = 8;
constexpr seconds kStopTimeout{10};
constexpr char kOrdersPrefix[] = "orders/";

}  // namespace

FleetServer::FleetServer(Node& node)
    : node_(node),
      note_api_(node),
      rows_(node.table()),
      shards_(node),
      role_assigner_(node, engines_, rows_, shards_.lease(0)),
      report_poller_(node.loop(), node.client(),
                     node.settings().timing.engine_poll,
                     [this](const Address& engine, Time requested_at,
                            const std::string& body) {
                       OnReport(engine, requested_at, body);
                     }) {
  node_.signal_state_changed.connect(
      sigc::mem_fun(*this, &FleetServer::OnRelease));
  node_.fill_heartbeat = [this](wire::Heartbeat& h) { FillHeartbeat(h); };
  node_.fill_dump = [this](Json& dump) { FillDump(dump); };
  node_.handle_admin = [this](const Exchange& e) { return OnAdmin(e); };
}

bool FleetServer::Start() {
  tick_timer_ = node_.loop().Every(kTickInterval, [this] { Tick(); });
  fleet_rows_timer_ =
      node_.loop().Every(kFleetRowsPollInterval, [this] { rows_.Read(); });
  rows_.Read();
  return true;
}

void FleetServer::Tick() {
  const Time now = BootClock::now();
  shards_.UpdateCandidacy(now, stopping_);
  for (size_t i = 0; i < shards_.size(); ++i) {
    shards_.AdvanceLease(i);
    if (shards_.NeedsOrders(now, i)) ReadShardOrders(i);
  }
  for (auto& [address, state] : engines_) {
    if (shards_.MayOrder(now, address)) Reconcile(now, state);
  }
  role_assigner_.Decide(now);
  if (!stopping_) return;
  const bool timed_out = now - stop_start_time_ > kStopTimeout;
  const bool done = shards_.HoldsNone() && node_.open_admin_requests() == 0;
  if (done || timed_out) node_.loop().Stop();
}

void FleetServer::ReadShardOrders(size_t index) {
  const FencingToken fencing = shards_.BeginRead(index);
  node_.table().ReadPrefix(
      kOrdersPrefix, [this, index, fencing](const ReadResult& result) {
        if (!shards_.IsCurrentRead(index, fencing)) return;
        if (!result.rows) return shards_.EndRead(index, false);
        for (auto& [address, state] : engines_) {
          if (EngineShards::IndexOf(address) != index) continue;
          state.order.reset();
          state.order_version = 0;
          state.barrier.Reset();
          state.request_pending = false;
        }
        for (const TableRow& row : *result.rows) {
          const auto address =
              Address::Parse(row.key.substr(std::string(kOrdersPrefix).size()));
          if (!address || EngineShards::IndexOf(*address) != index) continue;
          OnOrderRow(row);
        }
        shards_.EndRead(index, true);
        UpdatePollTargets();
        Log(LogLevel::kInfo, "shard_taken",
            {{"shard", uint64_t{index}}, {"fencing", fencing}});
      });
}

void FleetServer::OnOrderRow(const TableRow& row) {
  const auto address =
      Address::Parse(row.key.substr(std::string(kOrdersPrefix).size()));
  const auto record = DecodeOrderRecord(row.value);
  if (!address || !record) {
    Log(LogLevel::kError, "order_row_refused", {{"key", row.key}});
    return;
  }
  EngineState& state = engines_[*address];
  state.address = *address;
  state.order = record;
  state.order_version = row.version;
  state.order_read_at = BootClock::now();
}

void FleetServer::ReadOrder(const Address& engine) {
  const std::string key = OrderRowKey(engine);
  node_.table().ReadPrefix(key, [this, engine, key](const ReadResult& result) {
    const auto it = engines_.find(engine);
    if (it == engines_.end()) return;
    if (!result.rows) {
      // The row's contents are unknown, so no decision may be made for the
      // shard until its orders are read again at the next tick.
      shards_.ForgetOrders(engine);
      return;
    }
    it->second.order.reset();
    it->second.order_version = 0;
    it->second.barrier.Reset();
    for (const TableRow& row : *result.rows) {
      if (row.key == key) OnOrderRow(row);
    }
    it->second.request_pending = false;
  });
}

void FleetServer::OnRelease() {
  for (auto& [address, state] : engines_) {
    state.spec.reset();
    state.name.clear();
  }
  for (const auto& [id, spec] : node_.state().items.engines) {
    EngineState& state = engines_[spec.address];
    state.address = spec.address;
    state.spec = spec;
    state.name = id.value();
  }
  std::erase_if(engines_, [](const auto& entry) {
    const EngineState& state = entry.second;
    return !state.spec && !state.order && !state.request_pending;
  });
  UpdatePollTargets();
}

void FleetServer::UpdatePollTargets() {
  std::map<Address, std::string> targets;
  for (const auto& [address, state] : engines_) {
    const bool open = state.order && IsOpen(state.order->phase);
    if (state.spec || open) targets[address] = "/v1/state";
  }
  report_poller_.SetTargets(std::move(targets));
}

void FleetServer::OnReport(const Address& engine, Time requested_at,
                           const std::string& body) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  std::string reason;
  auto report = ParseEngineReport(body, reason);
  if (!report) {
    Log(LogLevel::kWarning, "engine_report_refused",
        {{"engine", engine.ToString()}, {"reason", reason}});
    return;
  }
  it->second.report = std::move(*report);
  it->second.report_requested_at = requested_at;
}

std::optional<EngineConfig> FleetServer::DesiredConfig(
    const EngineState& state) const {
  if (!state.spec || !state.spec->automatic_orders) return std::nullopt;
  EngineConfig config;
  config.models = state.spec->models;
  config.adapters = state.spec->adapters;
  config.role = ToString(state.spec->role);
  if (state.spec->role == EngineRole::kAuto) {
    config.role = rows_.RoleOf(state.address);
  }
  return config;
}

bool FleetServer::CanInterruptServing(const EngineState& state) const {
  const bool serving = state.report && !state.report->config.models.empty();
  return !serving || rows_.MayInterrupt(state.address);
}

void FleetServer::Reconcile(Time now, EngineState& state) {
  if (state.request_pending) return;
  EngineView view;
  view.desired = DesiredConfig(state);
  view.in_force = state.spec.has_value();
  view.watched_since = state.order_read_at;
  view.order = state.order;
  view.report = state.report;
  view.report_requested_at = state.report_requested_at;
  view.fencing = shards_.LeaseFor(state.address).fencing();
  view.not_before = state.not_before;
  view.max_report_lag = node_.settings().timing.engine_report_lag;
  view.may_interrupt = CanInterruptServing(state);
  const bool open = state.order && IsOpen(state.order->phase);
  if (open) {
    const std::set<std::string> missing = MissingAcknowledgements(
        now, node_.peers(),
        state.barrier.Announcement(node_.self(), state.address,
                                   state.order->sequence, view.fencing));
    view.acknowledged_at = state.barrier.Observe(now, missing.empty());
  }
  const EngineDecision decision = DecideEngine(view, now);
  if (decision.reason != state.last_reason) {
    state.last_reason = decision.reason;
    Log(LogLevel::kInfo, "engine_decision",
        {{"engine", state.address.ToString()}, {"reason", decision.reason}});
  }
  switch (decision.kind) {
    case EngineDecision::Kind::kNone:
      return;
    case EngineDecision::Kind::kWrite:
      return WriteOrder(state, decision.record);
    case EngineDecision::Kind::kSend:
      return SendOrder(now, state, decision.record);
  }
}

void FleetServer::WriteOrder(EngineState& state, const OrderRecord& record) {
  const Address address = state.address;
  TableTransaction txn;
  const std::string key = OrderRowKey(address);
  txn.conditions.push_back({key, state.order_version});
  txn.writes.push_back({key, EncodeOrderRecord(record)});
  const bool serving = state.report && !state.report->config.models.empty();
  const bool starts = record.phase == OrderPhase::kDraining && serving &&
                      InterruptsServing(state.report->config, record.config) &&
                      rows_.transitioning_engine().empty();
  const bool ends = !IsOpen(record.phase) &&
                    rows_.transitioning_engine() == address.ToString();
  const auto in_transition = starts ? std::optional(address) : std::nullopt;
  // The transition row changes in the same transaction, so that at most one
  // engine of the fleet is in transition.
  const bool changes = starts || ends;
  if (changes) rows_.AddTransition(txn, in_transition);
  state.request_pending = true;
  LeaseClient& lease = shards_.LeaseFor(address);
  lease.Enqueue(txn, [this, address, record, changes,
                      in_transition](const CommitResult& result) {
    const auto it = engines_.find(address);
    if (it == engines_.end()) return;
    EngineState& current = it->second;
    if (changes) rows_.Read();
    if (result.status == CommitStatus::kNotRun) {
      current.request_pending = false;
      return;
    }
    if (result.status != CommitStatus::kCommitted) {
      return ReadOrder(address);
    }
    current.request_pending = false;
    current.order = record;
    current.order_version = result.version;
    if (!IsOpen(record.phase)) current.barrier.Reset();
    if (changes) rows_.OnTransition(in_transition, result.version);
    UpdatePollTargets();
    node_.SendHeartbeat();
  });
}

void FleetServer::SendOrder(Time now, EngineState& state,
                            const OrderRecord& record) {
  LeaseClient& lease = shards_.LeaseFor(state.address);
  if (!lease.IsHeld(now)) return;
  HttpRequest request;
  request.address = state.address;
  request.method = "POST";
  request.target = "/v1/orders";
  request.discard_undelivered = true;
  request.timeout =
      std::min<Duration>(kOrderTimeout, lease.valid_until() - now);
  request.body = Json{{"sequence", record.sequence},
                      {"fencing", record.fencing},
                      {"config", ToJson(record.config)}}
                     .dump();
  const Address address = state.address;
  const auto guard_handle = std::make_shared<std::optional<int>>();
  state.request_pending = true;
  const auto call = node_.client().Start(
      request, [this, address, guard_handle](const HttpResponse& response) {
        if (*guard_handle) socket_guard_.Disarm(**guard_handle);
        OnOrderResponse(address, response);
      });
  // The client writes to the socket only from the event loop, so the guard is
  // armed before the first byte is sent.
  *guard_handle = socket_guard_.Arm(call->fd(), lease.valid_until(),
                                    node_.settings().timing.lease_guard / 2);
  if (!*guard_handle) {
    call->Cancel();
    state.request_pending = false;
    return;
  }
  Log(LogLevel::kInfo, "order_sent",
      {{"engine", address.ToString()},
       {"sequence", record.sequence},
       {"fencing", record.fencing},
       {"role", record.config.role}});
}

void FleetServer::OnOrderResponse(const Address& engine,
                                  const HttpResponse& response) {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return;
  EngineState& state = it->second;
  state.request_pending = false;
  if (response.ok()) {
    state.consecutive_failures = 0;
    // Do not send the order again before a report requested from now on can
    // show its effect.
    state.not_before = BootClock::now() +
                       2 * node_.settings().timing.engine_poll +
                       node_.settings().timing.engine_report_lag;
    return;
  }
  const int backoff_doublings =
      std::min(state.consecutive_failures++, kMaxBackoffDoublings);
  state.not_before =
      BootClock::now() +
      std::min<Duration>(kMaxBackoff,
                         kInitialBackoff * (1 << backoff_doublings));
  state.last_reason = response.outcome.ran()
                          ? "engine answered with an error: " + response.body
                          : response.outcome.reason;
  Log(LogLevel::kWarning, "order_failed",
      {{"engine", engine.ToString()}, {"reason", state.last_reason}});
}

void FleetServer::FillHeartbeat(wire::Heartbeat& heartbeat) {
  const Time now = BootClock::now();
  for (auto& [address, state] : engines_) {
    if (!shards_.MayOrder(now, address) || !state.NeedsHold()) {
      state.barrier.Reset();
      continue;
    }
    *heartbeat.add_holds() =
        state.barrier.Announcement(node_.self(), address, state.order->sequence,
                                   shards_.LeaseFor(address).fencing());
  }
}

Json FleetServer::Status() const {
  const Time now = BootClock::now();
  Json engines = Json::array();
  for (const auto& [address, state] : engines_) {
    Json engine = {{"address", address.ToString()},
                   {"engine", state.name},
                   {"in_force", state.spec.has_value()},
                   {"reported", state.report.has_value()},
                   {"ordered_here", shards_.MayOrder(now, address)},
                   {"reason", state.last_reason}};
    if (state.report) {
      engine["role"] = state.report->config.role;
      engine["away"] = state.report->away;
      engine["in_flight"] = state.report->in_flight;
      engine["models"] = IdsToJson(state.report->config.models);
      const auto desired = DesiredConfig(state);
      engine["as_wanted"] = desired && *desired == state.report->config;
    }
    if (state.order) {
      engine["order_sequence"] = state.order->sequence;
      engine["order_phase"] = ToString(state.order->phase);
    }
    engines.push_back(std::move(engine));
  }
  return {{"revision", node_.state().revision}, {"engines", engines}};
}

void FleetServer::FillDump(Json& dump) const {
  dump["shards"] = shards_.Dump(BootClock::now());
  dump["transition"] = rows_.transitioning_engine();
  dump["status"] = Status();
  dump["demand"] = {
      {"prefill_engines", role_assigner_.demand().prefill_engines},
      {"decode_engines", role_assigner_.demand().decode_engines}};
}

bool FleetServer::OnAdmin(const Exchange& exchange) {
  const bool submits_note =
      exchange->path() == "/v1/notes" && exchange->method() == "POST";
  if (stopping_ && submits_note) {
    ReplyProblem(*exchange,
                 {503, "Stopping",
                  Outcome::NotRun("this process stops; use another instance"),
                  std::nullopt, ""});
    return true;
  }
  if (note_api_.Handle(exchange)) return true;
  if (exchange->path() == "/v1/status") {
    exchange->Reply(200, "application/json", Status().dump());
    return true;
  }
  if (exchange->path() == "/v1/drain" && exchange->method() == "POST") {
    BeginStop();
    exchange->Reply(202, "application/json", Json{{"draining", true}}.dump());
    return true;
  }
  return false;
}

void FleetServer::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  stop_start_time_ = BootClock::now();
  Log(LogLevel::kInfo, "stop_began", {});
  node_.SetLeaving();
}

}  // namespace corianderlink
