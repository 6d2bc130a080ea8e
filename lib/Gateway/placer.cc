// Places requests on upstreams, or refuses them.
#include "corianderlink/Gateway/placer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corianderlink {
namespace {

constexpr double kMsPerSecond = 1000;
// Records missing after an outage of the store are kept this long after its
// return, until live upstreams have registered again.
constexpr Duration kRecordRestoreGrace = milliseconds(2200);
// Routes whose prompts have up to this many tokens on average are served in the
// express tier.
constexpr uint32_t kExpressTokens = 1024;
// A plain upstream is given at most this many requests per slot.
constexpr uint32_t kPlainQueueFactor = 3;
// Predicted extra delay of an upstream in another availability zone.
constexpr double kCrossZoneMs = 2;
// Predicted delay per request in progress on a decode engine.
constexpr double kDelayPerRequestMs = 0.3;
// Weight of a decode engine's prefill backlog in the choice of an engine for
// generation: the backlog delays the tokens of running requests.
constexpr double kDecodeInterferenceFactor = 0.2;
// Weight of a decode engine's prefill backlog in the choice of an engine for a
// small prompt.
constexpr double kExpressInterferenceFactor = 2;
// Preference for a decode engine that already runs streams, per stream: packs
// streams onto few engines.
constexpr double kStreamPackingBonusMs = 1;
// Penalty for a long prefill on a decode engine, per stream that it delays.
constexpr double kPrefillPenaltyPerStreamMs = 25;
constexpr double kMaxCountedStreams = 12;
// Penalty for each stream whose events a prompt delays beyond the objective, as
// a fraction of the time left until the request's own objective.
constexpr double kDelayedStreamFactor = 0.25;
constexpr uint32_t kMaxDelayed = 12;
// Fraction of an engine's slots that is filled before other engines are
// preferred.  The rest allows for requests of peers that are not reported yet.
constexpr double kUsableSlotFraction = 0.75;
// Predicted wait for a slot per request beyond that fraction.
constexpr double kSlotWaitPerRequestMs = 50;
// Time of one chunk of a chunked prefill, which is not interrupted.
constexpr double kChunkMs = 8;
// Computing a shared prefix on another engine than the preferred one evicts
// cached parts there, which then have to be computed again.  Factor on the time
// of computing the prefix.
constexpr double kEvictionCostFactor = 1;
// Peers are assumed to have sent an engine work for up to this fraction of the
// time since their last heartbeats.
constexpr double kStalenessFactor = 0.3;
// Fixed overhead of a KV cache handover to another engine, besides its
// transfer.
constexpr double kKvHandoverMs = 8;
// Penalty for a long prefill on a decode engine: prefill engines compute
// faster.
constexpr double kPrefillOnDecodeMs = 10;
// Late requests are sent only to an engine with a smaller backlog than this.
constexpr double kIdleBacklogMs = 20;
// If peers send heartbeats more often than this, their reported load shows an
// overload before it fills the engines.
constexpr Duration kShortHeartbeatInterval = milliseconds(60);
// Late requests are not sent to an engine with more requests than this fraction
// of its slots.
constexpr double kLateSlotFraction = 1.0;
constexpr double kMinRetryAfterMs = 100;
constexpr double kPlainRetryAfterMs = 200;
// Fraction of an engine's KV cache that holds cached parts; running requests
// use the rest.
constexpr double kCacheFraction = 0.85;
// Quota of connections to an upstream whose limit is not known.
constexpr size_t kDefaultConnections = 50;
// Fraction of an upstream's connections that requests use; the rest is for
// probes, role orders and gateways that join or leave.
constexpr double kUsableConnectionFraction = 0.9;
// Most prompts that are recorded between two heartbeats and sent to the peers.
constexpr size_t kMaxRecentUses = 512;

// Finalizer of SplitMix64: spreads the bits of `x`.
uint64_t MixHash(uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ x >> 31;
}

// Identifies the prefix that a prompt shares with others, if any: all parts but
// the last, which is unique to the prompt.
std::optional<uint64_t> SharedPrefixKey(const Prompt& prompt) {
  if (prompt.parts.size() < 2) return std::nullopt;
  return prompt.parts[prompt.parts.size() - 2].id;
}

// Rendezvous hashing: the engine with the highest rank is preferred for the
// shared prefix `key`.
uint64_t RendezvousRank(uint64_t key, const UpstreamId& upstream) {
  return MixHash(key ^ std::hash<std::string>()(upstream.value()));
}

// Expected wait for one of the engine's slots, which streams occupy for
// seconds.
double SlotWaitMs(const UpstreamRecord& upstream, const OutstandingLoad& load) {
  const double usable = upstream.slots * kUsableSlotFraction;
  return kSlotWaitPerRequestMs * std::max(0.0, load.requests - usable);
}

// Time to transfer a prompt's KV cache within an availability zone.
double KvTransferMs(const PlacementQuery& query) {
  if (query.engine->link_bytes_per_ms <= 0) return 0;
  const double bytes =
      query.prompt->tokens * query.engine->cache_bytes_per_token;
  return bytes / query.engine->link_bytes_per_ms;
}

}  // namespace

