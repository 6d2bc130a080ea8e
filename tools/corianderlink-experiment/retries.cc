// Experiment on retries.
#include "corianderlink-experiment/retries.h"

#include <random>

#include "corianderlink/Routing/outlier_ejector.h"
#include "corianderlink/Routing/retry_budget.h"

namespace corianderlink {
namespace {

constexpr int kRequests = 20000;
constexpr int kWorkers = 3;
constexpr int kNaiveRetries = 3;
constexpr double kBudgetRatio = 0.1;

struct RetryResult {
  double added_load = 0;
  double served = 0;
};

// `failing` of the three workers fail every call.
RetryResult Run(uint64_t seed, int failing, bool naive) {
  std::mt19937_64 random(seed);
  RetryBudget budget(kBudgetRatio, 10);
  OutlierEjector ejector({});
  Time now{seconds(1000)};
  int calls = 0;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    now += milliseconds(10);
    int attempts = 0;
    bool ok = false;
    uint64_t last = kWorkers;
    while (!ok) {
      uint64_t worker = random() % kWorkers;
      for (int k = 0; k < kWorkers && !naive; ++k) {
        const Address address{"w", static_cast<uint16_t>(worker + 1)};
        if (worker != last && !ejector.IsEjected(now, address)) break;
        worker = (worker + 1) % kWorkers;
      }
      last = worker;
      ++calls;
      ++attempts;
      const Address address{"w", static_cast<uint16_t>(worker + 1)};
      ok = worker >= static_cast<uint64_t>(failing);
      if (ok) {
        ejector.OnSuccess(address);
        budget.OnSuccess();
        break;
      }
      ejector.OnFailure(now, address, kWorkers);
      const bool again = naive ? attempts <= kNaiveRetries : budget.TryRetry();
      if (!again) break;
    }
    served += ok ? 1 : 0;
  }
  return {static_cast<double>(calls - kRequests) / kRequests,
          static_cast<double>(served) / kRequests};
}

}  // namespace

void RunRetries(uint64_t seed, BoundCounts& counts) {
  for (int failing = 1; failing <= kWorkers; ++failing) {
    const RetryResult ours = Run(seed, failing, false);
    const RetryResult naive = Run(seed, failing, true);
    PrintBound(counts, "retries.added_load", ours.added_load, "<=", 0.1,
               naive.added_load,
               {{"experiment", "retries"},
                {"failing_workers", failing},
                {"served", {{"ours", ours.served}, {"naive", naive.served}}},
                {"seed", seed}});
  }
}

}  // namespace corianderlink
