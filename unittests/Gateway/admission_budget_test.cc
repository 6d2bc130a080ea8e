// Overload of many gateways whose view of each other's work is outdated.
#include "corianderlink/Gateway/admission_budget.h"

#include <gtest/gtest.h>

#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace corianderlink {
namespace {

constexpr double kCostMs = 20;

/// Engine time, in milliseconds, that all gateways together admit within one
/// second at `requests_per_s`.
double AdmittedWorkMs(size_t engines, size_t gateways, int requests_per_s) {
  std::vector<AdmissionBudget> budgets(gateways);
  std::mt19937 random(7);
  double sent_ms = 0;
  for (int i = 0; i < requests_per_s; ++i) {
    const Time now =
        Time(seconds(10)) + microseconds(1000000LL * i / requests_per_s);
    AdmissionBudget& budget = budgets[random() % gateways];
    budget.Refill(now, engines, gateways);
    if (!budget.HasBudget()) continue;
    budget.Spend(kCostMs);
    sent_ms += kCostMs;
  }
  return sent_ms;
}

TEST(AdmissionBudgetTest, OverloadIsLimitedToEngineCapacity) {
  for (const size_t gateways : {1U, 4U, 31U, 100U}) {
    const double capacity_ms = 48 * 1000;
    const double sent = AdmittedWorkMs(48, gateways, 10000);
    EXPECT_GT(sent, capacity_ms) << gateways;
    EXPECT_LT(sent, 1.4 * capacity_ms) << gateways;
  }
}

TEST(AdmissionBudgetTest, LoadBelowCapacityIsFullyAdmitted) {
  // 70% of the engines' capacity.
  const int requests = 1680;
  for (const size_t gateways : {1U, 4U, 31U}) {
    EXPECT_GT(AdmittedWorkMs(48, gateways, requests), 0.98 * requests * kCostMs)
        << gateways;
  }
}

/// Requests that were dispatched under overload, and those of them that were
/// computed in time.
struct OverloadResult {
  int sent = 0;
  int in_time = 0;
};

/// Simulates `requests_per_s` on 48 engines and 31 gateways for `duration_s`.
/// Each prompt takes `actual_ms` of an engine and is estimated to take kCostMs.
/// A gateway compares the queues of two random engines, as last reported, and
/// refuses a prompt that it predicts to be late.
OverloadResult SimulateOverload(double actual_ms, int requests_per_s,
                                int duration_s) {
  constexpr size_t kEngines = 48;
  constexpr size_t kGateways = 31;
  constexpr double kAllowedMs = 200;
  constexpr double kMaxPredictedFraction = 0.75;
  constexpr Duration kHeartbeatInterval = milliseconds(90);
  constexpr int kMeasuredFromS = 2;
  struct Completion {
    Time at{};
    size_t gateway = 0;
    double time_fraction = 0;
    bool operator>(const Completion& other) const { return at > other.at; }
  };
  std::vector<AdmissionBudget> budgets(kGateways);
  std::vector<Time> free_at(kEngines);
  std::vector<Time> reported_free_at(kEngines);
  Time reported_at{};
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      pending;
  std::mt19937 random(11);
  OverloadResult result;
  for (int i = 0; i < requests_per_s * duration_s; ++i) {
    const Time now =
        Time(seconds(10)) + microseconds(1000000LL * i / requests_per_s);
    for (; !pending.empty() && pending.top().at <= now; pending.pop()) {
      budgets[pending.top().gateway].OnPrefillComplete(
          pending.top().at, pending.top().time_fraction);
    }
    const size_t gateway = random() % kGateways;
    budgets[gateway].Refill(now, kEngines, kGateways);
    if (now - reported_at > kHeartbeatInterval) {
      reported_at = now;
      reported_free_at = free_at;
    }
    const size_t first = random() % kEngines;
    const size_t second = random() % kEngines;
    const size_t chosen =
        reported_free_at[first] < reported_free_at[second] ? first : second;
    const bool late = ToMillis(reported_free_at[chosen] - now) + kCostMs >
                      kMaxPredictedFraction * kAllowedMs;
    if (late || !budgets[gateway].HasBudget()) {
      budgets[gateway].OnRefused(now);
      continue;
    }
    budgets[gateway].Spend(kCostMs);
    Time& engine = free_at[chosen];
    engine = std::max(engine, now) + FromSeconds(actual_ms / 1000);
    const double time_fraction = ToMillis(engine - now) / kAllowedMs;
    pending.push({engine, gateway, time_fraction});
    if (now < Time(seconds(10 + kMeasuredFromS))) continue;
    ++result.sent;
    result.in_time += time_fraction <= 1 ? 1 : 0;
  }
  return result;
}

// Cost estimates that are wrong by up to half under overload: the engines stay
// busy, and most dispatched prompts are still computed in time.
TEST(AdmissionBudgetTest, WrongCostEstimatesNeitherIdleNorOverloadEngines) {
  constexpr int kDurationS = 6;
  for (const double actual_ms : {14.0, 20.0, 30.0}) {
    const OverloadResult result = SimulateOverload(actual_ms, 4000, kDurationS);
    const double capacity = 48 * 1000 / actual_ms * (kDurationS - 2);
    EXPECT_GT(result.in_time, 0.65 * capacity) << actual_ms;
    EXPECT_GT(result.in_time, 0.7 * result.sent) << actual_ms;
  }
}

}  // namespace
}  // namespace corianderlink