Placer::Placer(PlacerLimits limits, OutlierEjectorLimits ejector,
               Duration peer_timeout, ZoneId own_zone)
    : limits_(limits),
      own_zone_(std::move(own_zone)),
      directory_(kRecordRestoreGrace),
      load_(peer_timeout),
      ejector_(ejector),
      peer_timeout_(peer_timeout) {}

bool Placer::Ineligible(Time now, const UpstreamRecord& upstream,
                        const std::set<UpstreamId>* excluded) const {
  if (excluded != nullptr && excluded->count(upstream.id) > 0) return true;
  if (replaced_.count(upstream.id) > 0) return true;
  if (notices_.Blocks(now, upstream)) return true;
  if (load_.Stalled(now, upstream.id, limits_.stall)) return true;
  if (load_.OwnRequests(upstream.id) >= ConnectionQuota(upstream.service)) {
    return true;
  }
  return ejector_.IsEjected(now, upstream.address) || Held(now, upstream.id);
}

size_t Placer::ConnectionQuota(const ServiceId& service) const {
  const auto it = max_connections_.find(service);
  if (it == max_connections_.end()) return kDefaultConnections;
  const double quota = kUsableConnectionFraction * it->second /
                       static_cast<double>(std::max<size_t>(gateways_, 1));
  return std::max<size_t>(1, static_cast<size_t>(quota));
}

bool Placer::Held(Time now, const UpstreamId& id) const {
  for (const auto& [source, held] : held_) {
    if (now - held.updated_at > peer_timeout_) continue;
    if (held.engines.count(id) > 0) return true;
  }
  return false;
}

void Placer::SetHeld(Time now, const std::string& source,
                     const std::set<UpstreamId>& held) {
  if (held.empty()) {
    held_.erase(source);
  } else {
    held_[source] = {now, held};
  }
}

void Placer::RecordDemand(Time now, const UpstreamRecord& upstream,
                          const PlacementQuery& query) {
  UpstreamRecord prefill;
  prefill.role = UpstreamRole::kPrefill;
  const uint32_t cached = CachedTokens(upstream, *query.prompt);
  DemandRates& rates = demands_[query.service];
  rates.prefill_ms.Add(now, speed_.ComputeMs(prefill, *query.prompt, cached));
  rates.handover_ms.Add(now, KvTransferMs(query));
}

void Placer::OnGenerationComplete(Time now, const ServiceId& service,
                                  double ms) {
  demands_[service].generating_ms.Add(now, ms);
}

std::map<ServiceId, ServiceDemand> Placer::Demands(Time now) const {
  std::map<ServiceId, ServiceDemand> demands;
  for (const auto& [service, rates] : demands_) {
    ServiceDemand& demand = demands[service];
    demand.prefill_ms_per_s = rates.prefill_ms.PerSecond(now);
    demand.handover_ms_per_s = rates.handover_ms.PerSecond(now);
    demand.generating = rates.generating_ms.PerSecond(now) / kMsPerSecond;
    const auto limit = interference_limits_.find(service);
    if (limit != interference_limits_.end()) {
      demand.decode_prefill = limit->second.Relative();
    }
  }
  return demands;
}

std::vector<EngineSnapshot> Placer::EngineSnapshots(
    Time now, const ServiceId& service) const {
  std::vector<EngineSnapshot> engines;
  for (const auto& [id, record] : directory_.records()) {
    if (record.service != service || record.draining) continue;
    const bool unhealthy = ejector_.IsEjected(now, record.address) ||
                           load_.Stalled(now, id, limits_.stall);
    engines.push_back({id, record.role, record.zone, record.slots,
                       load_.Requests(now, id), unhealthy});
  }
  return engines;
}

