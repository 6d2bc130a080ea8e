// Chooses the upstream for a request, or refuses it at once.
//
// Answers the load of a flood on a fixed fleet: each request goes where its
// first token is predicted soonest.  One that cannot meet its objective waits
// behind those that can, and one that would miss its deadline is refused with
// the time after which there will be room.
#ifndef CORIANDERLINK_GATEWAY_PLACER_H_
#define CORIANDERLINK_GATEWAY_PLACER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "corianderlink/Gateway/admission_share.h"
#include "corianderlink/Gateway/demand_meter.h"
#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/prefix_cache_model.h"
#include "corianderlink/Gateway/prompt.h"
#include "corianderlink/Gateway/role_planner.h"
#include "corianderlink/Gateway/speed_model.h"
#include "corianderlink/Gateway/upstream_directory.h"
#include "corianderlink/Gateway/upstream_load.h"
#include "corianderlink/Routing/outlier_ejector.h"

namespace corianderlink {

/// A model request as the placer sees it.
struct PlacementQuery {
  ServiceId service;
  const EngineTraits* engine = nullptr;
  const Prompt* prompt = nullptr;
  /// Time left to the first token for a full success; may be negative.
  double objective_left_ms = 0;
  /// Time left to the end of the answer.
  double deadline_left_ms = 0;
  /// Part of the answer was delivered: any upstream is better than none.
  bool resumed = false;
  /// One engine has to compute the prompt and generate.
  bool whole_only = false;
  /// Differs between requests; spreads choices that look alike.
  uint64_t seed = 0;
  /// Upstreams that already failed or refused this request.
  const std::set<UpstreamId>* excluded = nullptr;
};

/// Where a request goes.
struct Placement {
  UpstreamRecord upstream;
  WorkTier tier = WorkTier::kTimely;
  /// The upstream only computes the prompt; another one generates.
  bool prefill_only = false;
  double cost_ms = 0;
  /// Until the prompt is computed, waiting included.
  double computed_ms = 0;
  /// Until the first token, handing the prompt over included.
  double predicted_ms = 0;
  /// The prompt is in time if it is computed within this.
  double allowed_ms = 0;
};

/// Either a placement or a refusal.
struct PlacementResult {
  std::optional<Placement> placement;
  std::string reason;
  /// Soonest prediction, if any upstream came into question.
  double best_predicted_ms = 0;
  /// When there should be room, if refused.
  Duration retry_after{};
};

struct PlacerLimits {
  /// Share of the time to the objective that a prediction may take.
  double objective_share = 0.75;
  /// The same for the deadline of requests that miss their objective.
  double deadline_share = 0.5;
  /// An upstream that computed nothing for this long is avoided.
  Duration stall = milliseconds(400);
};

class Placer {
 public:
  Placer(PlacerLimits limits, OutlierEjectorLimits ejector,
         Duration peer_timeout, ZoneId own_zone);

  /// An upstream of a plain service, or a refusal.
  PlacementResult PlacePlain(Time now, const ServiceId& service,
                             const std::set<UpstreamId>& excluded) const;
  /// The upstream that computes a prompt, or a refusal.
  PlacementResult PlacePrompt(Time now, const PlacementQuery& query);
  /// The upstream that generates from a prompt computed at `source`.
  PlacementResult PlaceGeneration(Time now, const PlacementQuery& query,
                                  const UpstreamRecord& source) const;

  DispatchId OnDispatch(Time now, const Placement& placement,
                        const PlacementQuery* query);
  /// The prompt was computed `observed_ms` after the dispatch.
  void OnComputed(Time now, const Placement& placement, DispatchId id,
                  double observed_ms);
  void OnEnd(Time now, const Placement& placement, DispatchId id);
  /// An answer was generated, which took `ms` after its prompt was computed.
  void OnGenerated(Time now, const ServiceId& service, double ms);
  void OnFailure(Time now, const UpstreamRecord& upstream);
  /// No connection could be made to the upstream.
  void OnUnreachable(Time now, const UpstreamRecord& upstream);
  /// Another upstream has the address by now: this one is gone, though the
  /// list does not say so yet.
  void OnReplaced(const UpstreamId& id) { replaced_.insert(id); }
  void OnSuccess(const UpstreamRecord& upstream);
  /// A peer sent a prompt to an engine.
  void OnPeerUse(const PromptUse& use);
  /// Prompts sent by this gateway since the last call.
  std::vector<PromptUse> TakeRecentUses();
  /// Gateways that share the engines, this one included.
  void SetGateways(size_t gateways) { gateways_ = gateways; }
  /// Connections that one upstream of a service accepts from all gateways.
  void SetMaxConnections(const ServiceId& service, int connections) {
    max_connections_[service] = connections;
  }
  /// This gateway's part of them, for requests in progress.
  size_t ConnectionShare(const ServiceId& service) const;
  /// Engines that get no new work; replaces the source's earlier set.
  void SetHeld(Time now, const std::string& source,
               const std::set<UpstreamId>& held);
  /// Demand of this gateway on the engines of each service.
  std::map<ServiceId, MixDemand> Demands(Time now) const;
  /// The engines of a service as the role planner sees them.
  std::vector<PlannedEngine> PlannedEngines(Time now,
                                            const ServiceId& service) const;
  /// Drops what is known of upstreams that are gone.
  void Prune();

