// Experiment on routing.
#include "corianderlink-experiment/routing.h"

#include <algorithm>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

#include "common/quantile.h"
#include "corianderlink-experiment/event_queue.h"
#include "corianderlink/Routing/engine_router.h"
#include "corianderlink/Support/prompt_pieces.h"

namespace corianderlink {
namespace {

constexpr int kPrefixes = 60;
constexpr int kPiecesPerPrefix = 5;
constexpr size_t kCachePieces = 40;
constexpr double kTailTokens = 300;
constexpr double kOutputTokens = 100;
constexpr double kRunSeconds = 300;
// Share of the fleet that the requests take if every prefix is cached.
constexpr double kLoad = 0.3;

std::map<EngineId, EngineSpec> MakeEngines(int count) {
  std::map<EngineId, EngineSpec> engines;
  for (int i = 0; i < count; ++i) {
    EngineSpec spec;
    spec.address = {
        "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1),
        9000};
    spec.zone = ZoneId("z" + std::to_string(i % 9));
    spec.models.insert(ModelId("m"));
    engines[EngineId("e" + std::to_string(i))] = spec;
  }
  return engines;
}

EngineReport IdleReport(const Deployment& d) {
  EngineReport report;
  report.boot_id = "b";
  report.config.models.insert(ModelId("m"));
  report.max_batch = static_cast<uint64_t>(d.batch);
  report.prefill_tokens_per_s = d.prefill_tokens_per_s;
  report.step_ms = d.step_s * 1000;
  return report;
}

/// An engine: prompts one after another, slots for streams, an LRU of pieces.
struct ModelEngine {
  double prefill_free_at = 0;
  int in_flight = 0;
  double queued_tokens = 0;
  std::list<uint64_t> order;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> held;
  uint64_t event_sequence = 0;
};

struct RoutingResult {
  std::vector<double> first_token_s;
  double computed_tokens = 0;
  double prompt_tokens = 0;
  uint64_t no_room = 0;
};

class RoutingSim {
 public:
  RoutingSim(const Deployment& d, uint64_t seed, bool naive, double report_lag)
      : deployment_(d),
        naive_(naive),
        report_lag_(report_lag),
        random_(seed),
        specs_(MakeEngines(d.engines)),
        router_({}, {}, ZoneId("z0")) {
    router_.SetEngines(specs_);
    for (const auto& [id, spec] : specs_) {
      ids_.push_back(id);
      engines_[id];
      router_.OnReport(events_.now(), id, IdleReport(d));
    }
  }

  RoutingResult Run() {
    const double rate =
        kLoad * deployment_.engines /
        (kOutputTokens * deployment_.step_s / deployment_.batch +
         kTailTokens / deployment_.prefill_tokens_per_s);
    arrive_ = [this, rate] {
      Arrive();
      std::exponential_distribution<double> gap(rate);
      events_.After(FromSeconds(gap(random_)), arrive_);
    };
    poll_ = [this] {
      for (const EngineId& id : ids_) SendReport(id);
      events_.After(milliseconds(200), poll_);
    };
    events_.After(Duration(0), arrive_);
    events_.After(Duration(0), poll_);
    events_.RunUntil(events_.now() + FromSeconds(kRunSeconds));
    return result_;
  }

 private:
  double Now() const { return ToSeconds(events_.now().time_since_epoch()); }

  // The report shows the engine a lag ago.
  void SendReport(const EngineId& id) {
    const ModelEngine& engine = engines_[id];
    EngineReport report = IdleReport(deployment_);
    report.in_flight = static_cast<uint64_t>(engine.in_flight);
    report.queued_prefill_tokens = engine.queued_tokens;
    const Time asked = events_.now();
    events_.After(FromSeconds(report_lag_), [this, id, asked, report] {
      router_.OnReport(asked, id, report);
    });
  }

  void Arrive() {
    // Zipf-like choice of a shared prefix.
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto prefix =
        static_cast<uint64_t>(kPrefixes * std::pow(uniform(random_), 2.0));
    RouteQuery query;
    query.model = ModelId("m");
    for (uint64_t i = 0; i < kPiecesPerPrefix; ++i) {
      query.pieces.push_back(prefix * 1000 + i + 1);
    }
    query.prompt_tokens =
        kPiecesPerPrefix * kPieceTokens + static_cast<uint64_t>(kTailTokens);
    result_.prompt_tokens += static_cast<double>(query.prompt_tokens);
    std::optional<RouteChoice> choice;
    if (naive_) {
      const EngineId& id = ids_[next_++ % ids_.size()];
      choice = RouteChoice{id, specs_.at(id).address, Duration(0), 0};
    } else {
      choice = router_.Choose(events_.now(), query);
    }
    if (!choice) {
      // Would wait at the entry: counts as a first token that never comes.
      ++result_.no_room;
      result_.first_token_s.push_back(kRunSeconds);
      return;
    }
    if (!naive_) router_.OnDispatch(events_.now(), *choice, query);
    Serve(*choice, query);
  }

