// Queues model requests, assigns them to engines and preempts bulk requests.
#include "corianderlink/Serving/chat_scheduler.h"

#include <cmath>
#include <utility>
#include <vector>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Interval of the periodic pass: queue expiry, peer expiry, migration,
// dispatch.
constexpr milliseconds kSchedulerInterval{20};
// Minimum interval between preemptions, so that a freed slot becomes visible
// before another stream is preempted.
constexpr milliseconds kPreemptionInterval{100};
constexpr double kRetryBurst = 20;
// Time constant of the demand averages that the role controller uses.
constexpr double kDemandTimeConstantSeconds = 10;
// Holds are kept this long after the last heartbeat of the fleet process that
// announced them, since its order may still reach the engine.
constexpr seconds kSilentHoldRetention{30};
// After its start, a process waits at most this long for the holds of all fleet
// processes before it dispatches requests.
constexpr seconds kMaxHoldStartWait{3};

AdmissionLimits MakeAdmissionLimits(const NodeSettings& settings) {
  AdmissionLimits limits;
  limits.max_queued = static_cast<size_t>(settings.limits.max_queued_requests);
  return limits;
}

}  // namespace

ChatScheduler::ChatScheduler(Node& node)
    : node_(node),
      router_({}, {}, node.settings().zone),
      queue_(MakeAdmissionLimits(node.settings())),
      retry_budget_(node.settings().requests.retry_budget_ratio, kRetryBurst),
      started_(BootClock::now()),
      hold_table_(started_, kMaxHoldStartWait, kSilentHoldRetention),
      interval_start_(BootClock::now()) {
  timer_ = node_.loop().Every(kSchedulerInterval, [this] {
    ExpireQueued();
    RemoveDeadPeers();
    MigrateHeldStreams();
    DispatchQueued();
  });
}

std::shared_ptr<ChatTask> ChatScheduler::Start(ChatTask::Options options,
                                               ChatCallbacks callbacks) {
  const AccountId account = options.account;
  interval_prompt_tokens_ +=
      static_cast<double>(options.request.prompt.size()) / 4;
  interval_output_tokens_ += static_cast<double>(options.request.max_tokens);
  auto task = std::make_shared<ChatTask>(*this, std::move(options),
                                         std::move(callbacks));
  tasks_[task->id()] = task;
  ++per_account_[account];
  task->Start();
  return task;
}

std::optional<Refusal> ChatScheduler::Enqueue(
    const std::shared_ptr<ChatTask>& task, bool first_time) {
  PendingRequest pending = task->Pending();
  const Time now = BootClock::now();
  // An admitted request is not refused later because of its predicted wait.
  if (!first_time) pending.deadline = now + std::chrono::hours(1);
  const auto refusal = queue_.Offer(now, pending, node_.random().Uniform());
  if (!refusal) ScheduleDispatch();
  return refusal;
}

void ChatScheduler::ScheduleDispatch() {
  if (dispatch_scheduled_) return;
  dispatch_scheduled_ = true;
  node_.loop().Post([this] {
    dispatch_scheduled_ = false;
    DispatchQueued();
  });
}

bool ChatScheduler::CanDispatch(Time now) {
  const bool can_dispatch = hold_table_.MaySend(now, ListedInstances());
  if (can_dispatch && !logged_first_dispatch_) {
    logged_first_dispatch_ = true;
    Log(LogLevel::kInfo, "dispatch_enabled",
        {{"waited_ms", ToMillis(now - started_)},
         {"queued", static_cast<uint64_t>(queue_.size())}});
  }
  return can_dispatch;
}

std::set<std::string> ChatScheduler::ListedInstances() const {
  std::set<std::string> listed;
  for (const Instance& instance : node_.peers().instances()) {
    listed.insert(instance.id);
  }
  return listed;
}

void ChatScheduler::DispatchQueued() {
  const Time now = BootClock::now();
  if (queue_.size() == 0 || !CanDispatch(now)) return;
  bool placed = true;
  while (placed) {
    placed = false;
    for (const PendingRequest& head : queue_.Heads(now)) {
      const auto it = tasks_.find(head.id);
      if (it == tasks_.end()) {
        queue_.Remove(head.id);
        placed = true;
        break;
      }
      const std::shared_ptr<ChatTask> task = it->second;
      const auto choice = router_.Choose(now, task->query());
      if (!choice) {
        if (head.cls == PriorityClass::kUrgent) PreemptForUrgent(head);
        continue;
      }
      queue_.OnDispatch(now, head.id);
      task->Dispatch(*choice);
      placed = true;
      break;
    }
  }
}

void ChatScheduler::PreemptForUrgent(const PendingRequest& urgent) {
  const Time now = BootClock::now();
  if (now - last_preemption_ < kPreemptionInterval) return;
  for (const auto& [id, task] : tasks_) {
    const bool bulk = task->request().cls == PriorityClass::kBulk;
    if (!bulk || !task->running() || task->request().model != urgent.model) {
      continue;
    }
    const std::shared_ptr<ChatTask> preempted = task;
    last_preemption_ = now;
    preempted->Preempt();
    return;
  }
}

