// Placing requests: estimates and compares the upstreams that may take one.
#include <algorithm>
#include <cmath>
#include <utility>

#include "corianderlink/Gateway/placer.h"
#include "corianderlink/Support/hash.h"

namespace corianderlink {
namespace {

// Routes whose prompts have up to this many tokens on average are served in the
// express tier.
constexpr uint32_t kExpressTokens = 1024;
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
// Late requests are not sent to an engine with more requests than this fraction
// of its slots.
constexpr double kLateSlotFraction = 1.0;

// Identifies the prefix that a prompt shares with others, if any: all parts but
// the last, which is unique to the prompt.
std::optional<uint64_t> SharedPrefixKey(const Prompt& prompt) {
  if (prompt.parts.size() < 2) return std::nullopt;
  return prompt.parts[prompt.parts.size() - 2].id;
}

// Rendezvous hashing: the engine with the highest rank is preferred for the
// shared prefix `key`.
uint64_t RendezvousRank(uint64_t key, const UpstreamId& upstream) {
  return MixBits(key ^ std::hash<std::string>()(upstream.value()));
}

// Expected wait for one of the engine's slots, which streams occupy for
// seconds.
double SlotWaitMs(const UpstreamRecord& upstream, const OutstandingLoad& load) {
  const double usable = upstream.slots * kUsableSlotFraction;
  return kSlotWaitPerRequestMs * std::max(0.0, load.requests - usable);
}

}  // namespace

double Placer::KvTransferMs(const PlacementQuery& query) {
  if (query.engine->link_bytes_per_ms <= 0) return 0;
  const double bytes =
      query.prompt->tokens * query.engine->cache_bytes_per_token;
  return bytes / query.engine->link_bytes_per_ms;
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
  if (!query.versions.empty() && !HasDecodeEngine(query)) return candidates;
  for (const UpstreamRecord* upstream : usable) {
    // What a prefill engine computes goes to an engine of a permitted version.
    const bool answers = upstream->role != UpstreamRole::kPrefill;
    if (answers && !query.versions.Permits(*upstream)) continue;
    if (Ineligible(now, *upstream, query.excluded, query.rate_limit)) {
      continue;
    }
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

bool Placer::HasDecodeEngine(const PlacementQuery& query) const {
  const auto usable = directory_.Usable(query.service);
  return std::any_of(usable.begin(), usable.end(), [&](const auto* upstream) {
    return upstream->role != UpstreamRole::kPrefill &&
           query.versions.Permits(*upstream);
  });
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
      MixBits(seed ^ std::hash<std::string>()(upstream.value()));
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

const UpstreamRecord* Placer::BestDecodeEngine(Time now,
                                               const PlacementQuery& query,
                                               const UpstreamRecord& source,
                                               bool include_ineligible) const {
  const UpstreamRecord* best = nullptr;
  double best_score = 0;
  const Duration peer_age = load_.PeerAge(now);
  for (const UpstreamRecord* upstream : directory_.Usable(query.service)) {
    if (upstream->role != UpstreamRole::kDecode) continue;
    if (!query.versions.Permits(*upstream)) continue;
    if (query.excluded->count(upstream->id) > 0) continue;
    if (notices_.Blocks(now, *upstream)) continue;
    if (rate_limiter_.Blocks(now, *upstream, query.rate_limit)) continue;
    if (!include_ineligible &&
        Ineligible(now, *upstream, nullptr, query.rate_limit)) {
      continue;
    }
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

bool Placer::IsExpress(const PlacementQuery& query) const {
  const auto fairness = size_fairness_.find(query.route);
  const double mean_tokens =
      fairness == size_fairness_.end() ? 0 : fairness->second.MeanTokens();
  if (mean_tokens > 0) return mean_tokens <= kExpressTokens;
  return query.prompt->tokens <= kExpressTokens;
}

}  // namespace corianderlink
