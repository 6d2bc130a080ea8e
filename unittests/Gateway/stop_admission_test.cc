// Which requests a gateway takes while it stops.
#include "corianderlink/Gateway/stop_admission.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

constexpr Time kStart = Time{} + seconds(1000);

class StopAdmissionTest : public ::testing::Test {
 protected:
  const RouteId route_{"chat"};
  StopAdmission admission_{{seconds(1), seconds(3)}};
};

TEST_F(StopAdmissionTest, EverythingIsTakenBeforeAStop) {
  EXPECT_TRUE(admission_.Takes(kStart, route_, 500, seconds(600)));
  EXPECT_TRUE(
      admission_.Fits(kStart, route_, 500, seconds(600), Duration::zero()));
}

TEST_F(StopAdmissionTest, TimeOfOtherSizesDecidesInAStop) {
  admission_.OnServed(kStart, route_, 100, seconds(8));
  admission_.OnServed(kStart, route_, 10, seconds(1));
  admission_.Begin(kStart, seconds(8));
  EXPECT_FALSE(admission_.Takes(kStart, route_, 100, seconds(15)));
  EXPECT_TRUE(admission_.Takes(kStart, route_, 10, seconds(15)));
  EXPECT_FALSE(admission_.Takes(kStart, RouteId("new"), 10, seconds(15)));
}

TEST_F(StopAdmissionTest, RemovedRoutesAreForgotten) {
  admission_.OnServed(kStart, route_, 10, seconds(1));
  admission_.ForgetRoutesIf([](const RouteId&) { return true; });
  admission_.Begin(kStart, seconds(8));
  EXPECT_FALSE(admission_.Takes(kStart, route_, 10, seconds(15)));
}

// Guards against callers that are sent from one stopping gateway to another.
TEST_F(StopAdmissionTest, CallersComeBackOnceTheyKnowWhoElseLeaves) {
  admission_.OnPeer(kStart, "stays", false);
  EXPECT_EQ(admission_.RetryAfter(kStart), Duration::zero());
  admission_.OnPeer(kStart, "leaves", true);
  EXPECT_EQ(admission_.RetryAfter(kStart), seconds(1));
  for (int s = 1; s <= 7; ++s) {
    admission_.OnPeer(kStart + seconds(s), "leaves", true);
  }
  EXPECT_EQ(admission_.RetryAfter(kStart + milliseconds(2990)), seconds(1));
  EXPECT_EQ(admission_.RetryAfter(kStart + milliseconds(3010)),
            Duration::zero());
}

}  // namespace
}  // namespace corianderlink
