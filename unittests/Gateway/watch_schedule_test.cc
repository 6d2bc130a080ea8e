// Calls of the store by fleets of several sizes, and who notices its silence.
#include "corianderlink/Gateway/watch_schedule.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

TEST(WatchScheduleTest, CallsInASeriesOfChangesAreBounded) {
  for (const size_t gateways : {1U, 5U, 30U, 117U, 800U}) {
    const WatchSchedule schedule{gateways, 0};
    const double calls_per_s =
        static_cast<double>(gateways) / ToSeconds(schedule.Spacing());
    // Up to the longest spacing, the fleet's calls do not grow with its size.
    EXPECT_LE(calls_per_s, std::max(125.0, 1.0 * static_cast<double>(gateways)))
        << gateways;
    EXPECT_LE(schedule.Spacing(), Duration(seconds(1))) << gateways;
  }
}

TEST(WatchScheduleTest, ExactlyTwoGatewaysOfAnyFleetNoticeASilentStoreSoon) {
  for (const size_t gateways : {2U, 5U, 117U}) {
    size_t soon = 0;
    for (size_t rank = 0; rank < gateways; ++rank) {
      const Duration wait = WatchSchedule{gateways, rank}.Wait();
      if (wait <= Duration(seconds(2))) ++soon;
    }
    EXPECT_EQ(soon, 2U) << gateways;
  }
}

TEST(WatchScheduleTest, GatewayThatNoPeerTellsOfTheStoreWatchesShortly) {
  const Duration short_wait = WatchSchedule{5, 0}.Wait();
  EXPECT_GT((WatchSchedule{5, 4}.Wait()), short_wait);
  EXPECT_EQ((WatchSchedule{5, 4, seconds(10)}.Wait()), short_wait);
  EXPECT_EQ((WatchSchedule{1, 0, seconds(0)}.Wait()), short_wait);
}

// Machines answer for changes within this time of a loss of their connections.
TEST(WatchScheduleTest, SilenceIsNoticedInTimeByFleetsOfAnySize) {
  const Duration repair = milliseconds(300);
  EXPECT_LT((WatchSchedule{5, 0}.MaxAge() + repair), Duration(seconds(3)));
  for (const size_t gateways : {30U, 117U, 800U}) {
    const WatchSchedule schedule{gateways, gateways - 1, seconds(10)};
    EXPECT_LT(schedule.MaxAge() + repair, Duration(seconds(5))) << gateways;
    EXPECT_TRUE(schedule.IsStale(schedule.MaxAge() + milliseconds(1)));
  }
}

TEST(WatchScheduleTest, KnowledgeOfAPeerKeepsALongWatch) {
  const WatchSchedule told{5, 4, milliseconds(200)};
  EXPECT_FALSE(told.IsStale(seconds(20)));
}

}  // namespace
}  // namespace corianderlink
