#include "corianderlink/Fleet/role_assigner.h"

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// An engine whose latest report is older than this counts as lost.
constexpr seconds kEngineLostTimeout{3};

RoleControllerOptions MakeRoleControllerOptions(const RoleSettings& settings) {
  RoleControllerOptions options;
  options.change_weight = settings.change_weight;
  options.minimum_dwell = settings.minimum_dwell;
  options.horizon = settings.horizon;
  return options;
}

bool IsPrefill(const EngineState& state) {
  return state.report && state.report->config.role == "prefill";
}

// Returns the engine to change, or nullptr.  Changing the engine with the
// fewest requests interrupts the least work.
const EngineState* SelectEngine(const std::vector<const EngineState*>& engines,
                                bool to_prefill) {
  const EngineState* chosen = nullptr;
  for (const EngineState* state : engines) {
    if (IsPrefill(*state) == to_prefill) continue;
    const bool less_loaded = chosen == nullptr || state->report->in_flight <
                                                      chosen->report->in_flight;
    if (less_loaded) chosen = state;
  }
  return chosen;
}

}  // namespace

RoleAssigner::RoleAssigner(Node& node, const EngineStates& engines,
                           FleetRows& rows, LeaseClient& lease)
    : node_(node),
      engines_(engines),
      rows_(rows),
      lease_(lease),
      controller_(MakeRoleControllerOptions(node.settings().roles)) {}

// Counts the available engines with automatic role, and converts the token
// rates that entries measure at admission into the number of engines needed per
// role.
RoleAssigner::Snapshot RoleAssigner::TakeSnapshot(Time now) const {
  double prompt_rate = 0;
  double output_rate = 0;
  for (const PeerState* peer : node_.peers().Live(now, "entry")) {
    prompt_rate += peer->heartbeat.prompt_tokens_per_s();
    output_rate += peer->heartbeat.output_tokens_per_s();
  }
  Snapshot snapshot;
  snapshot.view.engine_unavailable = !rows_.transitioning_engine().empty();
  for (const auto& [address, state] : engines_) {
    const bool is_auto = state.spec && state.spec->role == EngineRole::kAuto;
    if (!is_auto) continue;
    const bool usable = state.report && !state.report->away &&
                        now - state.report_requested_at <= kEngineLostTimeout;
    if (!usable) {
      snapshot.view.engine_unavailable = true;
      continue;
    }
    const EngineReport& report = *state.report;
    const double decode_rate =
        static_cast<double>(report.max_batch) / (report.step_ms / 1000.0);
    snapshot.engines.push_back(&state);
    snapshot.demand = {prompt_rate / report.prefill_tokens_per_s,
                       output_rate / decode_rate};
    ++(IsPrefill(state) ? snapshot.view.prefill : snapshot.view.decode);
  }
  return snapshot;
}

void RoleAssigner::Decide(Time now) {
  const bool is_decider = lease_.IsHeld(now) && !write_pending_ && rows_.read();
  if (!is_decider) return;
  const Snapshot snapshot = TakeSnapshot(now);
  if (snapshot.engines.size() < 2) return;
  controller_.OnDemand(now, snapshot.demand);
  const auto change = controller_.Decide(now, snapshot.view);
  if (!change) return;
  const bool to_prefill = *change == RoleChange::kToPrefill;
  const EngineState* chosen = SelectEngine(snapshot.engines, to_prefill);
  if (chosen == nullptr) return;
  controller_.OnChanged(now, *change);
  WriteRole(chosen->address, to_prefill ? "prefill" : "decode");
}

void RoleAssigner::WriteRole(const Address& engine, const std::string& role) {
  write_pending_ = true;
  lease_.Enqueue(rows_.ChooseRole(engine, role),
                 [this, engine, role](const CommitResult& result) {
                   write_pending_ = false;
                   node_.metrics().Add("role_changes_total");
                   const bool committed =
                       result.status == CommitStatus::kCommitted;
                   Log(LogLevel::kInfo, "role_chosen",
                       {{"engine", engine.ToString()},
                        {"role", role},
                        {"committed", committed ? "yes" : "unclear"}});
                   rows_.Read();
                 });
}

}  // namespace corianderlink
