// Experiment on role changes.
#include "corianderlink-experiment/roles.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "corianderlink-experiment/split_fleet.h"
#include "corianderlink/Fleet/role_controller.h"

namespace corianderlink {
namespace {

// Grid of the offline schedule.
constexpr double kGridSeconds = 10;
constexpr int kSpreadSeeds = 20;

/// Decides at each tick; returns the wanted number of prefill engines.
using Policy = std::function<void(double t, const RoleDemand& demand,
                                  SplitFleet& fleet, Time now)>;

RoleDemand DemandAt(const Workload& w, const Deployment& d, double t) {
  const Mix mix = w.MixAt(t);
  const double rate = w.RateAt(t, d);
  return {rate * mix.prompt / d.prefill_tokens_per_s,
          rate * mix.output / d.DecodeTokensPerSecond()};
}

int IdealPrefill(const RoleDemand& demand, const Deployment& d) {
  int best = 1;
  double best_share = -1;
  for (int p = 1; p < d.engines; ++p) {
    const double share = RoleController::ServedShare(demand, p, d.engines - p);
    if (share <= best_share) continue;
    best = p;
    best_share = share;
  }
  return best;
}

// The split that serves most over the whole run, without changes.
int BestStatic(const Workload& w, const Deployment& d) {
  int best = 1;
  double best_served = -1;
  for (int p = 1; p < d.engines; ++p) {
    double served = 0;
    for (double t = 0; t < w.duration_s; t += kGridSeconds) {
      served += std::min(1.0, RoleController::ServedShare(DemandAt(w, d, t), p,
                                                          d.engines - p)) *
                w.RateAt(t, d);
    }
    if (served <= best_served) continue;
    best = p;
    best_served = served;
  }
  return best;
}

// Dynamic programme over the grid with the future known.  A change of one
// engine costs its time away; more changes a step are allowed.
std::vector<int> BestOffline(const Workload& w, const Deployment& d) {
  const auto steps = static_cast<size_t>(w.duration_s / kGridSeconds);
  const auto states = static_cast<size_t>(d.engines);
  std::vector<std::vector<double>> value(steps + 1,
                                         std::vector<double>(states, 0));
  std::vector<std::vector<int>> choice(steps, std::vector<int>(states, 0));
  for (size_t s = steps; s-- > 0;) {
    const double t = static_cast<double>(s) * kGridSeconds;
    const RoleDemand demand = DemandAt(w, d, t);
    const double rate = w.RateAt(t, d);
    for (int from = 1; from < d.engines; ++from) {
      double best = -1;
      for (int to = std::max(1, from - 2);
           to <= std::min(d.engines - 1, from + 2); ++to) {
        const int moved = std::abs(to - from);
        const double lost = moved * d.away_s / kGridSeconds;
        const double p = to - (to > from ? lost : 0);
        const double q = d.engines - to - (to < from ? lost : 0);
        const double served =
            std::min(1.0, RoleController::ServedShare(demand, p, q)) * rate *
            kGridSeconds;
        // A change that gains nothing is not made.
        const double total =
            served + value[s + 1][static_cast<size_t>(to)] - 1e-6 * moved;
        if (total <= best) continue;
        best = total;
        choice[s][static_cast<size_t>(from)] = to;
      }
      value[s][static_cast<size_t>(from)] = best;
    }
  }
  std::vector<int> schedule;
  int state =
      static_cast<int>(std::max_element(value[0].begin() + 1, value[0].end()) -
                       value[0].begin());
  for (size_t s = 0; s < steps; ++s) {
    state = choice[s][static_cast<size_t>(state)];
    schedule.push_back(state);
  }
  return schedule;
}

SplitResult Run(const Workload& w, const Deployment& d, uint64_t seed,
                int first_prefill, const Policy& policy,
                double lose_engine_at = -1) {
  EventQueue events;
  SplitFleet fleet(events, d, first_prefill);
  std::mt19937_64 random(seed);
  const Time start = events.now();
  // Demand measured at admission over the last second.
  double prompt_tokens = 0;
  double output_tokens = 0;
  std::function<void()> arrive = [&] {
    const double t = ToSeconds(events.now() - start);
    const Mix mix = w.MixAt(t);
    const double prompt = std::min(30000.0, HeavyTailed(random, mix.prompt));
    const double output = std::min(2000.0, HeavyTailed(random, mix.output));
    prompt_tokens += prompt;
    output_tokens += output;
    fleet.Arrive(prompt, output);
    std::exponential_distribution<double> gap(w.RateAt(t, d));
    events.After(FromSeconds(gap(random)), arrive);
  };
  std::function<void()> tick = [&] {
    const RoleDemand demand{prompt_tokens / d.prefill_tokens_per_s,
                            output_tokens / d.DecodeTokensPerSecond()};
    prompt_tokens = output_tokens = 0;
    policy(ToSeconds(events.now() - start), demand, fleet, events.now());
    events.After(seconds(1), tick);
  };
  events.After(Duration(0), arrive);
  events.After(seconds(1), tick);
  if (lose_engine_at >= 0) {
    events.After(FromSeconds(lose_engine_at), [&] { fleet.LoseEngine(); });
  }
  events.RunUntil(start + FromSeconds(w.duration_s));
  return fleet.result;
}

Policy Static() {
  return [](double, const RoleDemand&, SplitFleet&, Time) {};
}

// Follows the last second's demand without hysteresis.
Policy Follower(const Deployment& d) {
  return [d](double, const RoleDemand& demand, SplitFleet& fleet, Time) {
    const int ideal = IdealPrefill(demand, d);
    if (ideal > fleet.prefill()) fleet.Change(true);
    if (ideal < fleet.prefill()) fleet.Change(false);
  };
}

Policy Offline(const std::vector<int>& schedule) {
  return [schedule](double t, const RoleDemand&, SplitFleet& fleet, Time) {
    const auto step =
        std::min(schedule.size() - 1, static_cast<size_t>(t / kGridSeconds));
    // Engines that are away count for their new role.
    if (fleet.away() > 0) return;
    while (fleet.prefill() + (fleet.away() > 0 ? 1 : 0) < schedule[step]) {
      if (!fleet.Change(true)) return;
      if (fleet.away() > 1) return;
    }
    if (fleet.away() == 0 && fleet.prefill() > schedule[step]) {
      fleet.Change(false);
    }
  };
}

Policy Ours(const Deployment& d) {
  RoleControllerOptions options;
  options.change_weight = d.change_weight;
  options.reconfiguration_time = FromSeconds(d.away_s);
  auto controller = std::make_shared<RoleController>(options);
  return [controller](double, const RoleDemand& demand, SplitFleet& fleet,
                      Time now) {
    controller->OnDemand(now, demand);
    RoleView view;
    view.prefill = static_cast<size_t>(fleet.prefill());
    view.decode = static_cast<size_t>(fleet.decode());
    view.engine_unavailable = fleet.away() > 0;
    const auto change = controller->Decide(now, view);
    if (!change) return;
    fleet.Change(*change == RoleChange::kToPrefill);
    controller->OnChanged(now, *change);
  };
}

double Goodput(const SplitResult& r) {
  return r.sent == 0
             ? 1
             : static_cast<double>(r.good) / static_cast<double>(r.sent);
}

int RealShifts(const Workload& w) {
  if (w.shape == Shape::kStep) return 1;
  if (w.shape == Shape::kPulse) return 2;
  if (w.shape == Shape::kSquare) {
    return static_cast<int>(2 * w.duration_s / w.period_s) - 1;
  }
  return w.shape == Shape::kRamp ? 1 : 0;
}

/// Spread of the static split's goodput over seeds.
double Spread(const Workload& w, const Deployment& d) {
  std::vector<double> values;
  const int split = BestStatic(w, d);
  for (int seed = 1; seed <= kSpreadSeeds; ++seed) {
    values.push_back(
        Goodput(Run(w, d, static_cast<uint64_t>(seed), split, Static())));
  }
  const auto [low, high] = std::minmax_element(values.begin(), values.end());
  return *high - *low;
}

void RunOne(const Workload& w, const Deployment& d, uint64_t seed,
            const std::string& only, double lose_at, BoundCounts& counts) {
  const int split = BestStatic(w, d);
  const std::vector<int> schedule = BestOffline(w, d);
  const int first = IdealPrefill(DemandAt(w, d, 0), d);
  const SplitResult fixed = Run(w, d, seed, split, Static(), lose_at);
  const SplitResult follower = Run(w, d, seed, first, Follower(d), lose_at);
  const SplitResult best =
      Run(w, d, seed, schedule.front(), Offline(schedule), lose_at);
  const SplitResult ours = Run(w, d, seed, first, Ours(d), lose_at);
  nlohmann::json details = {{"experiment", "roles"},
                            {"deployment", d.name},
                            {"shape", ToString(w.shape)},
                            {"period_s", w.period_s},
                            {"seed", seed},
                            {"engine_lost", lose_at >= 0},
                            {"goodput",
                             {{"static", Goodput(fixed)},
                              {"follower", Goodput(follower)},
                              {"offline", Goodput(best)},
                              {"ours", Goodput(ours)}}},
                            {"changes",
                             {{"follower", follower.changes},
                              {"offline", best.changes},
                              {"ours", ours.changes}}},
                            {"most_away", ours.most_away}};
  if (!only.empty()) {
    std::cout << details.dump() << std::endl;
    return;
  }
  const double naive = std::max(Goodput(fixed), Goodput(follower));
  if (lose_at < 0) {
    PrintBound(counts, "roles.goodput_vs_offline",
               Goodput(ours) / std::max(1e-9, Goodput(best)), ">=", 0.95,
               naive / std::max(1e-9, Goodput(best)), details);
  }
  PrintBound(counts, "roles.goodput_vs_simple", Goodput(ours) - naive,
             ">=", -Spread(w, d), 0, details);
  PrintBound(counts, "roles.one_in_transition", ours.most_away, "<=", 1,
             follower.most_away, details);
  if (d.change_weight < 0.5 || lose_at >= 0) return;
  PrintBound(counts, "roles.changes", ours.changes,
             "<=", best.changes + RealShifts(w), follower.changes, details);
}

}  // namespace

void RunRoles(const Deployment& deployment, uint64_t seed,
              const std::string& policy, BoundCounts& counts) {
  for (const Shape shape :
       {Shape::kSteady, Shape::kStep, Shape::kRamp, Shape::kPulse}) {
    Workload w;
    w.shape = shape;
    RunOne(w, deployment, seed, policy, -1, counts);
  }
  for (const double period : {120.0, 300.0, 900.0, 3600.0}) {
    Workload w;
    w.shape = Shape::kSquare;
    w.period_s = period;
    w.duration_s = std::max(3600.0, 2 * period);
    RunOne(w, deployment, seed, policy, -1, counts);
  }
  // An engine is lost before, at and after the shift.
  for (const double offset : {-60.0, 0.0, 60.0}) {
    Workload w;
    w.shape = Shape::kStep;
    RunOne(w, deployment, seed, policy, w.duration_s / 2 + offset, counts);
  }
}

}  // namespace corianderlink
