// Chooses the upstream for a request, or refuses the request at once.
//
// Keeps a fixed fleet useful under overload.  Each request goes to the upstream
// with the earliest predicted first token.  A request that cannot meet its
// latency objective is queued behind those that can, and one that would miss
// its deadline is refused with the time after which the client should retry.
#ifndef CORIANDERLINK_GATEWAY_PLACER_H_
#define CORIANDERLINK_GATEWAY_PLACER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "corianderlink/Gateway/admission_budget.h"
#include "corianderlink/Gateway/decaying_rate.h"
#include "corianderlink/Gateway/fleet_rate_limiter.h"
#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/interference_limit.h"
#include "corianderlink/Gateway/prefix_cache_model.h"
#include "corianderlink/Gateway/prompt.h"
#include "corianderlink/Gateway/role_planner.h"
#include "corianderlink/Gateway/size_fairness.h"
#include "corianderlink/Gateway/speed_model.h"
#include "corianderlink/Gateway/upstream_directory.h"
#include "corianderlink/Gateway/upstream_load.h"
#include "corianderlink/Gateway/upstream_notices.h"
#include "corianderlink/Gateway/upstream_reachability.h"
#include "corianderlink/Gateway/version_constraint.h"
#include "corianderlink/Routing/outlier_ejector.h"

namespace corianderlink {

/// Properties of a model request on which its placement depends.
struct PlacementQuery {
  ServiceId service;
  RouteId route;
  const EngineTraits* engine = nullptr;
  const Prompt* prompt = nullptr;
  /// Time left until the latency objective; negative if it was missed.
  double objective_left_ms = 0;
  /// Objective for the time between two events of the answer; 0 if there is
  /// none.
  double event_gap_ms = 0;
  /// Time left until the deadline for the whole answer.
  double deadline_left_ms = 0;
  /// Part of the answer was delivered already, so the request is not refused
  /// for a late prediction.
  bool resumed = false;
  /// No upstream has got this request yet.
  bool first_attempt = true;
  /// The same engine has to run prefill and decode.
  bool single_engine_only = false;
  /// Random value of the request, for the choice among similar upstreams.
  uint64_t seed = 0;
  /// Upstreams that already failed or refused this request.
  const std::set<UpstreamId>* excluded = nullptr;
  /// Versions of the upstreams that may answer.
  VersionConstraint versions;
  RateLimitQuery rate_limit;
};

/// The upstream chosen for a request, and the predictions for it.
struct Placement {
  UpstreamRecord upstream;
  PriorityTier tier = PriorityTier::kTimely;
  /// The upstream only runs the prefill; another one generates.
  bool prefill_only = false;
  /// Predicted engine time of the prefill alone.
  double cost_ms = 0;
  /// Predicted time until the prompt is computed, including queueing.
  double prefill_end_ms = 0;
  /// Predicted time to first token, including the KV cache handover.
  double predicted_ms = 0;
  /// The prefill has to end within this time to meet the objective.
  double prefill_limit_ms = 0;
};

/// Either a placement or a refusal.
struct PlacementResult {
  std::optional<Placement> placement;
  /// If refused: the reason, for the log.
  std::string reason;
  /// If refused: time after which the client should retry.
  Duration retry_after{};
};

struct PlacerLimits {
  /// Largest prediction, as a fraction of the time left until the objective.
  double objective_fraction = 0.75;
  /// Largest prediction for a request that misses its objective, as a fraction
  /// of the time left until the deadline.
  double deadline_fraction = 0.5;
  /// An upstream with waiting requests that computed nothing for this long gets
  /// no new requests.
  Duration stall = milliseconds(400);
};

/// Places requests by predicted load, speed and cache content of the upstreams.
class Placer {
 public:
  Placer(PlacerLimits limits, OutlierEjectorLimits ejector,
         Duration peer_timeout, ZoneId own_zone, RandomSource& random);

  /// Chooses an upstream of a plain service, or refuses.
  PlacementResult PlacePlain(Time now, const ServiceId& service,
                             const std::set<UpstreamId>& excluded,
                             const RateLimitQuery& rate_limit,
                             const VersionConstraint& versions = {}) const;
  /// Chooses the upstream that computes a prompt, or refuses.
  PlacementResult PlacePrompt(Time now, const PlacementQuery& query);
  /// Chooses the decode engine for a prompt that was computed at `source`, or
  /// refuses.
  PlacementResult PlaceGeneration(Time now, const PlacementQuery& query,
                                  const UpstreamRecord& source) const;

