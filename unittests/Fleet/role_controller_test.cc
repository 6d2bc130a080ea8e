// Tests of the role controller.
#include "corianderlink/Fleet/role_controller.h"

#include <gtest/gtest.h>

#include <random>

namespace corianderlink {
namespace {

const Time kStart{seconds(1000)};

RoleControllerOptions HighChangeWeight() {
  RoleControllerOptions options;
  options.change_weight = 0.9;
  return options;
}

/// Supplies one demand sample per second of virtual time and applies each
/// change immediately.  Returns the number of changes.
int RunController(RoleController& controller, RoleView& view, int duration_s,
                  const std::function<RoleDemand(int)>& demand, Time& now) {
  int changes = 0;
  for (int t = 0; t < duration_s; ++t, now += seconds(1)) {
    controller.OnDemand(now, demand(t));
    const auto change = controller.Decide(now, view);
    if (!change) continue;
    const int delta = *change == RoleChange::kToPrefill ? 1 : -1;
    view.prefill += static_cast<size_t>(delta);
    view.decode -= static_cast<size_t>(delta);
    controller.OnChanged(now, *change);
    ++changes;
  }
  return changes;
}

TEST(RoleControllerTest, NoisySteadyDemandCausesNoChange) {
  RoleController controller(HighChangeWeight());
  RoleView view{6, 6, false};
  std::mt19937_64 random(1);
  std::normal_distribution<double> noise(1.0, 0.3);
  Time now = kStart;
  const auto demand = [&](int) {
    return RoleDemand{4.5 * noise(random), 4.5 * noise(random)};
  };
  EXPECT_EQ(RunController(controller, view, 3600, demand, now), 0);
}

TEST(RoleControllerTest, LastingShiftIsFollowedWithoutReverting) {
  RoleController controller(HighChangeWeight());
  RoleView view{3, 9, false};
  Time now = kStart;
  RunController(
      controller, view, 600,
      [](int) {
        return RoleDemand{2.5, 7.5};
      },
      now);
  EXPECT_EQ(view.prefill, 3u);
  const int changes = RunController(
      controller, view, 600,
      [](int) {
        return RoleDemand{7.5, 2.5};
      },
      now);
  EXPECT_GE(view.prefill, 7u);
  EXPECT_LE(changes, 6);
}

TEST(RoleControllerTest, OscillationTooFastToPayOffCausesNoChange) {
  RoleControllerOptions options = HighChangeWeight();
  options.reconfiguration_time = seconds(60);
  RoleController controller(options);
  RoleView view{6, 6, false};
  Time now = kStart;
  const auto square_wave = [](int t) {
    return t % 40 < 20 ? RoleDemand{7, 4} : RoleDemand{4, 7};
  };
  RunController(controller, view, 600, square_wave, now);  // Learns the period.
  EXPECT_EQ(RunController(controller, view, 3600, square_wave, now), 0);
}

TEST(RoleControllerTest, NoChangeWhileAnEngineIsUnavailable) {
  RoleController controller(HighChangeWeight());
  RoleView view{1, 11, true};
  Time now = kStart;
  EXPECT_EQ(RunController(
                controller, view, 600,
                [](int) {
                  return RoleDemand{10, 1};
                },
                now),
            0);
}

TEST(RoleControllerTest, LastEngineOfARoleKeepsItsRole) {
  RoleController controller(HighChangeWeight());
  RoleView view{1, 1, false};
  Time now = kStart;
  EXPECT_EQ(RunController(
                controller, view, 600,
                [](int) {
                  return RoleDemand{10, 1};
                },
                now),
            0);
}

}  // namespace
}  // namespace corianderlink
