// Chooses the engine for a model request.
//
// Load of an engine = what this entry has dispatched and not seen ended, plus
// what peers say of themselves, plus what its last report shows beyond both at
// the time that the report was asked for.  A late report thus does not bring
// back load that has ended since.  The best candidate is the one with the
// earliest predicted first token, cached pieces included.
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
#include "corianderlink/Routing/ejector.h"
#include "corianderlink/Routing/prefix_index.h"
#include "corianderlink/Routing/priority_class.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Which part of a request an engine is sought for.
enum class RoutePhase {
  kStart,     ///< The prompt has to be computed.
  kContinue,  ///< Tokens were delivered already.
};

/// A request as the router sees it.
struct RouteQuery {
  RoutePhase phase = RoutePhase::kStart;
  ModelId model;
  AdapterId adapter;
  PriorityClass cls = PriorityClass::kChat;
  uint64_t prompt_tokens = 0;
  uint64_t max_tokens = 0;
  std::vector<uint64_t> pieces;
  /// Engines that already failed this request.
  std::set<Address> excluded;
};

struct RouteChoice {
  EngineId engine;
  Address address;
  Duration predicted_first_token{};
  uint64_t uncached_tokens = 0;
};

/// What another entry has dispatched to an engine.
struct PeerShare {
  uint32_t requests = 0;
  uint64_t prefill_tokens = 0;
};

struct RouterLimits {
  /// Requests beyond an engine's batch that may wait at the engine.
  uint64_t engine_queue = 2;
  /// The same for urgent requests; the engine lets them go first.
  uint64_t engine_queue_urgent = 6;
  /// Predicted delay added for an engine in another zone.
  Duration other_zone = milliseconds(2);
  /// Predicted delay added for starting on a decode engine or continuing on a
  /// prefill engine.
  Duration wrong_role = milliseconds(500);
  /// A report older than this says nothing about load.
  Duration stale_report = seconds(10);
  /// Up to this many engines of a model all of them are looked at.
  size_t max_scanned = 64;
  /// Engines looked at beyond that: by the prompt's prefix, and in turn.
  size_t affine_candidates = 4;
  size_t turn_candidates = 12;
  /// Turns that are tried before the request waits.
  int max_turns = 3;
  Duration prefix_max_age = seconds(600);
  size_t prefix_max_pieces = 100000;
};

class EngineRouter {
 public:
  EngineRouter(RouterLimits limits, EjectorLimits ejector, ZoneId own_zone);

  /// Replaces the engines in force.
  void SetEngines(const std::map<EngineId, EngineSpec>& engines);
  /// Engines that take no new work, by address.
  void SetHeld(const std::set<Address>& held) { held_ = held; }
  /// Whole contribution of one peer; replaces its earlier one.
  void SetPeerShares(const std::string& peer,
                     const std::map<EngineId, PeerShare>& shares);
  void ForgetPeer(const std::string& peer);
  /// `asked` is when the request for the report was sent.
  void OnReport(Time asked, const EngineId& engine, const EngineReport& report);
  void OnCacheEvent(Time now, const EngineId& engine, const CacheEvent& event);

  /// The best engine with room, or nothing.
  std::optional<RouteChoice> Choose(Time now, const RouteQuery& query) const;
  /// True if some engine in force carries the model and adapter.
  bool Serves(const ModelId& model, const AdapterId& adapter) const;

  void OnDispatch(Time now, const RouteChoice& choice, const RouteQuery& query);
  /// The engine sent the first token.
  void OnFirstToken(Time now, const EngineId& engine, uint64_t uncached_tokens);
  /// A dispatched request ended; `failed` if the engine is to blame.
  void OnEnd(Time now, const EngineId& engine, uint64_t uncached_tokens,
             bool had_first_token, bool failed);

  /// Own requests in progress on an engine.
  uint64_t OwnRequests(const EngineId& engine) const;
  std::map<EngineId, PeerShare> OwnShares() const;
  /// Role that the engine reported last; kMixed if unknown.
  EngineRole RoleOf(const EngineId& engine) const;
  const EngineSpec* FindEngine(const EngineId& engine) const;
  const PrefixIndex* FindPrefixIndex(const EngineId& engine) const;
  std::vector<EngineId> EngineIds() const;
  bool Held(const Address& address) const { return held_.count(address) > 0; }

 private:
  /// Own load on an engine from one moment on.
  struct OwnLoad {
    Time at{};
    uint64_t requests = 0;
    uint64_t prefill_tokens = 0;
  };

  struct Engine {
    EngineSpec spec;
    std::optional<EngineReport> report;
    Time report_asked{};
    OwnLoad own;
    // Earlier values of `own`, back to the last report's time.
    std::deque<OwnLoad> history;
    // Reported load that neither this entry nor a peer accounts for.
    uint64_t foreign_requests = 0;
    double foreign_prefill_tokens = 0;
    PrefixIndex prefix;
  };

  void SumPeerShares();
  PeerShare PeersOn(const EngineId& id) const;
  static void RememberOwn(Time now, Engine& engine);
  static OwnLoad OwnLoadAt(const Engine& engine, Time at);
  bool Carries(const Engine& engine, const RouteQuery& query) const;
  uint64_t InFlight(Time now, const EngineId& id, const Engine& engine) const;
  double PrefillBacklog(Time now, const EngineId& id,
                        const Engine& engine) const;
  std::optional<RouteChoice> BestOf(Time now, const RouteQuery& query,
                                    const std::vector<EngineId>& ids) const;
  std::vector<EngineId> SampleCandidates(const RouteQuery& query,
                                         const std::vector<EngineId>& ids,
                                         uint64_t turn) const;
  std::optional<RouteChoice> Evaluate(Time now, const EngineId& id,
                                      const Engine& engine,
                                      const RouteQuery& query) const;

  const RouterLimits limits_;
  const ZoneId own_zone_;
  Ejector ejector_;
  std::map<EngineId, Engine> engines_;
  std::map<ModelId, std::vector<EngineId>> by_model_;
  std::set<Address> held_;
  std::map<std::string, std::map<EngineId, PeerShare>> peer_shares_;
  std::map<EngineId, PeerShare> peer_totals_;
  // Spreads the candidates of large fleets over the engines.
  mutable uint64_t turn_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_ROUTING_ENGINE_ROUTER_H_