std::optional<Duration> Placer::TimeUntilPauseEnds(
    Time now, const std::vector<const UpstreamRecord*>& usable) const {
  std::optional<Duration> shortest;
  for (const UpstreamRecord* upstream : usable) {
    if (notices_.IsLeaving(*upstream)) continue;
    const auto paused_until = notices_.PausedUntil(now, upstream->id);
    if (!paused_until) return std::nullopt;
    shortest =
        std::min(shortest.value_or(Duration::max()), *paused_until - now);
  }
  return shortest;
}

PlacementResult Placer::PlacePlain(Time now, const ServiceId& service,
                                   const std::set<UpstreamId>& excluded) const {
  const UpstreamRecord* best = nullptr;
  double best_load = 0;
  const std::vector<const UpstreamRecord*> usable = directory_.Usable(service);
  for (const UpstreamRecord* upstream : usable) {
    if (Ineligible(now, *upstream, &excluded)) continue;
    const uint32_t requests = load_.Requests(now, upstream->id);
    const auto slots = static_cast<uint32_t>(std::max(upstream->slots, 1));
    if (requests >= slots * kPlainQueueFactor) continue;
    const double cross_zone_load = upstream->zone == own_zone_ ? 0 : 0.1;
    const double load = requests / static_cast<double>(slots) + cross_zone_load;
    if (best != nullptr && load >= best_load) continue;
    best = upstream;
    best_load = load;
  }
  PlacementResult result;
  if (best == nullptr) {
    result.reason = "no upstream has capacity";
    result.retry_after = TimeUntilPauseEnds(now, usable)
                             .value_or(FromSeconds(kPlainRetryAfterMs / 1000));
    return result;
  }
  result.placement = Placement{*best, PriorityTier::kTimely};
  return result;
}

uint32_t Placer::CachedTokens(const UpstreamRecord& upstream,
                              const Prompt& prompt) const {
  const auto cache = caches_.find(upstream.id);
  return cache == caches_.end() ? 0 : cache->second.CachedTokens(prompt);
}

std::vector<Placer::Candidate> Placer::Candidates(
    Time now, const PlacementQuery& query,
    const std::vector<const UpstreamRecord*>& usable) const {
  std::vector<Candidate> candidates;
  const Duration peer_age = load_.PeerAge(now);
  for (const UpstreamRecord* upstream : usable) {
    if (Ineligible(now, *upstream, query.excluded)) continue;
    Candidate candidate;
    candidate.upstream = upstream;
    candidate.load = load_.Total(now, upstream->id);
    candidate.cached_tokens = CachedTokens(*upstream, *query.prompt);
    candidate.cost_ms =
        speed_.ComputeMs(*upstream, *query.prompt, candidate.cached_tokens);
    candidate.penalty_ms =
        PenaltyMs(candidate, query) +
        StalenessPenaltyMs(upstream->id, query.seed, peer_age);
    candidates.push_back(candidate);
  }
  AddEvictionPenalty(*query.prompt, candidates);
  return candidates;
}

void Placer::AddEvictionPenalty(const Prompt& prompt,
                                std::vector<Candidate>& candidates) const {
  const std::optional<uint64_t> key = SharedPrefixKey(prompt);
  if (!key) return;
  // The engine of each role that is preferred for the shared prefix.
  std::map<UpstreamRole, std::pair<uint64_t, const Candidate*>> preferred;
  for (const Candidate& candidate : candidates) {
    auto& best = preferred[candidate.upstream->role];
    const uint64_t rank = RendezvousRank(*key, candidate.upstream->id);
    if (best.second == nullptr || rank > best.first) best = {rank, &candidate};
  }
  const uint32_t shared = prompt.tokens - prompt.parts.back().tokens;
  for (Candidate& candidate : candidates) {
    if (preferred[candidate.upstream->role].second == &candidate) continue;
    const double cached_cost_ms = speed_.ComputeMs(
        *candidate.upstream, prompt, std::max(candidate.cached_tokens, shared));
    candidate.penalty_ms +=
        kEvictionCostFactor * (candidate.cost_ms - cached_cost_ms);
  }
}