  void Serve(const RouteChoice& choice, const RouteQuery& query) {
    ModelEngine& engine = engines_[choice.engine];
    size_t hits = 0;
    while (hits < query.pieces.size() &&
           engine.held.count(query.pieces[hits]) > 0) {
      ++hits;
    }
    const double tokens = static_cast<double>(query.prompt_tokens) -
                          static_cast<double>(hits * kPieceTokens);
    result_.computed_tokens += tokens;
    engine.queued_tokens += tokens;
    ++engine.in_flight;
    const double start = std::max(Now(), engine.prefill_free_at);
    engine.prefill_free_at = start + tokens / deployment_.prefill_tokens_per_s;
    const double first = engine.prefill_free_at - Now();
    result_.first_token_s.push_back(first);
    Hold(choice.engine, query.pieces);
    events_.After(FromSeconds(first), [this, choice, tokens] {
      engines_[choice.engine].queued_tokens -= tokens;
      router_.OnFirstToken(events_.now(), choice.engine,
                           choice.uncached_tokens);
    });
    events_.After(FromSeconds(first + kOutputTokens * deployment_.step_s),
                  [this, choice] {
                    --engines_[choice.engine].in_flight;
                    router_.OnEnd(events_.now(), choice.engine, 0, true, false);
                  });
  }

  void Hold(const EngineId& id, const std::vector<uint64_t>& pieces) {
    ModelEngine& engine = engines_[id];
    for (const uint64_t piece : pieces) {
      const auto it = engine.held.find(piece);
      if (it != engine.held.end()) {
        engine.order.splice(engine.order.begin(), engine.order, it->second);
        continue;
      }
      engine.order.push_front(piece);
      engine.held[piece] = engine.order.begin();
      Publish(id, CacheEvent::Kind::kAdd, piece);
    }
    while (engine.order.size() > kCachePieces) {
      Publish(id, CacheEvent::Kind::kEvict, engine.order.back());
      engine.held.erase(engine.order.back());
      engine.order.pop_back();
    }
  }

  // A third of the events is lost, the others come a second late.
  void Publish(const EngineId& id, CacheEvent::Kind kind, uint64_t piece) {
    const CacheEvent event{++engines_[id].event_sequence, kind, piece};
    if (random_() % 3 == 0) return;
    events_.After(seconds(1), [this, id, event] {
      router_.OnCacheEvent(events_.now(), id, event);
    });
  }

  const Deployment deployment_;
  const bool naive_;
  const double report_lag_;
  EventQueue events_;
  std::mt19937_64 random_;
  const std::map<EngineId, EngineSpec> specs_;
  EngineRouter router_;
  std::vector<EngineId> ids_;
  std::map<EngineId, ModelEngine> engines_;
  size_t next_ = 0;
  std::function<void()> arrive_;
  std::function<void()> poll_;
  RoutingResult result_;
};

double P95(const std::vector<double>& values) { return Quantile(values, 0.95); }

}  // namespace

double DecisionNanoseconds(int engines) {
  EngineRouter router({}, {}, ZoneId("z0"));
  const auto specs = MakeEngines(engines);
  router.SetEngines(specs);
  const Time now{seconds(1000)};
  for (const auto& [id, spec] : specs) {
    router.OnReport(now, id, IdleReport(CopaAustral()));
  }
  RouteQuery query;
  query.model = ModelId("m");
  query.prompt_tokens = 10000;
  query.pieces = {1, 2, 3, 4, 5};
  const int rounds = std::max(20, 200000 / engines);
  const Time begin = BootClock::now();
  uint64_t found = 0;
  for (int i = 0; i < rounds; ++i) {
    found += router.Choose(now, query) ? 1 : 0;
  }
  const double ns =
      static_cast<double>((BootClock::now() - begin).count()) / rounds;
  return found == 0 ? 0 : ns;
}

void RunRouting(const Deployment& deployment, uint64_t seed,
                BoundCounts& counts) {
  for (const double lag : {0.2, 1.0, 5.0}) {
    const RoutingResult ours = RoutingSim(deployment, seed, false, lag).Run();
    const RoutingResult naive = RoutingSim(deployment, seed, true, lag).Run();
    PrintBound(
        counts, "routing.p95_first_token_vs_round_robin",
        P95(ours.first_token_s) / P95(naive.first_token_s), "<=", 1.0, 1.0,
        {{"experiment", "routing"},
         {"deployment", deployment.name},
         {"seed", seed},
         {"report_lag_s", lag},
         {"p95_first_token_s",
          {{"ours", P95(ours.first_token_s)},
           {"round_robin", P95(naive.first_token_s)}}},
         {"computed_share",
          {{"ours", ours.computed_tokens / ours.prompt_tokens},
           {"round_robin", naive.computed_tokens / naive.prompt_tokens}}},
         {"no_room", ours.no_room}});
  }
  PrintBound(counts, "routing.decision_us_12_workers",
             DecisionNanoseconds(12) / 1000, "<=", 5, 0,
             {{"experiment", "routing"}, {"deployment", deployment.name}});
}

}  // namespace corianderlink