  UpstreamDirectory& directory() { return directory_; }
  const UpstreamDirectory& directory() const { return directory_; }
  UpstreamLoad& load() { return load_; }
  const UpstreamLoad& load() const { return load_; }
  std::map<UpstreamId, LoadShare> OwnShares(Time now) const {
    return load_.OwnShares(now);
  }
  const SpeedModel& speed() const { return speed_; }

 private:
  struct DemandRates {
    DecayingRate prefill_ms{kDemandTime};
    DecayingRate handover_ms{kDemandTime};
    DecayingRate generating_ms{kDemandTime};
  };
  /// An upstream that may take a prompt, with what its choice rests on.
  struct Candidate {
    const UpstreamRecord* upstream = nullptr;
    LoadShare load;
    uint32_t cached_tokens = 0;
    double cost_ms = 0;
    double reluctance_ms = 0;
  };
  /// Times of `Placement`.
  struct Estimate {
    double computed_ms = 0;
    double predicted_ms = 0;
  };
  struct HeldSet {
    Time heard{};
    std::set<UpstreamId> engines;
  };

  static constexpr Duration kDemandTime = seconds(3);

  const UpstreamRecord* BestGenerator(Time now, const PlacementQuery& query,
                                      const UpstreamRecord& source,
                                      bool also_troubled) const;
  /// Random delay for what peers may have sent since they were heard.
  static double Unseen(const UpstreamId& upstream, uint64_t seed,
                       Duration peer_age);
  bool Held(Time now, const UpstreamId& id) const;
  void CountDemand(Time now, const Placement& placement,
                   const PlacementQuery& query);
  bool Avoided(Time now, const UpstreamRecord& upstream,
               const std::set<UpstreamId>* excluded) const;
  /// Those of the usable upstreams that may take a prompt.
  std::vector<Candidate> Candidates(
      Time now, const PlacementQuery& query,
      const std::vector<const UpstreamRecord*>& usable) const;
  /// Adds what it costs to read shared parts away from their home.
  void AddDisplacement(const Prompt& prompt,
                       std::vector<Candidate>& candidates) const;
  Estimate Predict(const Candidate& candidate, const PlacementQuery& query,
                   WorkTier tier) const;
  /// What speaks against an upstream besides the predicted time, milliseconds.
  static double Reluctance(const Candidate& candidate,
                           const PlacementQuery& query);
  void UseCache(const UpstreamId& upstream,
                const std::vector<PromptPart>& parts);
  uint32_t CachedTokens(const UpstreamRecord& upstream,
                        const Prompt& prompt) const;
  std::optional<Placement> Best(const std::vector<Candidate>& candidates,
                                const PlacementQuery& query,
                                WorkTier tier) const;

  const PlacerLimits limits_;
  const ZoneId own_zone_;
  UpstreamDirectory directory_;
  UpstreamLoad load_;
  SpeedModel speed_;
  OutlierEjector ejector_;
  std::unordered_map<UpstreamId, PrefixCacheModel> caches_;
  // Memory of each service's engines, tokens.
  std::map<ServiceId, uint64_t> cache_tokens_;
  std::vector<PromptUse> recent_uses_;
  std::map<ServiceId, DemandRates> demands_;
  std::map<std::string, HeldSet> held_;
  std::set<UpstreamId> replaced_;
  std::map<ServiceId, AdmissionShare> shares_;
  std::map<ServiceId, int> max_connections_;
  size_t gateways_ = 1;
  const Duration peer_timeout_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_PLACER_H_
