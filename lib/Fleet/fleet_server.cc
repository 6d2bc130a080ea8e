// The fleet process.
#include "corianderlink/Fleet/fleet_server.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Http/problem.h"
#include "corianderlink/Support/hash.h"
#include "corianderlink/Support/id_json.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr size_t kShards = 4;
constexpr milliseconds kTick{50};
constexpr milliseconds kRowsPoll{1000};
constexpr seconds kOrderTimeout{2};
constexpr milliseconds kFirstBackoff{500};
constexpr seconds kLongestBackoff{30};
constexpr int kMaxDoublings = 8;
constexpr seconds kLongestStop{10};
// An engine without a report for this long counts as lost.
constexpr seconds kLostEngine{3};
constexpr char kOrdersPrefix[] = "orders/";
constexpr char kFleetPrefix[] = "fleet/";
constexpr char kTransitionKey[] = "fleet/transition";
constexpr char kRolesKey[] = "fleet/roles";

std::string ShardRowKey(size_t index) {
  return "leases/shard-" + std::to_string(index);
}

LeaseTiming TimingOf(const NodeSettings& settings) {
  LeaseTiming timing;
  timing.lease = settings.timing.lease;
  timing.guard = settings.timing.lease_guard;
  timing.renew_after = settings.timing.lease / 3;
  timing.poll = settings.timing.lease / 6;
  return timing;
}

RoleLimits RoleLimitsOf(const RoleSettings& settings) {
  RoleLimits limits;
  limits.change_weight = settings.change_weight;
  limits.minimum_dwell = settings.minimum_dwell;
  limits.horizon = settings.horizon;
  return limits;
}

bool IsPrefill(const EngineKeeper& keeper) {
  return keeper.report && keeper.report->config.role == "prefill";
}

}  // namespace

FleetServer::FleetServer(Node& node)
    : node_(node),
      notes_(node),
      roles_(RoleLimitsOf(node.settings().roles)),
      reports_(
          node.loop(), node.client(), node.settings().timing.engine_poll,
          [this](const Address& engine, Time asked, const std::string& body) {
            OnReport(engine, asked, body);
          }) {
  for (size_t i = 0; i < kShards; ++i) {
    Shard shard;
    shard.lease = std::make_unique<LeaseHolder>(
        ShardRowKey(i), node_.self(), TimingOf(node_.settings()),
        [this] { return node_.random().HexId(); });
    shard.lease->SetWanted(false);
    shards_.push_back(std::move(shard));
  }
  node_.signal_release.connect(sigc::mem_fun(*this, &FleetServer::OnRelease));
  node_.fill_heartbeat = [this](wire::Heartbeat& h) { FillHeartbeat(h); };
  node_.fill_dump = [this](Json& dump) { FillDump(dump); };
  node_.handle_admin = [this](const Exchange& e) { return OnAdmin(e); };
}

bool FleetServer::Start() {
  tick_timer_ = node_.loop().Every(kTick, [this] { Tick(); });
  rows_timer_ = node_.loop().Every(kRowsPoll, [this] { ReadFleetRows(); });
  ReadFleetRows();
  return true;
}

size_t FleetServer::ShardOf(const Address& engine) const {
  return StableHash(engine.ToString()) % kShards;
}

bool FleetServer::Holds(Time now, const Address& engine) const {
  const Shard& shard = shards_[ShardOf(engine)];
  return shard.lease->Held(now) && shard.rows_read;
}

void FleetServer::Tick() {
  const Time now = BootClock::now();
  ChooseShards(now);
  for (size_t i = 0; i < shards_.size(); ++i) {
    DriveLease(shards_[i]);
    Shard& shard = shards_[i];
    const bool taken = shard.lease->Held(now);
    const bool changed = taken && shard.rows_fencing != shard.lease->fencing();
    if (!taken) shard.rows_read = false;
    if (taken && (changed || !shard.rows_read)) ReadOrders(i);
  }
  for (auto& [address, keeper] : keepers_) {
    if (Holds(now, address)) Reconcile(now, keeper);
  }
  DecideRoles(now);
  if (!stopping_) return;
  const bool idle = std::none_of(
      shards_.begin(), shards_.end(),
      [&](const Shard& s) { return s.lease->seen().holder == node_.self(); });
  if (idle || now - stop_began_ > kLongestStop) node_.loop().Stop();
}

