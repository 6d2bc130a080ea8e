// Floods on many gateways that do not see one another's work.
#include "corianderlink/Gateway/admission_share.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace corianderlink {
namespace {

constexpr double kCostMs = 20;

/// Engine time that all gateways send in a second of a flood.
double Flood(size_t engines, size_t gateways, int requests_per_s) {
  std::vector<AdmissionShare> shares(gateways);
  std::mt19937 random(7);
  double sent_ms = 0;
  for (int i = 0; i < requests_per_s; ++i) {
    const Time now =
        Time(seconds(10)) + microseconds(1000000LL * i / requests_per_s);
    AdmissionShare& share = shares[random() % gateways];
    share.Earn(now, engines, gateways);
    if (!share.Allows()) continue;
    share.Spend(kCostMs);
    sent_ms += kCostMs;
  }
  return sent_ms;
}

TEST(AdmissionShareTest, FloodIsCutToWhatTheEnginesCompute) {
  for (const size_t gateways : {1U, 4U, 31U, 100U}) {
    const double capacity_ms = 48 * 1000;
    const double sent = Flood(48, gateways, 10000);
    EXPECT_GT(sent, capacity_ms) << gateways;
    EXPECT_LT(sent, 1.4 * capacity_ms) << gateways;
  }
}

TEST(AdmissionShareTest, LoadBelowCapacityPassesWhole) {
  // 70% of what the engines compute.
  const int requests = 1680;
  for (const size_t gateways : {1U, 4U, 31U}) {
    EXPECT_GT(Flood(48, gateways, requests), 0.98 * requests * kCostMs)
        << gateways;
  }
}

}  // namespace
}  // namespace corianderlink
