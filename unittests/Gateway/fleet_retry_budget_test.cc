// Tests the retry budgets of several gateways in virtual time.
#include "corianderlink/Gateway/fleet_retry_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

namespace corianderlink {
namespace {

constexpr size_t kGateways = 4;
constexpr Time kStart{seconds(1000)};
constexpr Duration kStep = milliseconds(10);
const RetryLimits kLimits{0.2, 40, seconds(10)};
const ServiceId kService("s");

/// Gateways that send as many retries as they may.
class RestartedGatewaysTest : public ::testing::Test {
 protected:
  /// All processes start; those of `initial` are the first.
  void StartAll(bool initial) {
    budgets_.clear();
    for (size_t i = 0; i < kGateways; ++i) {
      const Time whole_from = initial ? Time::min() : now_ + kLimits.window;
      budgets_.push_back(
          std::make_unique<FleetRetryBudget>(kLimits, whole_from, metrics_));
    }
  }
  /// Each gateway learns of the others after a while.
  void Run(Duration time, bool peers_known = true) {
    for (const Time end = now_ + time; now_ < end; now_ += kStep) {
      for (const auto& budget : budgets_) {
        if (peers_known) budget->OnLiveGateways(now_, kGateways);
        Step(*budget);
      }
      ExpectWithinBudget();
    }
  }
  size_t retries_in_window() const { return retries_.size(); }

  Time now_ = kStart;
  /// No retry is needed before this time.
  Time retries_from_ = kStart;

 private:
  void Step(FleetRetryBudget& budget) {
    if (++steps_ % 4 == 0) {
      budget.OnRequest(now_, kService);
      requests_.push_back(now_);
    }
    if (now_ < retries_from_) return;
    if (!budget.TryReserve(now_, kService, RequestId("r"), 1)) return;
    budget.Charge(now_, kService);
    retries_.push_back(now_);
  }
  void ExpectWithinBudget() {
    for (std::deque<Time>* times : {&requests_, &retries_}) {
      while (!times->empty() && times->front() < now_ - kLimits.window) {
        times->pop_front();
      }
    }
    ASSERT_LE(
        static_cast<double>(retries_.size()),
        kLimits.ratio * static_cast<double>(requests_.size()) + kLimits.slack);
  }

  Metrics metrics_;
  std::vector<std::unique_ptr<FleetRetryBudget>> budgets_;
  std::deque<Time> requests_;
  std::deque<Time> retries_;
  int steps_ = 0;
};

// Guards against processes that start with a budget which the processes before
// them have used.
TEST_F(RestartedGatewaysTest, GatewaysThatStartAgainKeepTheBudget) {
  StartAll(true);
  Run(seconds(15));
  for (int i = 0; i < 5; ++i) {
    StartAll(false);
    Run(milliseconds(500), false);
    Run(seconds(2));
  }
  Run(seconds(25));
  // The slack is back.
  EXPECT_GT(static_cast<double>(retries_in_window()), kLimits.slack / 2);
}

// Guards against processes that take a share for their own requests, while the
// processes before them have used that of the requests of a whole window.
TEST_F(RestartedGatewaysTest, GatewaysThatStartAgainInAFaultKeepTheBudget) {
  StartAll(true);
  retries_from_ = now_ + seconds(15);
  Run(milliseconds(18'400));
  for (int i = 0; i < 4; ++i) {
    StartAll(false);
    Run(milliseconds(500), false);
    Run(seconds(4));
  }
  Run(seconds(25));
}

TEST_F(RestartedGatewaysTest, FirstStartHasTheSlackAtOnce) {
  StartAll(true);
  Run(seconds(1));
  EXPECT_GT(static_cast<double>(retries_in_window()), kLimits.slack / 2);
}

/// A retry that was charged and given back, or was not needed, can be used.
TEST(FleetRetryBudgetTest, RetriesThatAreNotSentAreFreeAgain) {
  Metrics metrics;
  FleetRetryBudget budget({0, 3, seconds(10)}, Time::min(), metrics);
  const RequestId request("r");
  EXPECT_TRUE(budget.TryReserve(kStart, kService, request, 2));
  EXPECT_FALSE(budget.TryReserve(kStart, kService, request, 1));
  budget.Release(kService, 1);
  budget.Charge(kStart, kService);
  budget.Refund(kStart, kService);
  budget.Release(kService, 1);
  EXPECT_TRUE(budget.TryReserve(kStart, kService, request, 2));
}

/// A reserved retry counts in the window of its sending.
TEST(FleetRetryBudgetTest, ReservedRetryCountsFromTheTimeItIsSent) {
  Metrics metrics;
  FleetRetryBudget budget({0, 2, seconds(10)}, Time::min(), metrics);
  const RequestId request("r");
  ASSERT_TRUE(budget.TryReserve(kStart, kService, request, 1));
  EXPECT_FALSE(budget.TryReserve(kStart + seconds(11), kService, request, 1));
  budget.Charge(kStart + seconds(11), kService);
  EXPECT_FALSE(budget.TryReserve(kStart + seconds(20), kService, request, 1));
  EXPECT_TRUE(budget.TryReserve(kStart + seconds(22), kService, request, 1));
}

}  // namespace
}  // namespace corianderlink
