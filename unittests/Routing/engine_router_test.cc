// Tests for EngineRouter with late reports, OutlierEjector and RetryBudget.
#include "corianderlink/Routing/engine_router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "corianderlink/Routing/retry_budget.h"

namespace corianderlink {
namespace {

const Time kNow{seconds(1000)};
const ModelId kModel("m");

std::map<EngineId, EngineSpec> Engines(int count) {
  std::map<EngineId, EngineSpec> engines;
  for (int i = 0; i < count; ++i) {
    EngineSpec spec;
    spec.address = {"10.0.0.1", static_cast<uint16_t>(i + 1)};
    spec.zone = ZoneId("z");
    spec.models.insert(kModel);
    engines[EngineId("e" + std::to_string(i))] = spec;
  }
  return engines;
}

EngineReport Report(uint64_t in_flight = 0, double queued_tokens = 0) {
  EngineReport report;
  report.boot_id = "b";
  report.config.models.insert(kModel);
  report.max_batch = 16;
  report.prefill_tokens_per_s = 1000;
  report.step_ms = 10;
  report.in_flight = in_flight;
  report.queued_prefill_tokens = queued_tokens;
  return report;
}

RouteQuery Query(uint64_t tokens = 1000) {
  RouteQuery query;
  query.model = kModel;
  query.prompt_tokens = tokens;
  return query;
}

EngineRouter MakeRouter(int engines) {
  EngineRouter router({}, {}, ZoneId("z"));
  router.SetEngines(Engines(engines));
  for (const EngineId& id : router.EngineIds()) {
    router.OnReport(kNow, id, Report());
  }
  return router;
}

TEST(EngineRouterTest, LateReportDoesNotCountEndedRequests) {
  EngineRouter router = MakeRouter(1);
  const auto choice = router.Choose(kNow, Query());
  ASSERT_TRUE(choice);
  router.OnDispatch(kNow, *choice, Query());
  const Time requested_at = kNow + milliseconds(100);
  router.OnFirstToken(kNow + seconds(1), choice->engine, 1000);
  router.OnEnd(kNow + seconds(2), choice->engine, 1000, true, false);
  // The late report still contains the request, which has ended since.
  router.OnReport(requested_at, choice->engine, Report(1, 1000));
  const auto again = router.Choose(kNow + seconds(3), Query());
  ASSERT_TRUE(again);
  EXPECT_EQ(again->predicted_first_token, seconds(1));
}

TEST(EngineRouterTest, UnattributedLoadCountsAndDecreasesOverTime) {
  EngineRouter router = MakeRouter(1);
  const EngineId engine("e0");
  router.OnReport(kNow, engine, Report(1, 2000));
  const auto first = router.Choose(kNow, Query());
  ASSERT_TRUE(first);
  EXPECT_GT(first->predicted_first_token, seconds(3) - milliseconds(1));
  const auto later = router.Choose(kNow + seconds(2), Query());
  ASSERT_TRUE(later);
  EXPECT_LT(later->predicted_first_token, milliseconds(1100));
}

TEST(EngineRouterTest, DoesNotChooseHeldRemovedReconfiguringOrFullEngines) {
  EngineRouter router = MakeRouter(2);
  router.SetHeld({{"10.0.0.1", 1}});
  EXPECT_EQ(router.Choose(kNow, Query())->engine, EngineId("e1"));
  EngineReport reconfiguring = Report();
  reconfiguring.away = true;
  router.OnReport(kNow, EngineId("e1"), reconfiguring);
  EXPECT_FALSE(router.Choose(kNow, Query()));
  router.SetHeld({});
  router.OnReport(kNow, EngineId("e0"), Report(18));
  EXPECT_FALSE(router.Choose(kNow, Query()));
  RouteQuery urgent = Query();
  urgent.cls = PriorityClass::kUrgent;
  EXPECT_TRUE(router.Choose(kNow, urgent));
  router.SetEngines({});
  EXPECT_FALSE(router.Choose(kNow, urgent));
  EXPECT_FALSE(router.Serves(kModel, AdapterId()));
}

// Compares the choices of one entry with the exact load of each engine.
RC_GTEST_PROP(EngineRouterProperty, ChoosesTheLeastLoadedEngine, ()) {
  EngineRouter router = MakeRouter(4);
  std::map<EngineId, uint64_t> load;
  const auto sizes = *rc::gen::container<std::vector<uint64_t>>(
      12, rc::gen::inRange<uint64_t>(1, 5000));
  for (const uint64_t size : sizes) {
    const auto choice = router.Choose(kNow, Query(size));
    RC_ASSERT(choice.has_value());
    for (const EngineId& id : router.EngineIds()) {
      // A batch slot costs at most one step of 10 ms, or 10 tokens here.
      RC_ASSERT(load[choice->engine] <= load[id] + 100);
    }
    load[choice->engine] += size;
    router.OnDispatch(kNow, *choice, Query(size));
  }
}

TEST(EngineRouterTest, FindsAnEngineWithFreeCapacityInALargeFleet) {
  EngineRouter router = MakeRouter(1000);
  std::set<EngineId> chosen;
  for (int i = 0; i < 500; ++i) {
    const auto choice = router.Choose(kNow, Query());
    ASSERT_TRUE(choice);
    router.OnDispatch(kNow, *choice, Query());
    chosen.insert(choice->engine);
  }
  EXPECT_GT(chosen.size(), 300u);
}

TEST(OutlierEjectorTest, NeverEjectsMoreThanTheMaximumShare) {
  OutlierEjector ejector({});
  for (uint16_t worker = 1; worker <= 3; ++worker) {
    for (int i = 0; i < 10; ++i) ejector.OnFailure(kNow, {"w", worker}, 3);
  }
  int ejected = 0;
  for (uint16_t worker = 1; worker <= 3; ++worker) {
    ejected += ejector.IsEjected(kNow, {"w", worker}) ? 1 : 0;
  }
  EXPECT_EQ(ejected, 1);
  EXPECT_FALSE(ejector.IsEjected(kNow + seconds(31), {"w", 1}));
  EXPECT_LT(ejector.SlowStartShare(kNow + milliseconds(1100), {"w", 1}), 0.5);
}

TEST(RetryBudgetTest, LimitsRetriesToTheRatioOfSuccesses) {
  RetryBudget budget(0.1, 5);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnSuccess();
    retries += budget.TryRetry() ? 1 : 0;
  }
  EXPECT_LE(retries, 105);
}

}  // namespace
}  // namespace corianderlink
