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
// A plain upstream is given at most this many requests per slot.
constexpr uint32_t kPlainQueueFactor = 3;
// Late requests are sent only to an engine with a smaller backlog than this.
constexpr double kIdleBacklogMs = 20;
// If peers send heartbeats more often than this, their reported load shows an
// overload before it fills the engines.
constexpr Duration kShortHeartbeatInterval = milliseconds(60);
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
// An upstream that a sample does not reach is ejected for this long; the next
// samples renew it, so that no request has to find out.
constexpr Duration kSampledEjectionTime = seconds(3);
// Most prompts that are recorded between two heartbeats and sent to the peers.
constexpr size_t kMaxRecentUses = 512;

}  // namespace

Placer::Placer(PlacerLimits limits, OutlierEjectorLimits ejector,
               Duration peer_timeout, ZoneId own_zone, RandomSource& random)
    : limits_(limits),
      own_zone_(std::move(own_zone)),
      directory_(kRecordRestoreGrace),
      load_(peer_timeout),
      ejector_(ejector),
      rate_limiter_(random),
      peer_timeout_(peer_timeout) {}

bool Placer::Ineligible(Time now, const UpstreamRecord& upstream,
                        const std::set<UpstreamId>* excluded,
                        const RateLimitQuery& rate_limit) const {
  if (excluded != nullptr && excluded->count(upstream.id) > 0) return true;
  if (replaced_.count(upstream.id) > 0) return true;
  if (notices_.Blocks(now, upstream)) return true;
  if (rate_limiter_.Blocks(now, upstream, rate_limit)) return true;
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
    engines.push_back({id, record.role, record.zone, record.version,
                       record.slots, load_.Requests(now, id), unhealthy});
  }
  return engines;
}

Placer::ServiceHealth Placer::HealthOf(Time now,
                                       const ServiceId& service) const {
  ServiceHealth health;
  for (const UpstreamRecord* upstream : directory_.Usable(service)) {
    ++health.usable;
    if (ejector_.IsEjected(now, upstream->address)) ++health.ejected;
  }
  return health;
}

std::optional<Duration> Placer::TimeUntilPauseEnds(
    Time now, const std::vector<const UpstreamRecord*>& usable,
    const RateLimitQuery& rate_limit) const {
  std::optional<Duration> shortest;
  for (const UpstreamRecord* upstream : usable) {
    if (notices_.IsLeaving(*upstream)) continue;
    auto until = notices_.PausedUntil(now, upstream->id);
    if (!until) {
      until =
          rate_limiter_.BlockedUntil(now, upstream->id, rate_limit.priority);
    }
    if (!until) return std::nullopt;
    shortest = std::min(shortest.value_or(Duration::max()), *until - now);
  }
  return shortest;
}

PlacementResult Placer::PlacePlain(Time now, const ServiceId& service,
                                   const std::set<UpstreamId>& excluded,
                                   const RateLimitQuery& rate_limit,
                                   const VersionConstraint& versions) const {
  const UpstreamRecord* best = nullptr;
  double best_load = 0;
  const std::vector<const UpstreamRecord*> usable = directory_.Usable(service);
  for (const UpstreamRecord* upstream : usable) {
    if (!versions.Permits(*upstream)) continue;
    if (Ineligible(now, *upstream, &excluded, rate_limit)) continue;
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
    result.retry_after = TimeUntilPauseEnds(now, usable, rate_limit)
                             .value_or(FromSeconds(kPlainRetryAfterMs / 1000));
    return result;
  }
  result.placement = Placement{*best, PriorityTier::kTimely};
  return result;
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
  // So may a large one if too many of its size were refused.
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
    result.retry_after = std::max(
        result.retry_after, TimeUntilPauseEnds(now, usable, query.rate_limit)
                                .value_or(Duration::zero()));
  }
  return result;
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

void Placer::OnSample(Time now, const ConnectionSample& sample) {
  for (const Address& upstream : sample.failed) {
    ejector_.EjectUntil(now + kSampledEjectionTime, upstream);
  }
  for (const Address& upstream : sample.established) {
    ejector_.OnReachable(upstream);
  }
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
  rate_limiter_.ForgetIf(gone);
  const std::set<Address> present = directory_.Addresses();
  ejector_.ForgetIf(
      [&](const Address& address) { return present.count(address) == 0; });
  load_.ForgetIf(gone);
}

}  // namespace corianderlink