// Rendezvous hashing over the live fleet processes (Thaler and Ravishankar,
// 1998).  It only says who tries; the lease decides.
void FleetServer::ChooseShards(Time now) {
  std::vector<std::string> candidates;
  if (!stopping_) candidates.push_back(node_.settings().instance);
  for (const PeerState* peer : node_.peers().Live(now, "fleet")) {
    if (!peer->heartbeat.leaving()) {
      candidates.push_back(peer->heartbeat.instance());
    }
  }
  for (size_t i = 0; i < shards_.size(); ++i) {
    std::string best;
    uint64_t best_hash = 0;
    for (const std::string& candidate : candidates) {
      const uint64_t hash = StableHash(ShardRowKey(i) + candidate);
      if (!best.empty() && hash <= best_hash) continue;
      best = candidate;
      best_hash = hash;
    }
    shards_[i].lease->SetWanted(!stopping_ &&
                                best == node_.settings().instance);
  }
}

void FleetServer::DriveLease(Shard& shard) {
  LeaseHolder* lease = shard.lease.get();
  LeaseAction action = lease->Next(BootClock::now());
  switch (action.kind) {
    case LeaseAction::Kind::kNone:
      return;
    case LeaseAction::Kind::kRead:
      node_.table().ReadPrefix(lease->row_key(),
                               [lease](const ReadResult& result) {
                                 lease->OnRead(BootClock::now(), result);
                               });
      return;
    case LeaseAction::Kind::kCommit:
      node_.table().Commit(action.txn, [lease](const CommitResult& result) {
        lease->OnCommit(BootClock::now(), result);
      });
      return;
  }
}