Placer::Estimate Placer::Predict(const Candidate& candidate,
                                 const PlacementQuery& query,
                                 PriorityTier tier) const {
  const UpstreamRecord& upstream = *candidate.upstream;
  Estimate estimate;
  estimate.prefill_end_ms = candidate.load.BacklogMs(tier) + candidate.cost_ms;
  if (upstream.zone != own_zone_) estimate.prefill_end_ms += kCrossZoneMs;
  if (tier == PriorityTier::kExpress) {
    // The prefill chunk in progress is not interrupted.
    const double others = candidate.load.BacklogMs(PriorityTier::kTimely);
    estimate.prefill_end_ms +=
        std::min(others, kChunkMs * speed_.Factor(upstream));
  }
  estimate.predicted_ms = estimate.prefill_end_ms;
  if (upstream.role == UpstreamRole::kPrefill) {
    estimate.predicted_ms += kKvHandoverMs + 2 * KvTransferMs(query);
  }
  return estimate;
}

double Placer::PenaltyMs(const Candidate& candidate,
                         const PlacementQuery& query) const {
  const UpstreamRecord& upstream = *candidate.upstream;
  if (upstream.role == UpstreamRole::kPrefill) return 0;
  const double gap_penalty_ms = GapPenaltyMs(candidate, query);
  const uint32_t express = candidate.load.express;
  if (IsExpress(query)) {
    // Prefill on the same engine delays each token of a stream, so streams are
    // packed onto engines with little prefill work.
    return gap_penalty_ms +
           kExpressInterferenceFactor *
               candidate.load.BacklogMs(PriorityTier::kLate) -
           kStreamPackingBonusMs *
               std::min<double>(express, upstream.slots / 2.0) +
           SlotWaitMs(upstream, candidate.load);
  }
  return gap_penalty_ms + kPrefillOnDecodeMs +
         kPrefillPenaltyPerStreamMs *
             std::min<double>(express, kMaxCountedStreams) +
         kDelayPerRequestMs * candidate.load.requests;
}

double Placer::GapPenaltyMs(const Candidate& candidate,
                            const PlacementQuery& query) const {
  const auto limit = interference_limits_.find(query.service);
  if (limit == interference_limits_.end() || query.event_gap_ms <= 0) return 0;
  const double prefill_ms =
      candidate.load.BacklogMs(PriorityTier::kLate) + candidate.cost_ms;
  if (prefill_ms <= limit->second.MaxPrefillMs(query.event_gap_ms)) return 0;
  const double delayed = std::min(candidate.load.generating, kMaxDelayed);
  return delayed * kDelayedStreamFactor *
         std::max(0.0, query.objective_left_ms);
}

double Placer::StalenessPenaltyMs(const UpstreamId& upstream, uint64_t seed,
                                  Duration peer_age) {
  const uint64_t hash =
      MixHash(seed ^ std::hash<std::string>()(upstream.value()));
  const double uniform =
      static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
  return uniform * kStalenessFactor * ToMillis(peer_age);
}