void ChatScheduler::ExpireQueued() {
  const Time now = BootClock::now();
  for (const PendingRequest& request : queue_.Expire(now)) {
    const auto it = tasks_.find(request.id);
    if (it == tasks_.end()) continue;
    const std::shared_ptr<ChatTask> task = it->second;
    const double rate = queue_.DrainRate(now);
    const double wait_s =
        rate > 0 ? queue_.TokensAhead(request.cls) / rate : 1.0;
    task->Refuse(503, "No engine in time",
                 "no engine had room before the deadline",
                 FromSeconds(std::min(120.0, 1 + wait_s) *
                             (1 + node_.random().Uniform())));
  }
}

void ChatScheduler::OnTaskEnded(const std::shared_ptr<ChatTask>& task) {
  queue_.Remove(task->id());
  tasks_.erase(task->id());
  const AccountId account = task->Pending().account;
  const auto it = per_account_.find(account);
  if (it != per_account_.end() && --it->second == 0) per_account_.erase(it);
}

size_t ChatScheduler::InFlightOf(const AccountId& account) const {
  const auto it = per_account_.find(account);
  return it == per_account_.end() ? 0 : it->second;
}

void ChatScheduler::OnRelease() {
  router_.SetEngines(node_.state().items.engines);
  UpdateHolds();
  ScheduleDispatch();
}

void ChatScheduler::FillHeartbeat(wire::Heartbeat& heartbeat) {
  heartbeat.set_in_flight(static_cast<uint32_t>(tasks_.size()));
  for (const auto& [engine, share] : router_.OwnLoads()) {
    wire::EngineShare& out = *heartbeat.add_shares();
    out.set_engine(engine.value());
    out.set_requests(share.requests);
    out.set_prefill_tokens(share.prefill_tokens);
  }
  // A hold is acknowledged once no request of this entry is left on the engine.
  std::set<Address> busy;
  for (const auto& [engine, share] : router_.OwnLoads()) {
    const EngineSpec* spec = router_.FindEngine(engine);
    if (spec != nullptr) busy.insert(spec->address);
  }
  hold_table_.Acknowledge(busy, heartbeat);
  const Time now = BootClock::now();
  hold_table_.RelaySilent(now, node_.settings().timing.peer_timeout,
                          ListedInstances(), heartbeat);
  const double elapsed = ToSeconds(now - interval_start_);
  if (elapsed >= 1) {
    const double decay = std::exp(-elapsed / kDemandTimeConstantSeconds);
    prompt_tokens_per_s_ = prompt_tokens_per_s_ * decay +
                           interval_prompt_tokens_ / elapsed * (1 - decay);
    output_tokens_per_s_ = output_tokens_per_s_ * decay +
                           interval_output_tokens_ / elapsed * (1 - decay);
    interval_prompt_tokens_ = 0;
    interval_output_tokens_ = 0;
    interval_start_ = now;
  }
  heartbeat.set_prompt_tokens_per_s(prompt_tokens_per_s_);
  heartbeat.set_output_tokens_per_s(output_tokens_per_s_);
}

void ChatScheduler::OnPeerHeartbeat(const ProcessId& peer,
                                    const wire::Heartbeat& heartbeat) {
  if (heartbeat.kind() == "entry") {
    std::map<EngineId, EngineLoad> shares;
    for (const wire::EngineShare& share : heartbeat.shares()) {
      shares[EngineId(share.engine())] = {share.requests(),
                                          share.prefill_tokens()};
    }
    router_.SetPeerLoads(peer.value(), shares);
    peers_with_shares_.insert(peer);
    hold_table_.OnEntryHeartbeat(BootClock::now(), heartbeat);
    UpdateHolds();
    return;
  }
  hold_table_.OnHeartbeat(BootClock::now(), peer, heartbeat);
  UpdateHolds();
}

void ChatScheduler::RemoveDeadPeers() {
  const Time now = BootClock::now();
  std::erase_if(peers_with_shares_, [&](const ProcessId& peer) {
    if (node_.peers().IsLive(now, peer)) return false;
    router_.ForgetPeer(peer.value());
    return true;
  });
}

void ChatScheduler::UpdateHolds() {
  hold_table_.Expire(BootClock::now());
  std::set<Address> held = hold_table_.HeldEngines();
  if (held == held_) return;
  held_ = std::move(held);
  router_.SetHeld(held_);
  MigrateHeldStreams();
  node_.SendHeartbeat();
}

void ChatScheduler::MigrateHeldStreams() {
  if (held_.empty()) return;
  std::vector<std::shared_ptr<ChatTask>> moving;
  for (const auto& [id, task] : tasks_) {
    if (!task->running()) continue;
    const EngineSpec* spec = router_.FindEngine(task->engine());
    if (spec != nullptr && router_.Held(spec->address)) moving.push_back(task);
  }
  for (const auto& task : moving) task->Migrate();
}

void ChatScheduler::FillDump(Json& dump) const {
  Json tasks = Json::array();
  for (const auto& [id, task] : tasks_) {
    tasks.push_back({{"request", id.value()},
                     {"class", ToString(task->request().cls)},
                     {"model", task->request().model.value()},
                     {"running", task->running()},
                     {"delivered", task->delivered_tokens()},
                     {"engine", task->engine().value()}});
  }
  Json engines = Json::object();
  for (const EngineId& id : router_.EngineIds()) {
    engines[id.value()] = {
        {"own_requests", router_.OwnRequests(id)},
        {"held", router_.Held(router_.FindEngine(id)->address)}};
  }
  dump["requests"] = tasks;
  dump["queued"] = queue_.size();
  dump["engines"] = engines;
  dump["retry_budget"] = retry_budget_.tokens();
}

}  // namespace corianderlink
