// How long the requests of a route have taken lately.
#include "corianderlink/Gateway/serving_times.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

constexpr Time kStart = Time{} + seconds(1000);

class ServingTimesTest : public ::testing::Test {
 protected:
  ServingTimes times_;
};

TEST_F(ServingTimesTest, NothingIsKnownAtFirst) {
  EXPECT_FALSE(times_.Longest(kStart, 100));
}

TEST_F(ServingTimesTest, LongestOfItsSizeCounts) {
  times_.Add(kStart, 100, seconds(8));
  times_.Add(kStart, 100, seconds(5));
  EXPECT_EQ(times_.Longest(kStart, 100), seconds(8));
}

TEST_F(ServingTimesTest, TimeGrowsWithTheTokens) {
  times_.Add(kStart, 100, seconds(8));
  EXPECT_EQ(times_.Longest(kStart, 200), seconds(16));
}

TEST_F(ServingTimesTest, LargerRequestsBoundSmallerOnes) {
  times_.Add(kStart, 200, seconds(16));
  EXPECT_EQ(times_.Longest(kStart, 10), seconds(16));
  times_.Add(kStart, 2, milliseconds(100));
  EXPECT_EQ(times_.Longest(kStart, 10), milliseconds(500));
  EXPECT_EQ(times_.Longest(kStart, 200), seconds(16));
}

TEST_F(ServingTimesTest, PlainRequestsHaveOneSize) {
  times_.Add(kStart, 0, milliseconds(30));
  EXPECT_EQ(times_.Longest(kStart, 0), milliseconds(30));
}

// Guards against times that overflow and look short.
TEST_F(ServingTimesTest, LargestRequestTakesLong) {
  times_.Add(kStart, 1, seconds(10));
  EXPECT_GT(times_.Longest(kStart, 0xffffffff), seconds(3600));
}

TEST_F(ServingTimesTest, OldTimesAreForgotten) {
  times_.Add(kStart, 100, seconds(8));
  times_.Add(kStart + seconds(40), 100, seconds(2));
  EXPECT_EQ(times_.Longest(kStart + seconds(40), 100), seconds(8));
  EXPECT_EQ(times_.Longest(kStart + seconds(75), 100), seconds(2));
  EXPECT_FALSE(times_.Longest(kStart + seconds(101), 100));
}

}  // namespace
}  // namespace corianderlink
