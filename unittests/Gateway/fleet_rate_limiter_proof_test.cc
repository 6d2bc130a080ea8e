// A rate limit holds over all gateways under random schedules of faults, and it
// is used.
#include <gtest/gtest.h>

#include <cmath>

#include "Gateway/rate_limit_simulation.h"

namespace corianderlink {
namespace {

using Options = RateLimitSimulation::Options;

// Time after an upstream first named a limit until it binds.
constexpr Duration kGrace = seconds(3);

size_t Allowed(double limit) {
  return static_cast<size_t>(std::floor(1.5 * 4 * limit + 5));
}

/// Plays a fault that begins and ends at random times.
void PlayFault(RateLimitSimulation& simulation, std::mt19937_64& random) {
  const auto ms = [&random](int from, int to) {
    return milliseconds(from + static_cast<int>(random() % (to - from)));
  };
  const size_t i = random() % simulation.size();
  simulation.Run(ms(0, 1500));
  if (!simulation.idle(i)) return;
  switch (random() % 5) {
    case 0:
      simulation.Kill(i);
      simulation.Run(ms(100, 4000));
      simulation.Restart(i);
      return;
    case 1:
      simulation.Freeze(i);
      simulation.Run(ms(100, 4000));
      simulation.Thaw(i);
      return;
    case 2:
      simulation.SetSide(i, 1, true);
      simulation.Run(ms(100, 5000));
      simulation.SetSide(i, 0, true);
      return;
    case 3:
      simulation.Leave(i);
      simulation.Run(ms(500, 3000));
      simulation.Kill(i);
      simulation.Run(ms(100, 2000));
      simulation.Restart(i);
      return;
    default:
      // A partition in two, which excuses nobody here.
      for (size_t j = 0; j < simulation.size(); j += 2) {
        simulation.SetSide(j, 1, false);
      }
      simulation.Run(ms(500, 6000));
      for (size_t j = 0; j < simulation.size(); ++j) {
        simulation.SetSide(j, 0, false);
      }
      return;
  }
}

/// Number of schedules, out of `schedules`, in which the limit was exceeded.
int CountViolations(size_t gateways, double limit, int schedules, bool naive,
                    int faults) {
  int violations = 0;
  for (int seed = 1; seed <= schedules; ++seed) {
    Options options;
    options.gateways = gateways;
    options.limit = limit;
    options.demand = naive ? Demand::kEven : static_cast<Demand>(seed % 3);
    options.seed = static_cast<uint64_t>(seed);
    options.naive = naive;
    RateLimitSimulation simulation(options);
    const Time named_at = simulation.now();
    std::mt19937_64 random(options.seed);
    simulation.Run(kGrace);
    for (int i = 0; i < faults; ++i) PlayFault(simulation, random);
    simulation.Run(seconds(5));
    const size_t most = simulation.MaxInWindow(named_at + kGrace);
    if (most <= Allowed(limit)) continue;
    ++violations;
    if (!naive) {
      ADD_FAILURE() << most << " of " << Allowed(limit) << " allowed, "
                    << gateways << " gateways, limit " << limit << ", seed "
                    << seed;
    }
  }
  return violations;
}

/// Fewer for large fleets, which take long to play.
std::vector<double> LimitsFor(size_t gateways) {
  if (gateways > 117) return {0.5, 12.4, 500};
  return {0, 0.5, 3, 12.4, 80, 500};
}

class FleetRateLimiterProof : public ::testing::TestWithParam<size_t> {};

TEST_P(FleetRateLimiterProof, LimitHoldsUnderFaults) {
  const size_t gateways = GetParam();
  const int schedules = gateways <= 12 ? 60 : gateways <= 117 ? 4 : 1;
  for (const double limit : LimitsFor(gateways)) {
    EXPECT_EQ(CountViolations(gateways, limit, schedules, false, 3), 0);
  }
}

TEST_P(FleetRateLimiterProof, LimitIsUsedWhereverTheDemandIs) {
  const size_t gateways = GetParam();
  for (const double limit : LimitsFor(gateways)) {
    for (const Demand demand :
         {Demand::kEven, Demand::kOneGateway, Demand::kShifting}) {
      Options options;
      options.gateways = gateways;
      options.limit = limit;
      options.demand = demand;
      RateLimitSimulation simulation(options);
      simulation.Run(seconds(8));
      const Time from = simulation.now();
      simulation.Run(seconds(12));
      const double rate = simulation.Rate(from);
      EXPECT_GE(rate, 0.8 * limit) << gateways << " gateways, limit " << limit
                                   << ", demand " << static_cast<int>(demand);
      EXPECT_LE(simulation.MaxInWindow(from), Allowed(limit));
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Gateways, FleetRateLimiterProof,
                         ::testing::Values(1, 3, 12, 117, 790));

TEST(FleetRateLimiterNaiveTest, OwnBucketsExceedTheLimit) {
  EXPECT_EQ(CountViolations(12, 3, 30, true, 0), 30);
}

}  // namespace
}  // namespace corianderlink
