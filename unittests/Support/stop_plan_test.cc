// The times of a planned stop, and what is taken just before and after each.
#include "corianderlink/Support/stop_plan.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace corianderlink {
namespace {

// What callers are promised, from the order to stop on.
constexpr Duration kGrace = seconds(8);
constexpr Duration kPromised = seconds(3);
constexpr Time kBegan = Time{} + seconds(100);

RequestNeed Need(Duration limit, Duration expected) {
  return {limit, expected};
}

/// A request that is whole `at` after the signal.
struct Arrival {
  std::string what;
  Duration at;
  RequestNeed need;
  bool taken;
};

class StopPlanTest : public ::testing::Test {
 protected:
  const StopPlan plan_{kBegan, {kGrace, kPromised}};
};

TEST_F(StopPlanTest, RequestsAreTakenByTheTimeThatTheyNeed) {
  const std::vector<Arrival> arrivals = {
      {"short", seconds(1), Need(seconds(15), milliseconds(50)), true},
      {"ends just in time", milliseconds(1400),
       Need(seconds(15), milliseconds(5990)), true},
      {"ends just too late", milliseconds(1400),
       Need(seconds(15), milliseconds(6010)), false},
      {"nothing known", seconds(0), Need(seconds(15), seconds(15)), false},
      {"its deadline is near", milliseconds(2490),
       Need(milliseconds(600), seconds(15)), true},
      {"short, before the last part", milliseconds(2490),
       Need(seconds(15), milliseconds(50)), true},
      {"short, in the last part", milliseconds(2510),
       Need(seconds(15), milliseconds(50)), false},
      {"deadline near, in the last part", milliseconds(2990),
       Need(milliseconds(600), milliseconds(600)), true},
      {"deadline near, too late", milliseconds(3010),
       Need(milliseconds(600), milliseconds(600)), false}};
  for (const Arrival& arrival : arrivals) {
    EXPECT_EQ(plan_.Takes(kBegan + arrival.at, arrival.need), arrival.taken)
        << arrival.what;
  }
}

// A signal that is read late shifts this process's times, not its callers'.
TEST_F(StopPlanTest, NoneThatMayBeCutIsTakenAfterThePromisedTime) {
  const RequestNeed wrong = Need(seconds(15), seconds(1));
  for (Duration late{}; late < milliseconds(490); late += milliseconds(10)) {
    const StopPlan plan(kBegan + late, {kGrace, kPromised});
    EXPECT_FALSE(plan.Takes(kBegan + kPromised, wrong)) << ToMillis(late);
  }
}

TEST_F(StopPlanTest, WorkThatIsTakenEndsBeforeTheProcess) {
  EXPECT_LT(plan_.requests_end(), plan_.process_end());
  EXPECT_LT(plan_.process_end(), kBegan + kGrace);
  // Workers that are at work in the last sixth excuse a cut.
  EXPECT_GT(plan_.requests_end(), kBegan + kGrace - kGrace / 6);
  const RequestNeed need = Need(seconds(15), seconds(1));
  EXPECT_TRUE(plan_.Fits(plan_.requests_end() - milliseconds(1010), need));
  EXPECT_FALSE(plan_.Fits(plan_.requests_end() - milliseconds(990), need));
}

TEST_F(StopPlanTest, StepsFollowEachOther) {
  EXPECT_EQ(plan_.UntilNextStep(kBegan), kPromised);
  EXPECT_EQ(plan_.UntilNextStep(plan_.accepts_until()),
            plan_.requests_end() - plan_.accepts_until());
  EXPECT_EQ(plan_.UntilNextStep(plan_.requests_end()),
            plan_.process_end() - plan_.requests_end());
  EXPECT_EQ(plan_.UntilNextStep(plan_.process_end()), Duration::zero());
}

TEST_F(StopPlanTest, ShortGraceLeavesTimeForWork) {
  for (const Duration grace : {Duration(seconds(2)), Duration(seconds(1)),
                               Duration(milliseconds(300)), Duration{}}) {
    const StopPlan plan(kBegan, {grace, kPromised});
    EXPECT_LE(plan.accepts_until(), plan.requests_end()) << ToMillis(grace);
    EXPECT_LE(plan.requests_end(), plan.process_end()) << ToMillis(grace);
    EXPECT_LE(plan.process_end(), kBegan + std::max(grace, Duration{}));
  }
}

}  // namespace
}  // namespace corianderlink