  /// A request was sent; `query` is null for a plain service.
  DispatchId OnDispatch(Time now, const Placement& placement,
                        const PlacementQuery* query);
  /// The prompt was computed, or a plain upstream answered, `observed_ms` after
  /// the dispatch.
  void OnPrefillComplete(Time now, const Placement& placement, DispatchId id,
                         double observed_ms);
  /// The dispatch ended, with success or not.
  void OnEnd(Time now, const Placement& placement, DispatchId id);
  /// An answer ended `ms` after its prompt was computed.
  void OnGenerationComplete(Time now, const ServiceId& service, double ms);
  /// A stream ended whose longest pause between two events was `gap_fraction`
  /// of the objective.
  void OnStreamEnd(const ServiceId& service, double gap_fraction) {
    interference_limits_[service].OnStreamEnd(gap_fraction);
  }
  void OnFailure(Time now, const UpstreamRecord& upstream);
  /// No connection could be made to the upstream.
  void OnUnreachable(Time now, const UpstreamRecord& upstream);
  /// Sampled connections say which upstreams this gateway reaches, while it
  /// does not reach most of them.
  void OnSample(Time now, const ConnectionSample& sample);
  /// This gateway reaches most of the service's upstreams again: its earlier
  /// failures do not count against them.
  void OnLinkUp(const ServiceId& service) {
    for (const UpstreamRecord* upstream : directory_.Usable(service)) {
      ejector_.Readmit(upstream->address);
    }
  }
  /// Another upstream uses this one's address now, so this one is gone although
  /// the directory still has its record.
  void OnReplaced(const UpstreamId& id) { replaced_.insert(id); }
  void OnSuccess(const UpstreamRecord& upstream);
  /// Notices of upstreams that are leaving or asked for a pause.
  UpstreamNotices& notices() { return notices_; }
  const UpstreamNotices& notices() const { return notices_; }
  /// Rate limits that upstreams have named, and the permits to send to them.
  FleetRateLimiter& rate_limiter() { return rate_limiter_; }
  const FleetRateLimiter& rate_limiter() const { return rate_limiter_; }
  /// A peer reported that it sent a prompt to an engine.
  void OnPeerUse(const PromptUse& use);
  /// Returns and clears the prompts that this gateway sent since the last call.
  std::vector<PromptUse> TakeRecentUses();
  /// Number of gateways that use the same upstreams, including this one.
  void SetGateways(size_t gateways) { gateways_ = gateways; }
  /// Number of connections that one upstream of a service accepts from all
  /// gateways together.
  void SetMaxConnections(const ServiceId& service, int connections) {
    max_connections_[service] = connections;
  }
  /// This gateway's part of these connections, for requests in progress.
  size_t ConnectionQuota(const ServiceId& service) const;
  /// Sets the engines on hold, which get no new requests; replaces the earlier
  /// set of `source`.  A set that is not renewed within the peer timeout
  /// lapses.
  void SetHeld(Time now, const std::string& source,
               const std::set<UpstreamId>& held);
  /// Demand that this gateway puts on the engines of each service.
  std::map<ServiceId, ServiceDemand> Demands(Time now) const;
  /// State of a service's engines for the role planner.
  std::vector<EngineSnapshot> EngineSnapshots(Time now,
                                              const ServiceId& service) const;
  /// Upstreams of the service that take requests, and those of them that are
  /// ejected for failures seen by this gateway.
  struct ServiceHealth {
    size_t usable = 0;
    size_t ejected = 0;
  };
  ServiceHealth HealthOf(Time now, const ServiceId& service) const;
  /// Drops the state of upstreams that left the directory.
  void Prune();
  /// Drops the state of the routes for which `gone` returns true.
  template <typename Predicate>
  void ForgetRoutesIf(Predicate gone) {
    std::erase_if(size_fairness_,
                  [&](const auto& entry) { return gone(entry.first); });
  }

  UpstreamDirectory& directory() { return directory_; }
  const UpstreamDirectory& directory() const { return directory_; }
  UpstreamLoad& load() { return load_; }
  const UpstreamLoad& load() const { return load_; }
  std::map<UpstreamId, OutstandingLoad> OwnLoads(Time now) const {
    return load_.OwnLoads(now);
  }
  const SpeedModel& speed() const { return speed_; }