std::optional<Placement> Placer::BestCandidate(
    const std::vector<Candidate>& candidates, const PlacementQuery& query,
    PriorityTier tier) const {
  const Candidate* best = nullptr;
  Estimate best_estimate;
  double best_score = 0;
  for (const Candidate& candidate : candidates) {
    const UpstreamRecord& upstream = *candidate.upstream;
    const bool single_engine =
        tier == PriorityTier::kExpress || query.single_engine_only;
    if (single_engine && upstream.role == UpstreamRole::kPrefill) continue;
    if (tier == PriorityTier::kLate &&
        candidate.load.requests > upstream.slots * kLateSlotFraction) {
      continue;
    }
    const Estimate estimate = Predict(candidate, query, tier);
    const double score = estimate.predicted_ms + candidate.penalty_ms;
    if (best != nullptr && score >= best_score) continue;
    best = &candidate;
    best_estimate = estimate;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  Placement placement;
  placement.upstream = *best->upstream;
  placement.tier = tier;
  placement.prefill_only = best->upstream->role == UpstreamRole::kPrefill;
  placement.cost_ms = best->cost_ms;
  placement.prefill_end_ms = best_estimate.prefill_end_ms;
  placement.predicted_ms = best_estimate.predicted_ms;
  return placement;
}

PlacementResult Placer::PlacePrompt(Time now, const PlacementQuery& query) {
  PlacementResult result;
  AdmissionBudget& budget = admission_budgets_[query.service];
  const auto usable = directory_.Usable(query.service);
  budget.Refill(now, usable.size(), gateways_);
  SizeFairness& fairness = size_fairness_[query.route];
  const uint32_t tokens = query.prompt->tokens;
  if (query.first_attempt) fairness.OnArrival(tokens);
  const bool express = IsExpress(query);
  const PriorityTier first_tier =
      express ? PriorityTier::kExpress : PriorityTier::kTimely;
  const std::vector<Candidate> candidates = Candidates(now, query, usable);
  const std::optional<Placement> timely =
      BestCandidate(candidates, query, first_tier);
  const double objective_bound_ms =
      query.objective_left_ms * limits_.objective_fraction;
  const double deadline_bound_ms =
      query.deadline_left_ms * limits_.deadline_fraction;
  // A small prompt delays other requests little, so it may miss its objective.
  const bool may_be_late =
      express || (query.first_attempt && fairness.IsUnderserved(tokens));
  const double first_bound_ms =
      may_be_late ? deadline_bound_ms : objective_bound_ms;
  // With frequent heartbeats the reported backlog itself shows what the engines
  // can take, so the admission budget does not apply.
  const bool frequent_heartbeats =
      load_.HeartbeatInterval(now) < kShortHeartbeatInterval;
  const bool within_budget =
      express || query.resumed || frequent_heartbeats || budget.HasBudget();
  const bool meets_bound =
      query.resumed || (timely && timely->predicted_ms <= first_bound_ms);
  if (timely && within_budget && meets_bound) {
    if (query.first_attempt) fairness.OnDecision(tokens, true);
    result.placement = timely;
    result.placement->prefill_limit_ms =
        query.objective_left_ms -
        (timely->predicted_ms - timely->prefill_end_ms);
    return result;
  }
  const std::optional<Placement> late =
      BestCandidate(candidates, query, PriorityTier::kLate);
  const bool idle =
      late && load_.BacklogMs(now, late->upstream.id, PriorityTier::kLate) <
                  kIdleBacklogMs;
  if (idle && within_budget && late->predicted_ms <= deadline_bound_ms) {
    if (query.first_attempt) fairness.OnDecision(tokens, true);
    result.placement = late;
    return result;
  }
  if (query.first_attempt) fairness.OnDecision(tokens, false);
  budget.OnRefused(now);
  // Refused prompts are demand as well: roles change until they are served.
  if (timely) RecordDemand(now, timely->upstream, query);
  result.reason =
      timely || late ? "predicted after the deadline" : "no upstream available";
  const double excess_ms =
      late ? late->predicted_ms - deadline_bound_ms : kPlainRetryAfterMs;
  result.retry_after =
      FromSeconds(std::max(excess_ms, kMinRetryAfterMs) / 1000);
  if (!timely && !late) {
    result.retry_after =
        std::max(result.retry_after,
                 TimeUntilPauseEnds(now, usable).value_or(Duration::zero()));
  }
  return result;
}

bool Placer::IsExpress(const PlacementQuery& query) const {
  const auto fairness = size_fairness_.find(query.route);
  const double mean_tokens =
      fairness == size_fairness_.end() ? 0 : fairness->second.MeanTokens();
  if (mean_tokens > 0) return mean_tokens <= kExpressTokens;
  return query.prompt->tokens <= kExpressTokens;
}

const UpstreamRecord* Placer::BestDecodeEngine(Time now,
                                               const PlacementQuery& query,
                                               const UpstreamRecord& source,
                                               bool include_ineligible) const {
  const UpstreamRecord* best = nullptr;
  double best_score = 0;
  const Duration peer_age = load_.PeerAge(now);
  for (const UpstreamRecord* upstream : directory_.Usable(query.service)) {
    if (upstream->role != UpstreamRole::kDecode) continue;
    if (query.excluded->count(upstream->id) > 0) continue;
    if (notices_.Blocks(now, *upstream)) continue;
    if (!include_ineligible && Ineligible(now, *upstream, nullptr)) continue;
    const double cross_zone_ms =
        upstream->zone == source.zone ? 0 : kCrossZoneMs;
    const OutstandingLoad load = load_.Total(now, upstream->id);
    const double score =
        cross_zone_ms + kDelayPerRequestMs * load.requests +
        kDecodeInterferenceFactor * load.BacklogMs(PriorityTier::kTimely) +
        SlotWaitMs(*upstream, load) +
        StalenessPenaltyMs(upstream->id, query.seed, peer_age);
    if (best != nullptr && score >= best_score) continue;
    best = upstream;
    best_score = score;
  }
  return best;
}

PlacementResult Placer::PlaceGeneration(Time now, const PlacementQuery& query,
                                        const UpstreamRecord& source) const {
  PlacementResult result;
  // The prompt is already computed, so an ineligible engine is better than
  // none.
  const UpstreamRecord* best = BestDecodeEngine(now, query, source, false);
  if (best == nullptr) best = BestDecodeEngine(now, query, source, true);
  if (best == nullptr) {
    result.reason = "no decode engine available";
    return result;
  }
  result.placement = Placement{*best, PriorityTier::kTimely};
  return result;
}

DispatchId Placer::OnDispatch(Time now, const Placement& placement,
                              const PlacementQuery* query) {
  if (query != nullptr && placement.cost_ms > 0) {
    cache_tokens_[query->service] = query->engine->cache_tokens;
    RecordDemand(now, placement.upstream, *query);
    if (placement.tier != PriorityTier::kExpress) {
      admission_budgets_[query->service].Spend(placement.cost_ms);
    }
    RecordCacheUse(placement.upstream.id, query->prompt->parts);
    if (recent_uses_.size() < kMaxRecentUses) {
      recent_uses_.push_back({placement.upstream.id, query->prompt->parts});
    }
  }
  return load_.OnDispatch(now, placement.upstream.id, placement.tier,
                          placement.cost_ms, placement.prefill_end_ms);
}

void Placer::RecordCacheUse(const UpstreamId& upstream,
                            const std::vector<PromptPart>& parts) {
  const UpstreamRecord* record = directory_.Find(upstream);
  if (record == nullptr) return;
  const auto tokens = cache_tokens_.find(record->service);
  if (tokens == cache_tokens_.end()) return;
  const auto capacity = static_cast<uint64_t>(
      static_cast<double>(tokens->second) * kCacheFraction);
  caches_.try_emplace(upstream, capacity).first->second.Use(parts);
}

void Placer::OnPeerUse(const PromptUse& use) {
  RecordCacheUse(use.upstream, use.parts);
}

std::vector<PromptUse> Placer::TakeRecentUses() {
  return std::exchange(recent_uses_, {});
}

void Placer::OnPrefillComplete(Time now, const Placement& placement,
                               DispatchId id, double observed_ms) {
  load_.OnPrefillComplete(now, placement.upstream.id, id);
  if (placement.tier == PriorityTier::kLate) return;
  const auto budget = admission_budgets_.find(placement.upstream.service);
  // A prompt whose limit was hardly above its cost does not show whether the
  // engines are overloaded.
  const bool informative = placement.tier == PriorityTier::kTimely &&
                           placement.prefill_limit_ms > 2 * placement.cost_ms;
  if (informative && budget != admission_budgets_.end()) {
    budget->second.OnPrefillComplete(now,
                                     observed_ms / placement.prefill_limit_ms);
  }
  speed_.Observe(placement.upstream, placement.prefill_end_ms, observed_ms);
}

void Placer::OnEnd(Time now, const Placement& placement, DispatchId id) {
  load_.OnEnd(now, placement.upstream.id, id);
}

void Placer::OnFailure(Time now, const UpstreamRecord& upstream) {
  ejector_.OnFailure(now, upstream.address,
                     directory_.Usable(upstream.service).size());
}

void Placer::OnUnreachable(Time now, const UpstreamRecord& upstream) {
  ejector_.OnUnreachable(now, upstream.address);
}

void Placer::OnSuccess(const UpstreamRecord& upstream) {
  ejector_.OnSuccess(upstream.address);
}

void Placer::Prune() {
  const auto gone = [this](const UpstreamId& id) {
    return directory_.Find(id) == nullptr;
  };
  std::erase_if(caches_, [&](const auto& entry) { return gone(entry.first); });
  std::erase_if(replaced_, gone);
  speed_.ForgetIf(gone);
  notices_.ForgetIf(gone);
  const std::set<Address> present = directory_.Addresses();
  ejector_.ForgetIf(
      [&](const Address& address) { return present.count(address) == 0; });
  load_.ForgetIf(gone);
}

}  // namespace corianderlink
