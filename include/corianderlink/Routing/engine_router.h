// Chooses the engine for a model request.
//
// The load of an engine is the sum of
//  - the requests that this entry dispatched and that have not ended,
//  - the same counts as announced by the other entries, and
//  - the load in the engine's last report that exceeds these two, compared at
//    the time when the report was requested.
// A late report thus does not count requests again that have ended since.  The
// router chooses the engine with the earliest predicted first token, taking
// cached prompt pieces into account.
#ifndef CORIANDERLINK_ROUTING_ENGINE_ROUTER_H_
#define CORIANDERLINK_ROUTING_ENGINE_ROUTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "corianderlink/Authority/engine_report.h"
#include "corianderlink/Release/specs.h"
#include "corianderlink/Routing/outlier_ejector.h"
#include "corianderlink/Routing/prefix_index.h"
#include "corianderlink/Routing/priority_class.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// The part of a request that an engine is chosen for.
enum class RoutePhase {
  kStart,     ///< The prompt has to be computed (prefill).
  kContinue,  ///< Some output tokens were delivered already.
};

/// The attributes of a request that determine its engine.
struct RouteQuery {
  RoutePhase phase = RoutePhase::kStart;
  ModelId model;
  AdapterId adapter;
  PriorityClass cls = PriorityClass::kChat;
  uint64_t prompt_tokens = 0;
  uint64_t max_tokens = 0;
  /// Identifiers of the prompt's pieces, in order.
  std::vector<uint64_t> pieces;
  /// Engines that already failed this request.
  std::set<Address> excluded;
};

/// The engine that was chosen, and the prediction for it.
struct RouteChoice {
  EngineId engine;
  Address address;
  /// Predicted delay of the first token.
  Duration predicted_first_token{};
  /// Prompt tokens that the engine has to compute.
  uint64_t uncached_tokens = 0;
};

/// Load that one entry has dispatched to an engine.
struct EngineLoad {
  uint32_t requests = 0;
  uint64_t prefill_tokens = 0;
};

struct RouterLimits {
  /// Requests beyond a full batch that may wait in the engine's own queue.
  uint64_t max_engine_queue = 2;
  /// Urgent requests beyond a full batch that may wait in the engine's own
  /// queue.  The engine schedules them first.
  uint64_t max_engine_queue_urgent = 6;
  /// Added to the predicted delay of an engine in another availability zone.
  Duration cross_zone_penalty = milliseconds(2);
  /// Added to the predicted delay for starting a request on a decode engine or
  /// continuing one on a prefill engine.
  Duration role_mismatch_penalty = milliseconds(500);
  /// Reports older than this are not used to estimate the load.
  Duration max_report_age = seconds(10);
  /// If a model has at most this many engines, all of them are evaluated.
  size_t max_full_scan = 64;
  /// Otherwise a sample is evaluated: this many engines chosen by a hash of the
  /// prompt's first piece, and this many that rotate through the fleet.
  size_t affinity_candidates = 4;
  size_t rotating_candidates = 12;
  /// Samples that are tried before the request has to wait.
  int max_sampling_rounds = 3;
  /// Limits of each engine's PrefixIndex.
  Duration prefix_max_age = seconds(600);
  size_t prefix_max_pieces = 100000;
};

/// Router of one entry process.
class EngineRouter {
 public:
  EngineRouter(RouterLimits limits, OutlierEjectorLimits ejector,
               ZoneId own_zone);

  /// Replaces the set of engines in force.
  void SetEngines(const std::map<EngineId, EngineSpec>& engines);
  /// Replaces the set of held engines, which get no new requests.
  void SetHeld(const std::set<Address>& held) { held_ = held; }
  /// Replaces the load that `peer` has dispatched, by engine.
  void SetPeerLoads(const std::string& peer,
                    const std::map<EngineId, EngineLoad>& loads);
  /// Removes the load of a peer that is no longer live.
  void ForgetPeer(const std::string& peer);
  /// Applies a report.  `requested_at` is the time at which the request for it
  /// was sent.
  void OnReport(Time requested_at, const EngineId& engine,
                const EngineReport& report);
  void OnCacheEvent(Time now, const EngineId& engine, const CacheEvent& event);

