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

}  // namespace
}  // namespace corianderlink
