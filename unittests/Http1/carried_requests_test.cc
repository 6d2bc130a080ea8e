// Which requests a connection may carry, and whose response it reads.
#include "corianderlink/Http1/carried_requests.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

TEST(CarriedRequestsTest, IdIsCarriedOnce) {
  CarriedRequests carried;
  EXPECT_TRUE(carried.CanCarry("a"));
  carried.Add("a");
  EXPECT_FALSE(carried.CanCarry("a"));
  EXPECT_TRUE(carried.CanCarry("b"));
  carried.Add("b");
  EXPECT_FALSE(carried.CanCarry("a"));
}

TEST(CarriedRequestsTest, RequestWithoutAnIdNeedsANewConnection) {
  CarriedRequests carried;
  EXPECT_TRUE(carried.CanCarry(""));
  carried.Add("a");
  EXPECT_FALSE(carried.CanCarry(""));
}

TEST(CarriedRequestsTest, ResponseWithoutAnIdCountsOnANewConnectionOnly) {
  CarriedRequests carried;
  carried.Add("a");
  EXPECT_TRUE(carried.IsResponse("a"));
  EXPECT_TRUE(carried.IsResponse(""));
  EXPECT_FALSE(carried.IsResponse("b"));
  carried.Add("b");
  EXPECT_TRUE(carried.IsResponse("b"));
  EXPECT_FALSE(carried.IsResponse(""));
  EXPECT_FALSE(carried.IsResponse("a"));
}

TEST(CarriedRequestsTest, CarriesNoMoreThanItRemembers) {
  CarriedRequests carried;
  for (size_t i = 0; i < CarriedRequests::kMaxRequests; ++i) {
    ASSERT_TRUE(carried.HasRoom());
    carried.Add(std::to_string(i));
  }
  EXPECT_FALSE(carried.HasRoom());
  EXPECT_FALSE(carried.CanCarry("new"));
}

}  // namespace
}  // namespace corianderlink
