// When clients come back that are refused at the same time.
#include "corianderlink/Gateway/refusal_delay.h"

#include <gtest/gtest.h>

#include <set>

namespace corianderlink {
namespace {

TEST(RefusalDelayTest, ClientsReturnSpreadOutAndWithinTheirTime) {
  RandomSource random(1);
  std::set<int64_t> slices;
  for (int i = 0; i < 1000; ++i) {
    const Duration delay = RefusalDelay(seconds(2), Duration::zero(), random);
    EXPECT_GE(delay, milliseconds(200));
    // Clients heed up to a third of the time that they have left.
    EXPECT_LE(delay, milliseconds(2000) / 3);
    slices.insert(delay / milliseconds(50));
  }
  EXPECT_GE(slices.size(), 6U);
}

TEST(RefusalDelayTest, KnownTimeOfReturnIsALowerBound) {
  RandomSource random(1);
  EXPECT_EQ(RefusalDelay(seconds(2), seconds(15), random), seconds(15));
}

}  // namespace
}  // namespace corianderlink