void FleetServer::ReadOrders(size_t index) {
  const FencingNumber fencing = shards_[index].lease->fencing();
  shards_[index].rows_fencing = fencing;
  shards_[index].rows_read = false;
  node_.table().ReadPrefix(
      kOrdersPrefix, [this, index, fencing](const ReadResult& result) {
        Shard& shard = shards_[index];
        if (shard.rows_fencing != fencing) return;
        if (!result.rows) {
          shard.rows_fencing = 0;
          return;
        }
        for (auto& [address, keeper] : keepers_) {
          if (ShardOf(address) != index) continue;
          keeper.order.reset();
          keeper.order_version = 0;
          keeper.barrier.Reset();
          keeper.busy = false;
        }
        for (const TableRow& row : *result.rows) {
          const auto address =
              Address::Parse(row.key.substr(std::string(kOrdersPrefix).size()));
          if (address && ShardOf(*address) == index) OnOrderRow(row);
        }
        shard.rows_read = true;
        UpdateTargets();
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
  EngineKeeper& keeper = keepers_[*address];
  keeper.address = *address;
  keeper.order = record;
  keeper.order_version = row.version;
  keeper.watched_since = BootClock::now();
}

void FleetServer::ReadOrder(const Address& engine) {
  const std::string key = OrderRowKey(engine);
  node_.table().ReadPrefix(key, [this, engine, key](const ReadResult& result) {
    const auto it = keepers_.find(engine);
    if (it == keepers_.end()) return;
    if (!result.rows) {
      // Without the row nothing is decided; taking the lease again reads it.
      shards_[ShardOf(engine)].rows_read = false;
      return;
    }
    it->second.order.reset();
    it->second.order_version = 0;
    it->second.barrier.Reset();
    for (const TableRow& row : *result.rows) {
      if (row.key == key) OnOrderRow(row);
    }
    it->second.busy = false;
  });
}

void FleetServer::ReadFleetRows() {
  node_.table().ReadPrefix(kFleetPrefix, [this](const ReadResult& result) {
    if (!result.rows) return;
    fleet_rows_read_ = true;
    transition_.clear();
    transition_version_ = 0;
    for (const TableRow& row : *result.rows) {
      if (row.key == kTransitionKey) {
        transition_ = row.value;
        transition_version_ = row.version;
      }
      if (row.key != kRolesKey || row.version < roles_version_) continue;
      const Json json = Json::parse(row.value, nullptr, false);
      if (!json.is_object()) continue;
      roles_version_ = row.version;
      chosen_roles_.clear();
      for (const auto& [text, role] : json.items()) {
        const auto address = Address::Parse(text);
        if (address && role.is_string()) {
          chosen_roles_[*address] = role.get<std::string>();
        }
      }
    }
  });
}

void FleetServer::OnRelease() {
  for (auto& [address, keeper] : keepers_) {
    keeper.spec.reset();
    keeper.name.clear();
  }
  for (const auto& [id, spec] : node_.state().items.engines) {
    EngineKeeper& keeper = keepers_[spec.address];
    keeper.address = spec.address;
    keeper.spec = spec;
    keeper.name = id.value();
  }
  std::erase_if(keepers_, [](const auto& entry) {
    const EngineKeeper& keeper = entry.second;
    return !keeper.spec && !keeper.order && !keeper.busy;
  });
  UpdateTargets();
}

void FleetServer::UpdateTargets() {
  std::map<Address, std::string> targets;
  for (const auto& [address, keeper] : keepers_) {
    const bool open = keeper.order && IsOpen(keeper.order->phase);
    if (keeper.spec || open) targets[address] = "/v1/state";
  }
  reports_.SetTargets(std::move(targets));
}

void FleetServer::OnReport(const Address& engine, Time asked,
                           const std::string& body) {
  const auto it = keepers_.find(engine);
  if (it == keepers_.end()) return;
  std::string reason;
  auto report = ParseEngineReport(body, reason);
  if (!report) {
    Log(LogLevel::kWarning, "engine_report_refused",
        {{"engine", engine.ToString()}, {"reason", reason}});
    return;
  }
  it->second.report = std::move(*report);
  it->second.report_asked = asked;
}

std::optional<EngineConfig> FleetServer::WantedConfig(
    const EngineKeeper& keeper) const {
  if (!keeper.spec || !keeper.spec->automatic_orders) return std::nullopt;
  EngineConfig config;
  config.models = keeper.spec->models;
  config.adapters = keeper.spec->adapters;
  config.role = ToString(keeper.spec->role);
  if (keeper.spec->role == EngineRole::kAuto) {
    const auto chosen = chosen_roles_.find(keeper.address);
    config.role = chosen == chosen_roles_.end() ? "mixed" : chosen->second;
  }
  return config;
}

bool FleetServer::MayInterrupt(const EngineKeeper& keeper) const {
  const bool serving = keeper.report && !keeper.report->config.models.empty();
  if (!serving) return true;
  return fleet_rows_read_ &&
         (transition_.empty() || transition_ == keeper.address.ToString());
}

void FleetServer::Reconcile(Time now, EngineKeeper& keeper) {
  if (keeper.busy) return;
  EngineView view;
  view.wanted = WantedConfig(keeper);
  view.in_force = keeper.spec.has_value();
  view.watched_since = keeper.watched_since;
  view.order = keeper.order;
  view.report = keeper.report;
  view.report_asked = keeper.report_asked;
  view.fencing = shards_[ShardOf(keeper.address)].lease->fencing();
  view.not_before = keeper.not_before;
  view.max_report_lag = node_.settings().timing.engine_report_lag;
  view.may_interrupt = MayInterrupt(keeper);
  const bool open = keeper.order && IsOpen(keeper.order->phase);
  if (open) {
    const std::set<std::string> missing = MissingAcknowledgements(
        now, node_.peers(),
        keeper.barrier.Announcement(node_.self(), keeper.address,
                                    keeper.order->sequence, view.fencing));
    view.all_entries_held = keeper.barrier.Observe(now, missing.empty());
  }
  const EngineDecision decision = DecideEngine(view, now);
  if (decision.reason != keeper.last_reason) {
    keeper.last_reason = decision.reason;
    Log(LogLevel::kInfo, "engine_decision",
        {{"engine", keeper.address.ToString()}, {"reason", decision.reason}});
  }
  switch (decision.kind) {
    case EngineDecision::Kind::kNone:
      return;
    case EngineDecision::Kind::kRecord:
      return Record(keeper, decision.record);
    case EngineDecision::Kind::kSend:
      return SendOrder(now, keeper, decision.record);
  }
}

void FleetServer::Record(EngineKeeper& keeper, const OrderRecord& record) {
  const Address address = keeper.address;
  TableTransaction txn;
  const std::string key = OrderRowKey(address);
  txn.conditions.push_back({key, keeper.order_version});
  txn.writes.push_back({key, EncodeOrderRecord(record)});
  const bool serving = keeper.report && !keeper.report->config.models.empty();
  const bool starts = record.phase == OrderPhase::kDraining && serving &&
                      InterruptsServing(keeper.report->config, record.config) &&
                      transition_.empty();
  const bool ends = !IsOpen(record.phase) && transition_ == address.ToString();
  if (starts || ends) {
    txn.conditions.push_back({kTransitionKey, transition_version_});
    txn.writes.push_back(
        {kTransitionKey, starts ? std::optional<std::string>(address.ToString())
                                : std::nullopt});
  }
  keeper.busy = true;
  LeaseHolder& lease = *shards_[ShardOf(address)].lease;
  lease.Enqueue(
      txn, [this, address, record, starts, ends](const CommitResult& result) {
        const auto it = keepers_.find(address);
        if (it == keepers_.end()) return;
        EngineKeeper& held = it->second;
        if (starts || ends) ReadFleetRows();
        if (result.status == CommitStatus::kNotRun) {
          held.busy = false;
          return;
        }
        if (result.status != CommitStatus::kCommitted) {
          return ReadOrder(address);
        }
        held.busy = false;
        held.order = record;
        held.order_version = result.version;
        if (!IsOpen(record.phase)) held.barrier.Reset();
        if (starts) transition_ = address.ToString();
        if (starts || ends) transition_version_ = result.version;
        if (ends) transition_.clear();
        UpdateTargets();
        node_.SendHeartbeat();
      });
}

void FleetServer::SendOrder(Time now, EngineKeeper& keeper,
                            const OrderRecord& record) {
  LeaseHolder& lease = *shards_[ShardOf(keeper.address)].lease;
  if (!lease.Held(now)) return;
  HttpRequest request;
  request.address = keeper.address;
  request.method = "POST";
  request.target = "/v1/orders";
  request.timeout =
      std::min<Duration>(kOrderTimeout, lease.valid_until() - now);
  request.body = Json{{"sequence", record.sequence},
                      {"fencing", record.fencing},
                      {"config", ToJson(record.config)}}
                     .dump();
  const Address address = keeper.address;
  const auto gate_handle = std::make_shared<std::optional<int>>();
  keeper.busy = true;
  const auto call = node_.client().Start(
      request, [this, address, gate_handle](const HttpResponse& response) {
        if (*gate_handle) gate_.Disarm(**gate_handle);
        OnOrderAnswer(address, response);
      });
  // No byte leaves before the loop runs on, so the guard is in time.
  *gate_handle = gate_.Arm(call->fd(), lease.valid_until(),
                           node_.settings().timing.lease_guard / 2);
  if (!*gate_handle) {
    call->Cancel();
    keeper.busy = false;
    return;
  }
  Log(LogLevel::kInfo, "order_sent",
      {{"engine", address.ToString()},
       {"sequence", record.sequence},
       {"fencing", record.fencing},
       {"role", record.config.role}});
}

void FleetServer::OnOrderAnswer(const Address& engine,
                                const HttpResponse& response) {
  const auto it = keepers_.find(engine);
  if (it == keepers_.end()) return;
  EngineKeeper& keeper = it->second;
  keeper.busy = false;
  if (response.ok()) {
    keeper.failures = 0;
    // Not repeated before a report asked for from now on could show it.
    keeper.not_before = BootClock::now() +
                        2 * node_.settings().timing.engine_poll +
                        node_.settings().timing.engine_report_lag;
    return;
  }
  const int doublings = std::min(keeper.failures++, kMaxDoublings);
  keeper.not_before =
      BootClock::now() +
      std::min<Duration>(kLongestBackoff, kFirstBackoff * (1 << doublings));
  keeper.last_reason = response.outcome.ran()
                           ? "engine answered: " + response.body
                           : response.outcome.reason;
  Log(LogLevel::kWarning, "order_failed",
      {{"engine", engine.ToString()}, {"reason", keeper.last_reason}});
}

// Counts the engines whose role is chosen here, and the demand that entries
// measured at admission, in units of one engine's work.
FleetServer::RoleSnapshot FleetServer::TakeRoleSnapshot(Time now) const {
  double prompt_rate = 0;
  double output_rate = 0;
  for (const PeerState* peer : node_.peers().Live(now, "entry")) {
    prompt_rate += peer->heartbeat.prompt_tokens_per_s();
    output_rate += peer->heartbeat.output_tokens_per_s();
  }
  RoleSnapshot snapshot;
  snapshot.view.unsettled = !transition_.empty();
  for (const auto& [address, keeper] : keepers_) {
    const bool is_auto = keeper.spec && keeper.spec->role == EngineRole::kAuto;
    if (!is_auto) continue;
    const bool usable = keeper.report && !keeper.report->away &&
                        now - keeper.report_asked <= kLostEngine;
    if (!usable) {
      snapshot.view.unsettled = true;
      continue;
    }
    const EngineReport& report = *keeper.report;
    const double decode_rate =
        static_cast<double>(report.max_batch) / (report.step_ms / 1000.0);
    snapshot.engines.push_back(&keeper);
    snapshot.demand = {prompt_rate / report.prefill_tokens_per_s,
                       output_rate / decode_rate};
    ++(IsPrefill(keeper) ? snapshot.view.prefill : snapshot.view.decode);
  }
  return snapshot;
}

void FleetServer::DecideRoles(Time now) {
  // The holder of the first shard decides for all.
  const bool decides =
      shards_[0].lease->Held(now) && !roles_busy_ && fleet_rows_read_;
  if (!decides) return;
  const RoleSnapshot snapshot = TakeRoleSnapshot(now);
  if (snapshot.engines.size() < 2) return;
  roles_.OnDemand(now, snapshot.demand);
  const auto change = roles_.Decide(now, snapshot.view);
  if (!change) return;
  const bool to_prefill = *change == RoleChange::kToPrefill;
  const EngineKeeper* chosen = nullptr;
  for (const EngineKeeper* keeper : snapshot.engines) {
    if (IsPrefill(*keeper) == to_prefill) continue;
    // The emptiest engine loses the least work.
    const bool better = chosen == nullptr ||
                        keeper->report->in_flight < chosen->report->in_flight;
    if (better) chosen = keeper;
  }
  if (chosen == nullptr) return;
  roles_.OnChanged(now, *change);
  RecordRole(chosen->address, to_prefill ? "prefill" : "decode");
}

void FleetServer::RecordRole(const Address& engine, const std::string& role) {
  Json roles = Json::object();
  for (const auto& [address, chosen] : chosen_roles_) {
    roles[address.ToString()] = chosen;
  }
  roles[engine.ToString()] = role;
  TableTransaction txn;
  txn.conditions.push_back({kRolesKey, roles_version_});
  txn.writes.push_back({kRolesKey, roles.dump()});
  roles_busy_ = true;
  shards_[0].lease->Enqueue(
      txn, [this, engine, role](const CommitResult& result) {
        roles_busy_ = false;
        node_.metrics().Add("role_changes_total");
        const bool committed = result.status == CommitStatus::kCommitted;
        Log(LogLevel::kInfo, "role_chosen",
            {{"engine", engine.ToString()},
             {"role", role},
             {"committed", committed ? "yes" : "unclear"}});
        ReadFleetRows();
      });
}

void FleetServer::FillHeartbeat(wire::Heartbeat& heartbeat) {
  const Time now = BootClock::now();
  for (auto& [address, keeper] : keepers_) {
    if (!Holds(now, address) || !keeper.NeedsHold()) {
      keeper.barrier.Reset();
      continue;
    }
    *heartbeat.add_holds() = keeper.barrier.Announcement(
        node_.self(), address, keeper.order->sequence,
        shards_[ShardOf(address)].lease->fencing());
  }
}

Json FleetServer::Status() const {
  const Time now = BootClock::now();
  Json engines = Json::array();
  for (const auto& [address, keeper] : keepers_) {
    Json engine = {{"address", address.ToString()},
                   {"engine", keeper.name},
                   {"in_force", keeper.spec.has_value()},
                   {"reported", keeper.report.has_value()},
                   {"ordered_here", Holds(now, address)},
                   {"reason", keeper.last_reason}};
    if (keeper.report) {
      engine["role"] = keeper.report->config.role;
      engine["away"] = keeper.report->away;
      engine["in_flight"] = keeper.report->in_flight;
      engine["models"] = IdsToJson(keeper.report->config.models);
      const auto wanted = WantedConfig(keeper);
      engine["as_wanted"] = wanted && *wanted == keeper.report->config;
    }
    if (keeper.order) {
      engine["order_sequence"] = keeper.order->sequence;
      engine["order_phase"] = ToString(keeper.order->phase);
    }
    engines.push_back(std::move(engine));
  }
  return {{"revision", node_.state().revision}, {"engines", engines}};
}

void FleetServer::FillDump(Json& dump) const {
  const Time now = BootClock::now();
  Json shards = Json::array();
  for (const Shard& shard : shards_) {
    shards.push_back({{"row", shard.lease->row_key()},
                      {"held", shard.lease->Held(now)},
                      {"fencing", shard.lease->fencing()},
                      {"holder", shard.lease->seen().holder.value()},
                      {"rows_read", shard.rows_read}});
  }
  dump["shards"] = shards;
  dump["transition"] = transition_;
  dump["status"] = Status();
  dump["demand"] = {{"prefill_engines", roles_.demand().prefill_engines},
                    {"decode_engines", roles_.demand().decode_engines}};
}

bool FleetServer::OnAdmin(const Exchange& exchange) {
  if (notes_.Handle(exchange)) return true;
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
  stop_began_ = BootClock::now();
  Log(LogLevel::kInfo, "stop_began", {});
  node_.SetLeaving();
}

}  // namespace corianderlink
