// Tests of the role controller.
#include "corianderlink/Fleet/role_controller.h"

#include <gtest/gtest.h>

#include <random>

namespace corianderlink {
namespace {

const Time kStart{seconds(1000)};

RoleLimits FewChanges() {
  RoleLimits limits;
  limits.change_weight = 0.9;
  return limits;
}

/// Feeds one demand a second and applies changes at once; counts them.
int Drive(RoleController& controller, RoleView& view, int seconds_long,
          const std::function<RoleDemand(int)>& demand, Time& now) {
  int changes = 0;
  for (int t = 0; t < seconds_long; ++t, now += seconds(1)) {
    controller.OnDemand(now, demand(t));
    const auto change = controller.Decide(now, view);
    if (!change) continue;
    const int step = *change == RoleChange::kToPrefill ? 1 : -1;
    view.prefill += static_cast<size_t>(step);
    view.decode -= static_cast<size_t>(step);
    controller.OnChanged(now, *change);
    ++changes;
  }
  return changes;
}

TEST(RoleControllerTest, SteadyNoisyDemandChangesNothing) {
  RoleController controller(FewChanges());
  RoleView view{6, 6, false};
  std::mt19937_64 random(1);
  std::normal_distribution<double> noise(1.0, 0.3);
  Time now = kStart;
  const auto demand = [&](int) {
    return RoleDemand{4.5 * noise(random), 4.5 * noise(random)};
  };
  EXPECT_EQ(Drive(controller, view, 3600, demand, now), 0);
}

TEST(RoleControllerTest, LastingShiftIsFollowedOnceAndNotBack) {
  RoleController controller(FewChanges());
  RoleView view{3, 9, false};
  Time now = kStart;
  Drive(
      controller, view, 600,
      [](int) {
        return RoleDemand{2.5, 7.5};
      },
      now);
  EXPECT_EQ(view.prefill, 3u);
  const int changes = Drive(
      controller, view, 600,
      [](int) {
        return RoleDemand{7.5, 2.5};
      },
      now);
  EXPECT_GE(view.prefill, 7u);
  EXPECT_LE(changes, 6);
}

TEST(RoleControllerTest, SwingFasterThanAChangePaysIsIgnored) {
  RoleLimits limits = FewChanges();
  limits.time_away = seconds(60);
  RoleController controller(limits);
  RoleView view{6, 6, false};
  Time now = kStart;
  const auto square = [](int t) {
    return t % 40 < 20 ? RoleDemand{7, 4} : RoleDemand{4, 7};
  };
  Drive(controller, view, 600, square, now);  // Learns the swing.
  EXPECT_EQ(Drive(controller, view, 3600, square, now), 0);
}

TEST(RoleControllerTest, NothingChangesWhileAnEngineIsAwayOrLost) {
  RoleController controller(FewChanges());
  RoleView view{1, 11, true};
  Time now = kStart;
  EXPECT_EQ(Drive(
                controller, view, 600,
                [](int) {
                  return RoleDemand{10, 1};
                },
                now),
            0);
}

TEST(RoleControllerTest, TheLastEngineOfARoleStays) {
  RoleController controller(FewChanges());
  RoleView view{1, 1, false};
  Time now = kStart;
  EXPECT_EQ(Drive(
                controller, view, 600,
                [](int) {
                  return RoleDemand{10, 1};
                },
                now),
            0);
}

}  // namespace
}  // namespace corianderlink
