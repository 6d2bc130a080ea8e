// Chooses the engine for a model request.
#include "corianderlink/Routing/engine_router.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Support/prompt_pieces.h"

namespace corianderlink {
namespace {

// Prefill rate and batch size assumed for an engine that has not reported yet.
constexpr double kDefaultPrefillTokensPerSecond = 10000;
constexpr uint64_t kDefaultBatch = 8;
// Largest number of earlier load values kept for each engine.
constexpr size_t kMaxHistory = 4096;
// Predicted wait for each request beyond a full batch.
constexpr milliseconds kWaitPerQueued{100};

}  // namespace

EngineRouter::EngineRouter(RouterLimits limits, OutlierEjectorLimits ejector,
                           ZoneId own_zone)
    : limits_(limits), own_zone_(std::move(own_zone)), ejector_(ejector) {}

void EngineRouter::SetEngines(const std::map<EngineId, EngineSpec>& engines) {
  std::erase_if(engines_, [&](const auto& entry) {
    const auto it = engines.find(entry.first);
    // An engine whose address changed is a different engine: drop its state.
    return it == engines.end() ||
           it->second.address != entry.second.spec.address;
  });
  by_model_.clear();
  for (const auto& [id, spec] : engines) {
    const auto it = engines_.find(id);
    if (it != engines_.end()) {
      it->second.spec = spec;
    } else {
      engines_.emplace(id, Engine{spec,
                                  std::nullopt,
                                  Time{},
                                  {},
                                  {},
                                  0,
                                  0,
                                  PrefixIndex(limits_.prefix_max_age,
                                              limits_.prefix_max_pieces)});
    }
    for (const ModelId& model : spec.models) by_model_[model].push_back(id);
  }
}

void EngineRouter::SetPeerLoads(const std::string& peer,
                                const std::map<EngineId, EngineLoad>& loads) {
  loads_by_peer_[peer] = loads;
  UpdatePeerTotals();
}

void EngineRouter::ForgetPeer(const std::string& peer) {
  if (loads_by_peer_.erase(peer) > 0) UpdatePeerTotals();
}

void EngineRouter::UpdatePeerTotals() {
  peer_totals_.clear();
  for (const auto& [name, per_engine] : loads_by_peer_) {
    for (const auto& [engine, load] : per_engine) {
      peer_totals_[engine].requests += load.requests;
      peer_totals_[engine].prefill_tokens += load.prefill_tokens;
    }
  }
}

void EngineRouter::OnReport(Time requested_at, const EngineId& id,
                            const EngineReport& report) {
  const auto it = engines_.find(id);
  if (it == engines_.end()) return;
  Engine& engine = it->second;
  const bool restarted =
      engine.report && engine.report->boot_id != report.boot_id;
  if (restarted) engine.prefix.Clear();
  engine.report = report;
  engine.report_requested_at = requested_at;
  const OwnLoad own = OwnLoadAt(engine, requested_at);
  const EngineLoad peers = PeerLoadOn(id);
  const uint64_t known = own.requests + peers.requests;
  engine.unattributed_requests =
      report.in_flight > known ? report.in_flight - known : 0;
  engine.unattributed_prefill_tokens = std::max(
      0.0, report.queued_prefill_tokens -
               static_cast<double>(own.prefill_tokens + peers.prefill_tokens));
  while (!engine.history.empty() && engine.history.front().at < requested_at) {
    engine.history.pop_front();
  }
}

EngineLoad EngineRouter::PeerLoadOn(const EngineId& id) const {
  const auto it = peer_totals_.find(id);
  return it == peer_totals_.end() ? EngineLoad{} : it->second;
}

// Saves the current load in the history before it changes.
void EngineRouter::RecordOwnLoad(Time now, Engine& engine) {
  OwnLoad previous = engine.own;
  previous.at = now;
  engine.history.push_back(previous);
  if (engine.history.size() > kMaxHistory) engine.history.pop_front();
}

// Returns the load at time `at`, which is the value that the first change at or
// after `at` replaced.
EngineRouter::OwnLoad EngineRouter::OwnLoadAt(const Engine& engine, Time at) {
  for (const OwnLoad& load : engine.history) {
    if (load.at >= at) return load;
  }
  return engine.own;
}

void EngineRouter::OnCacheEvent(Time now, const EngineId& id,
                                const CacheEvent& event) {
  const auto it = engines_.find(id);
  if (it != engines_.end()) it->second.prefix.OnEvent(now, event);
}

bool EngineRouter::Serves(const ModelId& model,
                          const AdapterId& adapter) const {
  const auto it = by_model_.find(model);
  if (it == by_model_.end()) return false;
  return std::any_of(
      it->second.begin(), it->second.end(), [&](const EngineId& id) {
        const EngineSpec& spec = engines_.at(id).spec;
        return adapter.empty() || spec.adapters.count(adapter) > 0;
      });
}

bool EngineRouter::HasModelLoaded(const Engine& engine,
                                  const RouteQuery& query) const {
  // What the engine has loaded is unknown until its first report; its declared
  // configuration is not enough.
  if (!engine.report) return false;
  const EngineConfig& config = engine.report->config;
  if (config.models.count(query.model) == 0) return false;
  if (engine.spec.models.count(query.model) == 0) return false;
  return query.adapter.empty() || config.adapters.count(query.adapter) > 0;
}

uint64_t EngineRouter::InFlight(Time now, const EngineId& id,
                                const Engine& engine) const {
  const uint64_t known = engine.own.requests + PeerLoadOn(id).requests;
  const bool report_usable =
      now - engine.report_requested_at <= limits_.max_report_age;
  return known + (report_usable ? engine.unattributed_requests : 0);
}

double EngineRouter::PrefillBacklog(Time now, const EngineId& id,
                                    const Engine& engine) const {
  const auto known = static_cast<double>(engine.own.prefill_tokens +
                                         PeerLoadOn(id).prefill_tokens);
  if (!engine.report) return known;
  // Subtracts the prefill work that the engine has done since the report.
  const double completed = ToSeconds(now - engine.report_requested_at) *
                           engine.report->prefill_tokens_per_s;
  return known + std::max(0.0, engine.unattributed_prefill_tokens - completed);
}

std::optional<RouteChoice> EngineRouter::Evaluate(
    Time now, const EngineId& id, const Engine& engine,
    const RouteQuery& query) const {
  const Address& address = engine.spec.address;
  if (query.excluded.count(address) > 0 || held_.count(address) > 0) return {};
  if (!HasModelLoaded(engine, query) || engine.report->away) return {};
  const double share = ejector_.SlowStartShare(now, address);
  if (share <= 0) return {};
  const uint64_t batch =
      engine.report ? engine.report->max_batch : kDefaultBatch;
  const uint64_t queue = query.cls == PriorityClass::kUrgent
                             ? limits_.max_engine_queue_urgent
                             : limits_.max_engine_queue;
  const auto capacity =
      static_cast<uint64_t>(static_cast<double>(batch + queue) * share + 0.5);
  const uint64_t in_flight = InFlight(now, id, engine);
  if (in_flight >= capacity) return {};
  const uint64_t cached =
      std::min<uint64_t>(engine.prefix.Hits(now, query.pieces) * kPieceTokens,
                         query.prompt_tokens);
  const uint64_t uncached = query.prompt_tokens - cached;
  // The engine schedules urgent requests ahead of its own queue.
  const double backlog =
      query.cls == PriorityClass::kUrgent ? 0 : PrefillBacklog(now, id, engine);
  const double rate = engine.report ? engine.report->prefill_tokens_per_s
                                    : kDefaultPrefillTokensPerSecond;
  Duration predicted =
      FromSeconds((backlog + static_cast<double>(uncached)) / rate);
  if (in_flight >= batch) {
    predicted += kWaitPerQueued * static_cast<int64_t>(in_flight - batch + 1);
  }
  // Each decoding step takes longer with a larger batch.
  predicted +=
      FromSeconds(static_cast<double>(in_flight) * engine.report->step_ms /
                  1000.0 / static_cast<double>(batch));
  const EngineRole mismatched_role = query.phase == RoutePhase::kStart
                                         ? EngineRole::kDecode
                                         : EngineRole::kPrefill;
  if (ParseEngineRole(engine.report->config.role) == mismatched_role) {
    predicted += limits_.role_mismatch_penalty;
  }
  if (engine.spec.zone != own_zone_) predicted += limits_.cross_zone_penalty;
  return RouteChoice{id, address, predicted, uncached};
}

std::optional<RouteChoice> EngineRouter::BestOf(
    Time now, const RouteQuery& query, const std::vector<EngineId>& ids) const {
  std::optional<RouteChoice> best;
  for (const EngineId& id : ids) {
    const auto choice = Evaluate(now, id, engines_.at(id), query);
    if (!choice) continue;
    if (best && choice->predicted_first_token >= best->predicted_first_token) {
      continue;
    }
    best = choice;
  }
  return best;
}

// Samples a few engines that are always the same for prompts with this prefix,
// and a few that rotate with `round`.  The best of a few random choices is
// close to the best of all (Mitzenmacher, "The power of two choices in
// randomized load balancing", 2001).
std::vector<EngineId> EngineRouter::SampleCandidates(
    const RouteQuery& query, const std::vector<EngineId>& ids,
    uint64_t round) const {
  // Multiplicative hashing with an odd multiplier (Knuth, TAOCP 6.4).
  constexpr uint64_t kHashMultiplier = 0x9e3779b97f4a7c15ULL;
  std::vector<EngineId> candidates;
  if (!query.pieces.empty()) {
    for (uint64_t i = 0; i < limits_.affinity_candidates; ++i) {
      const uint64_t hash = (query.pieces.front() + i) * kHashMultiplier;
      candidates.push_back(ids[(hash >> 16) % ids.size()]);
    }
  }
  for (uint64_t i = 0; i < limits_.rotating_candidates; ++i) {
    const uint64_t hash =
        (round * limits_.rotating_candidates + i) * kHashMultiplier;
    candidates.push_back(ids[(hash >> 16) % ids.size()]);
  }
  return candidates;
}

std::optional<RouteChoice> EngineRouter::Choose(Time now,
                                                const RouteQuery& query) const {
  const auto it = by_model_.find(query.model);
  if (it == by_model_.end()) return std::nullopt;
  if (it->second.size() <= limits_.max_full_scan) {
    return BestOf(now, query, it->second);
  }
  for (int i = 0; i < limits_.max_sampling_rounds; ++i) {
    const auto choice = BestOf(
        now, query, SampleCandidates(query, it->second, ++sampling_round_));
    if (choice) return choice;
  }
  return std::nullopt;
}

void EngineRouter::OnDispatch(Time now, const RouteChoice& choice,
                              const RouteQuery& query) {
  const auto it = engines_.find(choice.engine);
  if (it == engines_.end()) return;
  Engine& engine = it->second;
  RecordOwnLoad(now, engine);
  ++engine.own.requests;
  engine.own.prefill_tokens += choice.uncached_tokens;
  engine.prefix.OnDispatch(now, query.pieces);
}

void EngineRouter::OnFirstToken(Time now, const EngineId& id,
                                uint64_t uncached_tokens) {
  const auto it = engines_.find(id);
  if (it == engines_.end()) return;
  RecordOwnLoad(now, it->second);
  uint64_t& tokens = it->second.own.prefill_tokens;
  tokens -= std::min(tokens, uncached_tokens);
}

void EngineRouter::OnEnd(Time now, const EngineId& id, uint64_t uncached_tokens,
                         bool had_first_token, bool failed) {
  const auto it = engines_.find(id);
  if (it == engines_.end()) return;
  Engine& engine = it->second;
  RecordOwnLoad(now, engine);
  if (engine.own.requests > 0) --engine.own.requests;
  if (!had_first_token) OnFirstToken(now, id, uncached_tokens);
  const Address& address = engine.spec.address;
  if (!failed) return ejector_.OnSuccess(address);
  ejector_.OnFailure(now, address, engines_.size());
}

uint64_t EngineRouter::OwnRequests(const EngineId& id) const {
  const auto it = engines_.find(id);
  return it == engines_.end() ? 0 : it->second.own.requests;
}

std::map<EngineId, EngineLoad> EngineRouter::OwnLoads() const {
  std::map<EngineId, EngineLoad> loads;
  for (const auto& [id, engine] : engines_) {
    if (engine.own.requests == 0) continue;
    loads[id] = {static_cast<uint32_t>(engine.own.requests),
                 engine.own.prefill_tokens};
  }
  return loads;
}

EngineRole EngineRouter::RoleOf(const EngineId& id) const {
  const auto it = engines_.find(id);
  if (it == engines_.end() || !it->second.report) return EngineRole::kMixed;
  return ParseEngineRole(it->second.report->config.role);
}

const EngineSpec* EngineRouter::FindEngine(const EngineId& id) const {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : &it->second.spec;
}

const PrefixIndex* EngineRouter::FindPrefixIndex(const EngineId& id) const {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : &it->second.prefix;
}

std::vector<EngineId> EngineRouter::EngineIds() const {
  std::vector<EngineId> ids;
  for (const auto& [id, engine] : engines_) ids.push_back(id);
  return ids;
}

}  // namespace corianderlink
