// The token bucket of one rate-limited upstream, and who may ask it.
#include "corianderlink/Gateway/permit_allocator.h"

#include <gtest/gtest.h>

#include <set>

#include "corianderlink/Gateway/fleet_rate_limiter.h"

namespace corianderlink {
namespace {

constexpr Time kStart = Time(seconds(1000));
const UpstreamId kUpstream("u");

Time After(int ms) { return kStart + milliseconds(ms); }

TEST(PermitAllocatorTest, GrantsTheRateAndNoBurstAtFirst) {
  PermitAllocator allocator;
  uint32_t granted = 0;
  for (int ms = 0; ms <= 10'000; ms += 10) {
    granted +=
        allocator.Take(After(ms), kUpstream, 5, milliseconds(100), {}).granted;
  }
  EXPECT_GE(granted, 49U);
  EXPECT_LE(granted, 50U);
}

TEST(PermitAllocatorTest, GrantsNothingUntilAllGatewaysKnowTheKeeper) {
  PermitAllocator allocator;
  allocator.Take(After(0), kUpstream, 1000, milliseconds(500), {});
  EXPECT_EQ(allocator.Take(After(499), kUpstream, 1000, milliseconds(500), {})
                .granted,
            0U);
  EXPECT_EQ(allocator.Take(After(501), kUpstream, 1000, milliseconds(500), {})
                .granted,
            1U);
}

TEST(PermitAllocatorTest, DeniedGatewaysAskAgainAtDifferentTimes) {
  PermitAllocator allocator;
  std::set<Duration> delays;
  for (int i = 0; i < 20; ++i) {
    delays.insert(allocator.Take(After(0), kUpstream, 100, Duration::zero(), {})
                      .retry_after);
  }
  EXPECT_EQ(delays.size(), 20U);
  EXPECT_LE(*delays.rbegin(), seconds(1));
}

TEST(PermitAllocatorTest, LessUrgentRequestsYieldToDeniedUrgentOnes) {
  PermitAllocator allocator;
  const PermitDemand urgent{1, 0};
  const PermitDemand bulk{1, 3};
  uint32_t urgent_granted = 0;
  uint32_t bulk_granted = 0;
  for (int ms = 0; ms < 10'000; ms += 20) {
    const Time now = After(ms);
    bulk_granted +=
        allocator.Take(now, kUpstream, 5, Duration::zero(), bulk).granted;
    urgent_granted +=
        allocator.Take(now, kUpstream, 5, Duration::zero(), urgent).granted;
  }
  EXPECT_GE(urgent_granted, 45U);
  EXPECT_LE(bulk_granted, 2U);
}

TEST(PermitAllocatorTest, LimitOfZeroIsAskedAboutRarely) {
  PermitAllocator allocator;
  uint32_t granted = 0;
  for (int ms = 0; ms < 40'000; ms += 10) {
    granted +=
        allocator.Take(After(ms), kUpstream, 0, Duration::zero(), {}).granted;
  }
  EXPECT_GE(granted, 8U);
  EXPECT_LE(granted, 11U);
}

/// A limiter of the gateway `self` among three, which knows a limit.
class FleetRateLimiterTest : public ::testing::Test {
 protected:
  FleetRateLimiterTest() {
    for (int i = 0; i < 3; ++i) {
      members_.push_back({"10.0.0.1", static_cast<uint16_t>(9000 + i)});
    }
    upstream_.id = kUpstream;
    upstream_.started_ms = 7;
    // Whoever keeps the limit, the one that asks is another.
    for (const Address& self : members_) {
      Reset(self);
      Acquire(0);
      if (!requests_.empty()) return;
    }
  }
  void Reset(const Address& self) {
    limiter_ = FleetRateLimiter(random_);
    limiter_.SetView({self, members_, 3, milliseconds(100)});
    limiter_.limits().OnNotice(Notice(5));
    limiter_.send_request = [this](const Address&,
                                   const PermitRequest& request) {
      requests_.push_back(request);
    };
    requests_.clear();
    decisions_.clear();
  }
  static RateLimitNotice Notice(double per_second) {
    return {kUpstream, 7, per_second, After(-20), After(-10)};
  }
  void Acquire(int ms) {
    limiter_.Acquire(After(ms), upstream_, 1,
                     [this](bool granted) { decisions_.push_back(granted); });
  }
  void Reply(int ms, uint32_t granted, Duration retry_after) {
    limiter_.OnReply(
        After(ms),
        {requests_.back().number, kUpstream, {granted, retry_after}});
  }

  std::vector<Address> members_;
  UpstreamRecord upstream_;
  RandomSource random_{1};
  FleetRateLimiter limiter_{random_};
  std::vector<PermitRequest> requests_;
  std::vector<bool> decisions_;
};

TEST_F(FleetRateLimiterTest, RequestsThatWaitAreAskedForTogether) {
  Acquire(1);
  Acquire(2);
  Acquire(3);
  ASSERT_EQ(requests_.size(), 1U);
  Reply(4, 1, {});
  ASSERT_EQ(requests_.size(), 2U);
  EXPECT_EQ(requests_.back().demand.count, 3U);
  Reply(6, 2, milliseconds(300));
  EXPECT_EQ(decisions_, (std::vector<bool>{true, true, true, false}));
  EXPECT_TRUE(limiter_.Blocks(After(7), upstream_, {1, false}));
  EXPECT_FALSE(limiter_.Blocks(After(7), upstream_, {0, false}));
  EXPECT_FALSE(limiter_.Blocks(After(310), upstream_, {1, false}));
}

TEST_F(FleetRateLimiterTest, LateReplyGrantsNothing) {
  Reply(51, 1, {});
  EXPECT_TRUE(decisions_.empty());
  limiter_.Update(After(52));
  EXPECT_EQ(decisions_, std::vector<bool>{false});
  Reply(53, 1, {});
  EXPECT_EQ(decisions_.size(), 1U);
}

// Replies go to an address, at which the next process may listen.
TEST_F(FleetRateLimiterTest, PermitOfAnEarlierProcessIsNotTaken) {
  const Address self = limiter_.view().self;
  const PermitRequest former = requests_.back();
  Reset(self);
  Acquire(1);
  ASSERT_EQ(requests_.size(), 1U);
  limiter_.OnReply(After(2), {former.number, kUpstream, {1, {}}});
  EXPECT_TRUE(decisions_.empty());
  Reply(3, 1, {});
  EXPECT_EQ(decisions_, std::vector<bool>{true});
}

TEST_F(FleetRateLimiterTest, GatewayThatDoesNotKeepTheLimitGrantsNothing) {
  PermitRequest request;
  request.limit = Notice(1000);
  for (int ms = 0; ms < 1000; ms += 10) {
    EXPECT_EQ(limiter_.OnRequest(After(ms), request).grant.granted, 0U);
  }
}

TEST_F(FleetRateLimiterTest, UnlimitedUpstreamNeedsNoPermit) {
  upstream_.started_ms = 8;
  Acquire(1);
  EXPECT_EQ(decisions_, std::vector<bool>{true});
  EXPECT_FALSE(limiter_.Blocks(After(1), upstream_, {0, true}));
}

}  // namespace
}  // namespace corianderlink
