// Placement of requests on upstreams.
#include "corianderlink/Gateway/placer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corianderlink {
namespace {

constexpr double kMsPerSecond = 1000;
// A record that vanished around an outage of the store is kept this long.
constexpr Duration kRestoreTime = milliseconds(2200);
// Prompts of up to this many uncached tokens go ahead of others.
constexpr uint32_t kExpressTokens = 1024;
// A plain upstream holds at most this many times its slots.
constexpr uint32_t kPlainQueueFactor = 3;
// Predicted delay of an upstream in another zone.
constexpr double kOtherZoneMs = 2;
// Predicted delay for each request in progress on a decode engine.
constexpr double kPerRequestMs = 0.3;
// Waiting work of other tiers delays the tokens of a running request.
constexpr double kInterferenceShare = 0.2;
constexpr double kExpressInterference = 2;
// Preference for a decode engine that already has streams, for each of them.
constexpr double kGatherMs = 1;
// Cost of computing a prompt beside streams, for each of them.
constexpr double kBesideStreamsMs = 25;
constexpr double kMostStreamsCounted = 12;
// Share of an engine's slots that is filled before others are preferred: peers
// fill some before this is known.
constexpr double kUsableSlots = 0.75;
// Predicted delay for each request beyond that.
constexpr double kOverSlotsMs = 50;
// A piece of a prompt that an engine computes at once.
constexpr double kChunkMs = 8;
// Parts that are read at another engine than their home's displace parts that
// will be read again there; share of the time that this costs.
constexpr double kDisplacementShare = 1;
// Work that peers may have sent to an engine for each time since they were
// heard.
constexpr double kUnseenShare = 0.3;
// Handing a computed prompt to another engine, besides its transfer.
constexpr double kHandoverMs = 8;
// Preference for a prefill engine, which computes faster for all.
constexpr double kWholeOnDecodeMs = 10;
// An engine with less waiting work has room for late requests.
constexpr double kIdleBacklogMs = 20;
// More frequent news of the peers show a flood before it fills the engines.
constexpr Duration kFrequentNews = milliseconds(60);
// Late requests on one engine, as a share of its slots.
constexpr double kLateShare = 1.0;
constexpr double kShortestRetryAfterMs = 100;
constexpr double kPlainRetryAfterMs = 200;
// Share of an engine's memory that holds parts; the rest is in use by running
// requests.
constexpr double kCacheShare = 0.85;
// Connections to an upstream whose limit is not known.
constexpr size_t kDefaultConnections = 50;
// The rest is for probes, orders and gateways that come and go.
constexpr double kUsableConnections = 0.9;
// Prompts kept for the peers between two heartbeats.
constexpr size_t kMaxRecentUses = 512;

// Finalizer of SplitMix64: spreads the bits of `x`.
uint64_t MixHash(uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ x >> 31;
}

// Identifies the parts of a prompt that other prompts share, if it has any: the
// last part is its own.
std::optional<uint64_t> SharedPartsKey(const Prompt& prompt) {
  if (prompt.parts.size() < 2) return std::nullopt;
  return prompt.parts[prompt.parts.size() - 2].id;
}

// The engine of the highest rank is the home of the shared parts.
uint64_t HomeRank(uint64_t key, const UpstreamId& upstream) {
  return MixHash(key ^ std::hash<std::string>()(upstream.value()));
}

// Expected wait for one of the engine's slots, which streams hold for seconds.
double SlotWaitMs(const UpstreamRecord& upstream, const LoadShare& load) {
  const double usable = upstream.slots * kUsableSlots;
  return kOverSlotsMs * std::max(0.0, load.requests - usable);
}

// Time to move a prompt's memory within a zone.
double TransferMs(const PlacementQuery& query) {
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
      directory_(kRestoreTime),
      load_(peer_timeout),
      ejector_(ejector),
      peer_timeout_(peer_timeout) {}

bool Placer::Avoided(Time now, const UpstreamRecord& upstream,
                     const std::set<UpstreamId>* excluded) const {
  if (excluded != nullptr && excluded->count(upstream.id) > 0) return true;
  if (replaced_.count(upstream.id) > 0) return true;
  if (load_.Stalled(now, upstream.id, limits_.stall)) return true;
  if (load_.OwnRequests(upstream.id) >= ConnectionShare(upstream.service)) {
    return true;
  }
  return ejector_.IsEjected(now, upstream.address) || Held(now, upstream.id);
}

size_t Placer::ConnectionShare(const ServiceId& service) const {
  const auto it = max_connections_.find(service);
  if (it == max_connections_.end()) return kDefaultConnections;
  const double share = kUsableConnections * it->second /
                       static_cast<double>(std::max<size_t>(gateways_, 1));
  return std::max<size_t>(1, static_cast<size_t>(share));
}

bool Placer::Held(Time now, const UpstreamId& id) const {
  for (const auto& [source, held] : held_) {
    if (now - held.heard > peer_timeout_) continue;
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

void Placer::CountDemand(Time now, const Placement& placement,
                         const PlacementQuery& query) {
  UpstreamRecord prefill;
  prefill.role = UpstreamRole::kPrefill;
  const uint32_t cached = CachedTokens(placement.upstream, *query.prompt);
  DemandRates& rates = demands_[query.service];
  rates.prefill_ms.Add(now, speed_.ComputeMs(prefill, *query.prompt, cached));
  rates.handover_ms.Add(now, TransferMs(query));
}

void Placer::OnGenerated(Time now, const ServiceId& service, double ms) {
  demands_[service].generating_ms.Add(now, ms);
}

std::map<ServiceId, MixDemand> Placer::Demands(Time now) const {
  std::map<ServiceId, MixDemand> demands;
  for (const auto& [service, rates] : demands_) {
    MixDemand& demand = demands[service];
    demand.prefill_ms_per_s = rates.prefill_ms.PerSecond(now);
    demand.handover_ms_per_s = rates.handover_ms.PerSecond(now);
    demand.generating = rates.generating_ms.PerSecond(now) / kMsPerSecond;
  }
  return demands;
}

std::vector<PlannedEngine> Placer::PlannedEngines(
    Time now, const ServiceId& service) const {
  std::vector<PlannedEngine> engines;
  for (const auto& [id, record] : directory_.records()) {
    if (record.service != service || record.draining) continue;
    const bool in_trouble = ejector_.IsEjected(now, record.address) ||
                            load_.Stalled(now, id, limits_.stall);
    engines.push_back({id, record.role, record.zone, record.slots,
                       load_.Requests(now, id), in_trouble});
  }
  return engines;
}

PlacementResult Placer::PlacePlain(Time now, const ServiceId& service,
                                   const std::set<UpstreamId>& excluded) const {
  const UpstreamRecord* best = nullptr;
  double best_load = 0;
  for (const UpstreamRecord* upstream : directory_.Usable(service)) {
    if (Avoided(now, *upstream, &excluded)) continue;
    const uint32_t requests = load_.Requests(now, upstream->id);
    const auto slots = static_cast<uint32_t>(std::max(upstream->slots, 1));
    if (requests >= slots * kPlainQueueFactor) continue;
    const double away = upstream->zone == own_zone_ ? 0 : 0.1;
    const double load = requests / static_cast<double>(slots) + away;
    if (best != nullptr && load >= best_load) continue;
    best = upstream;
    best_load = load;
  }
  PlacementResult result;
  if (best == nullptr) {
    result.reason = "no upstream has room";
    result.retry_after = FromSeconds(kPlainRetryAfterMs / 1000);
    return result;
  }
  result.placement = Placement{*best, WorkTier::kTimely, false, 0, 0, 0};
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
    if (Avoided(now, *upstream, query.excluded)) continue;
    Candidate candidate;
    candidate.upstream = upstream;
    candidate.load = load_.Total(now, upstream->id);
    candidate.cached_tokens = CachedTokens(*upstream, *query.prompt);
    candidate.cost_ms =
        speed_.ComputeMs(*upstream, *query.prompt, candidate.cached_tokens);
    candidate.reluctance_ms = Reluctance(candidate, query) +
                              Unseen(upstream->id, query.seed, peer_age);
    candidates.push_back(candidate);
  }
  AddDisplacement(*query.prompt, candidates);
  return candidates;
}

void Placer::AddDisplacement(const Prompt& prompt,
                             std::vector<Candidate>& candidates) const {
  const std::optional<uint64_t> key = SharedPartsKey(prompt);
  if (!key) return;
  // The engine of each role that is the parts' home.
  std::map<UpstreamRole, std::pair<uint64_t, const Candidate*>> homes;
  for (const Candidate& candidate : candidates) {
    auto& home = homes[candidate.upstream->role];
    const uint64_t rank = HomeRank(*key, candidate.upstream->id);
    if (home.second == nullptr || rank > home.first) home = {rank, &candidate};
  }
  const uint32_t shared = prompt.tokens - prompt.parts.back().tokens;
  for (Candidate& candidate : candidates) {
    if (homes[candidate.upstream->role].second == &candidate) continue;
    const double held_ms = speed_.ComputeMs(
        *candidate.upstream, prompt, std::max(candidate.cached_tokens, shared));
    candidate.reluctance_ms +=
        kDisplacementShare * (candidate.cost_ms - held_ms);
  }
}

Placer::Estimate Placer::Predict(const Candidate& candidate,
                                 const PlacementQuery& query,
                                 WorkTier tier) const {
  const UpstreamRecord& upstream = *candidate.upstream;
  Estimate estimate;
  estimate.computed_ms = candidate.load.BacklogMs(tier) + candidate.cost_ms;
  if (upstream.zone != own_zone_) estimate.computed_ms += kOtherZoneMs;
  if (tier == WorkTier::kExpress) {
    // The chunk that is being computed is not interrupted.
    const double others = candidate.load.BacklogMs(WorkTier::kTimely);
    estimate.computed_ms +=
        std::min(others, kChunkMs * speed_.Factor(upstream));
  }
  estimate.predicted_ms = estimate.computed_ms;
  if (upstream.role == UpstreamRole::kPrefill) {
    estimate.predicted_ms += kHandoverMs + 2 * TransferMs(query);
  }
  return estimate;
}

double Placer::Reluctance(const Candidate& candidate,
                          const PlacementQuery& query) {
  const UpstreamRecord& upstream = *candidate.upstream;
  if (upstream.role == UpstreamRole::kPrefill) return 0;
  const uint32_t express = candidate.load.express;
  if (query.prompt->tokens <= kExpressTokens) {
    // Prompts computed beside a stream delay each of its tokens, so streams
    // are gathered where few prompts are computed.
    return kExpressInterference * candidate.load.BacklogMs(WorkTier::kLate) -
           kGatherMs * std::min<double>(express, upstream.slots / 2.0) +
           SlotWaitMs(upstream, candidate.load);
  }
  return kWholeOnDecodeMs +
         kBesideStreamsMs * std::min<double>(express, kMostStreamsCounted) +
         kPerRequestMs * candidate.load.requests;
}

double Placer::Unseen(const UpstreamId& upstream, uint64_t seed,
                      Duration peer_age) {
  const uint64_t hash =
      MixHash(seed ^ std::hash<std::string>()(upstream.value()));
  const double uniform =
      static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
  return uniform * kUnseenShare * ToMillis(peer_age);
}

std::optional<Placement> Placer::Best(const std::vector<Candidate>& candidates,
                                      const PlacementQuery& query,
                                      WorkTier tier) const {
  const Candidate* best = nullptr;
  Estimate best_estimate;
  double best_score = 0;
  for (const Candidate& candidate : candidates) {
    const UpstreamRecord& upstream = *candidate.upstream;
    const bool whole = tier == WorkTier::kExpress || query.whole_only;
    if (whole && upstream.role == UpstreamRole::kPrefill) continue;
    if (tier == WorkTier::kLate &&
        candidate.load.requests > upstream.slots * kLateShare) {
      continue;
    }
    const Estimate estimate = Predict(candidate, query, tier);
    const double score = estimate.predicted_ms + candidate.reluctance_ms;
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
  placement.computed_ms = best_estimate.computed_ms;
  placement.predicted_ms = best_estimate.predicted_ms;
  return placement;
}

PlacementResult Placer::PlacePrompt(Time now, const PlacementQuery& query) {
  PlacementResult result;
  AdmissionShare& share = shares_[query.service];
  const auto usable = directory_.Usable(query.service);
  share.Earn(now, usable.size(), gateways_);
  const bool express = query.prompt->tokens <= kExpressTokens;
  const WorkTier first = express ? WorkTier::kExpress : WorkTier::kTimely;
  const std::vector<Candidate> candidates = Candidates(now, query, usable);
  const std::optional<Placement> timely = Best(candidates, query, first);
  const double bound_ms = query.objective_left_ms * limits_.objective_share;
  const double late_bound_ms = query.deadline_left_ms * limits_.deadline_share;
  // A small prompt costs the others little, also when it is late.
  const double first_bound_ms = express ? late_bound_ms : bound_ms;
  // With frequent news of the peers the backlog itself says what fits.
  const bool frequent = load_.NewsInterval(now) < kFrequentNews;
  const bool allowed = express || query.resumed || frequent || share.Allows();
  const bool in_time =
      query.resumed || (timely && timely->predicted_ms <= first_bound_ms);
  if (timely && allowed && in_time) {
    result.placement = timely;
    result.placement->allowed_ms =
        query.objective_left_ms - (timely->predicted_ms - timely->computed_ms);
    return result;
  }
  const std::optional<Placement> late =
      Best(candidates, query, WorkTier::kLate);
  const bool idle = late && load_.BacklogMs(now, late->upstream.id,
                                            WorkTier::kLate) < kIdleBacklogMs;
  if (idle && allowed && late->predicted_ms <= late_bound_ms) {
    result.placement = late;
    return result;
  }
  share.OnRefused(now);
  result.reason =
      timely || late ? "predicted after the deadline" : "no upstream available";
  const double excess_ms =
      late ? late->predicted_ms - late_bound_ms : kPlainRetryAfterMs;
  result.retry_after =
      FromSeconds(std::max(excess_ms, kShortestRetryAfterMs) / 1000);
  return result;
}

const UpstreamRecord* Placer::BestGenerator(Time now,
                                            const PlacementQuery& query,
                                            const UpstreamRecord& source,
                                            bool also_troubled) const {
  const UpstreamRecord* best = nullptr;
  double best_score = 0;
  const Duration peer_age = load_.PeerAge(now);
  for (const UpstreamRecord* upstream : directory_.Usable(query.service)) {
    if (upstream->role != UpstreamRole::kDecode) continue;
    if (query.excluded->count(upstream->id) > 0) continue;
    if (!also_troubled && Avoided(now, *upstream, nullptr)) continue;
    const double away = upstream->zone == source.zone ? 0 : kOtherZoneMs;
    const LoadShare load = load_.Total(now, upstream->id);
    const double score =
        away + kPerRequestMs * load.requests +
        kInterferenceShare * load.BacklogMs(WorkTier::kTimely) +
        SlotWaitMs(*upstream, load) +
        Unseen(upstream->id, query.seed, peer_age);
    if (best != nullptr && score >= best_score) continue;
    best = upstream;
    best_score = score;
  }
  return best;
}

PlacementResult Placer::PlaceGeneration(Time now, const PlacementQuery& query,
                                        const UpstreamRecord& source) const {
  PlacementResult result;
  // The prompt is computed already, so an engine in doubt is better than none.
  const UpstreamRecord* best = BestGenerator(now, query, source, false);
  if (best == nullptr) best = BestGenerator(now, query, source, true);
  if (best == nullptr) {
    result.reason = "no decode engine available";
    return result;
  }
  result.placement = Placement{*best, WorkTier::kTimely, false, 0, 0, 0};
  return result;
}

DispatchId Placer::OnDispatch(Time now, const Placement& placement,
                              const PlacementQuery* query) {
  if (query != nullptr && placement.cost_ms > 0) {
    cache_tokens_[query->service] = query->engine->cache_tokens;
    CountDemand(now, placement, *query);
    if (placement.tier != WorkTier::kExpress) {
      shares_[query->service].Spend(placement.cost_ms);
    }
    UseCache(placement.upstream.id, query->prompt->parts);
    if (recent_uses_.size() < kMaxRecentUses) {
      recent_uses_.push_back({placement.upstream.id, query->prompt->parts});
    }
  }
  return load_.OnDispatch(now, placement.upstream.id, placement.tier,
                          placement.cost_ms);
}

void Placer::UseCache(const UpstreamId& upstream,
                      const std::vector<PromptPart>& parts) {
  const UpstreamRecord* record = directory_.Find(upstream);
  if (record == nullptr) return;
  const auto tokens = cache_tokens_.find(record->service);
  if (tokens == cache_tokens_.end()) return;
  const auto capacity =
      static_cast<uint64_t>(static_cast<double>(tokens->second) * kCacheShare);
  caches_.try_emplace(upstream, capacity).first->second.Use(parts);
}

void Placer::OnPeerUse(const PromptUse& use) {
  UseCache(use.upstream, use.parts);
}

std::vector<PromptUse> Placer::TakeRecentUses() {
  return std::exchange(recent_uses_, {});
}

void Placer::OnComputed(Time now, const Placement& placement, DispatchId id,
                        double observed_ms) {
  load_.OnComputed(now, placement.upstream.id, id);
  if (placement.tier == WorkTier::kLate) return;
  const auto share = shares_.find(placement.upstream.service);
  // One that was close to its objective from the start tells nothing.
  const bool telling = placement.tier == WorkTier::kTimely &&
                       placement.allowed_ms > 2 * placement.cost_ms;
  if (telling && share != shares_.end()) {
    share->second.OnComputed(now, observed_ms / placement.allowed_ms);
  }
  speed_.Observe(placement.upstream, placement.computed_ms, observed_ms);
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
  const std::set<Address> present = directory_.Addresses();
  ejector_.ForgetIf(
      [&](const Address& address) { return present.count(address) == 0; });
  load_.ForgetIf(gone);
}

}  // namespace corianderlink