 private:
  struct DemandRates {
    DecayingRate prefill_ms{kDemandTimeConstant};
    DecayingRate handover_ms{kDemandTimeConstant};
    DecayingRate generating_ms{kDemandTimeConstant};
  };
  /// An upstream that may take a prompt, with the inputs of its score.
  struct Candidate {
    const UpstreamRecord* upstream = nullptr;
    OutstandingLoad load;
    uint32_t cached_tokens = 0;
    double cost_ms = 0;
    /// Added to the predicted time to first token when candidates are compared.
    double penalty_ms = 0;
  };
  /// Predicted times, as in `Placement`.
  struct Estimate {
    double prefill_end_ms = 0;
    double predicted_ms = 0;
  };
  struct HeldSet {
    Time updated_at{};
    std::set<UpstreamId> engines;
  };

  static constexpr Duration kDemandTimeConstant = seconds(3);

  const UpstreamRecord* BestDecodeEngine(Time now, const PlacementQuery& query,
                                         const UpstreamRecord& source,
                                         bool include_ineligible) const;
  /// Random allowance for work that peers may have sent since their last
  /// heartbeats.
  static double StalenessPenaltyMs(const UpstreamId& upstream, uint64_t seed,
                                   Duration peer_age);
  bool Held(Time now, const UpstreamId& id) const;
  /// Adds a request whose prompt `upstream` computes, or would have computed.
  void RecordDemand(Time now, const UpstreamRecord& upstream,
                    const PlacementQuery& query);
  /// Time until a paused or rate-limited upstream of the service takes requests
  /// again, if that is why none does.
  std::optional<Duration> TimeUntilPauseEnds(
      Time now, const std::vector<const UpstreamRecord*>& usable,
      const RateLimitQuery& rate_limit) const;
  /// True if the upstream must not get the request.
  bool Ineligible(Time now, const UpstreamRecord& upstream,
                  const std::set<UpstreamId>* excluded,
                  const RateLimitQuery& rate_limit) const;
  /// True if an engine that may answer the request is in service.
  bool HasDecodeEngine(const PlacementQuery& query) const;
  /// The eligible ones of the `usable` upstreams.
  std::vector<Candidate> Candidates(
      Time now, const PlacementQuery& query,
      const std::vector<const UpstreamRecord*>& usable) const;
  /// Adds the cost of computing shared parts on other than the preferred
  /// engine.
  void AddEvictionPenalty(const Prompt& prompt,
                          std::vector<Candidate>& candidates) const;
  Estimate Predict(const Candidate& candidate, const PlacementQuery& query,
                   PriorityTier tier) const;
  /// Time to transfer the prompt's KV cache within an availability zone.
  static double KvTransferMs(const PlacementQuery& query);
  /// Penalty for the delay that the prompt causes other requests on the
  /// upstream, and for a wait for a slot, in milliseconds.
  double PenaltyMs(const Candidate& candidate,
                   const PlacementQuery& query) const;
  /// Penalty for the pauses that the prompt causes in streams on a decode
  /// engine.
  double GapPenaltyMs(const Candidate& candidate,
                      const PlacementQuery& query) const;
  /// True if the route's prompts are small.
  bool IsExpress(const PlacementQuery& query) const;
  void RecordCacheUse(const UpstreamId& upstream,
                      const std::vector<PromptPart>& parts);
  uint32_t CachedTokens(const UpstreamRecord& upstream,
                        const Prompt& prompt) const;
  std::optional<Placement> BestCandidate(
      const std::vector<Candidate>& candidates, const PlacementQuery& query,
      PriorityTier tier) const;

  const PlacerLimits limits_;
  const ZoneId own_zone_;
  UpstreamDirectory directory_;
  UpstreamLoad load_;
  SpeedModel speed_;
  OutlierEjector ejector_;
  std::unordered_map<UpstreamId, PrefixCacheModel> caches_;
  // Size of the KV cache of each service's engines, in tokens.
  std::map<ServiceId, uint64_t> cache_tokens_;
  std::vector<PromptUse> recent_uses_;
  std::map<ServiceId, DemandRates> demands_;
  std::map<std::string, HeldSet> held_;
  std::set<UpstreamId> replaced_;
  UpstreamNotices notices_;
  FleetRateLimiter rate_limiter_;
  std::map<ServiceId, AdmissionBudget> admission_budgets_;
  std::map<RouteId, SizeFairness> size_fairness_;
  std::map<ServiceId, InterferenceLimit> interference_limits_;
  std::map<ServiceId, int> max_connections_;
  size_t gateways_ = 1;
  const Duration peer_timeout_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_PLACER_H_