  /// Returns the best engine with free capacity, or nullopt if there is none.
  std::optional<RouteChoice> Choose(Time now, const RouteQuery& query) const;
  /// Returns true if an engine in force is configured for the model and
  /// adapter.
  bool Serves(const ModelId& model, const AdapterId& adapter) const;

  /// Records that a request was dispatched to the chosen engine.
  void OnDispatch(Time now, const RouteChoice& choice, const RouteQuery& query);
  /// Records that the engine sent the first token of a request.
  void OnFirstToken(Time now, const EngineId& engine, uint64_t uncached_tokens);
  /// Records the end of a dispatched request.  `failed` is true if the engine
  /// caused the failure.
  void OnEnd(Time now, const EngineId& engine, uint64_t uncached_tokens,
             bool had_first_token, bool failed);

  /// Returns the number of this entry's requests in progress on an engine.
  uint64_t OwnRequests(const EngineId& engine) const;
  /// Returns the load that this entry has dispatched, by engine.
  std::map<EngineId, EngineLoad> OwnLoads() const;
  /// Returns the role that the engine reported last, or kMixed if unknown.
  EngineRole RoleOf(const EngineId& engine) const;
  /// Return null if the engine is not in force.
  const EngineSpec* FindEngine(const EngineId& engine) const;
  const PrefixIndex* FindPrefixIndex(const EngineId& engine) const;
  std::vector<EngineId> EngineIds() const;
  /// Returns true if the engine at `address` is held.
  bool Held(const Address& address) const { return held_.count(address) > 0; }

 private:
  /// Load that this entry has dispatched to an engine.  In `history`, `at` is
  /// the time at which the value was replaced.
  struct OwnLoad {
    Time at{};
    uint64_t requests = 0;
    uint64_t prefill_tokens = 0;
  };

  struct Engine {
    EngineSpec spec;
    std::optional<EngineReport> report;
    Time report_requested_at{};
    OwnLoad own;
    // Earlier values of `own`, back to the time of the last report.
    std::deque<OwnLoad> history;
    // Reported load that was dispatched neither by this entry nor by a peer.
    uint64_t unattributed_requests = 0;
    double unattributed_prefill_tokens = 0;
    PrefixIndex prefix;
  };

  void UpdatePeerTotals();
  EngineLoad PeerLoadOn(const EngineId& id) const;
  static void RecordOwnLoad(Time now, Engine& engine);
  static OwnLoad OwnLoadAt(const Engine& engine, Time at);
  bool HasModelLoaded(const Engine& engine, const RouteQuery& query) const;
  uint64_t InFlight(Time now, const EngineId& id, const Engine& engine) const;
  double PrefillBacklog(Time now, const EngineId& id,
                        const Engine& engine) const;
  std::optional<RouteChoice> BestOf(Time now, const RouteQuery& query,
                                    const std::vector<EngineId>& ids) const;
  std::vector<EngineId> SampleCandidates(const RouteQuery& query,
                                         const std::vector<EngineId>& ids,
                                         uint64_t round) const;
  std::optional<RouteChoice> Evaluate(Time now, const EngineId& id,
                                      const Engine& engine,
                                      const RouteQuery& query) const;

  const RouterLimits limits_;
  const ZoneId own_zone_;
  OutlierEjector ejector_;
  std::map<EngineId, Engine> engines_;
  std::map<ModelId, std::vector<EngineId>> by_model_;
  std::set<Address> held_;
  std::map<std::string, std::map<EngineId, EngineLoad>> loads_by_peer_;
  std::map<EngineId, EngineLoad> peer_totals_;
  // Number of samples drawn so far; rotates the sampled candidates.
  mutable uint64_t sampling_round_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_ROUTING_ENGINE_ROUTER_H_
