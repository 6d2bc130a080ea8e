// Tests for DecideEngine.
#include "corianderlink/Authority/engine_reconciler.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

const Time kNow{seconds(1000)};

EngineView ViewWithOrder(OrderPhase phase) {
  EngineView view;
  OrderRecord order;
  order.sequence = 3;
  order.phase = phase;
  order.config.models.insert(ModelId("m"));
  order.boot_id = "b";
  view.order = order;
  view.watched_since = kNow;
  return view;
}

TEST(EngineReconcilerTest,
     AbandonsTheOrderOfAWithdrawnEngineThatDoesNotAnswer) {
  EngineView view = ViewWithOrder(OrderPhase::kSent);
  view.in_force = false;
  EXPECT_EQ(DecideEngine(view, kNow + seconds(10)).kind,
            EngineDecision::Kind::kNone);
  const EngineDecision decision = DecideEngine(view, kNow + seconds(31));
  EXPECT_EQ(decision.kind, EngineDecision::Kind::kWrite);
  EXPECT_EQ(decision.record.phase, OrderPhase::kAbandoned);
  view.in_force = true;
  EXPECT_EQ(DecideEngine(view, kNow + seconds(31)).kind,
            EngineDecision::Kind::kNone);
}

TEST(EngineReconcilerTest, SendsTheSameOrderAgainAfterAnEngineRestart) {
  EngineView view = ViewWithOrder(OrderPhase::kSent);
  view.desired = view.order->config;
  view.report.emplace();
  view.report->boot_id = "other";
  const EngineDecision after_restart = DecideEngine(view, kNow);
  ASSERT_EQ(after_restart.kind, EngineDecision::Kind::kWrite);
  EXPECT_EQ(after_restart.record.boot_id, "other");
  EXPECT_EQ(after_restart.record.sequence, 3u);
  view.order = after_restart.record;
  view.acknowledged_at = kNow;
  view.report_requested_at = kNow + seconds(2);
  EXPECT_EQ(DecideEngine(view, kNow + seconds(3)).kind,
            EngineDecision::Kind::kSend);
}

TEST(EngineReconcilerTest, WaitsForRequestsInProgressBeforeAnInterruption) {
  EngineView view = ViewWithOrder(OrderPhase::kDraining);
  view.desired = view.order->config;
  view.report.emplace();
  view.report->in_flight = 1;
  view.acknowledged_at = kNow;
  view.report_requested_at = kNow + seconds(2);
  EXPECT_EQ(DecideEngine(view, kNow + seconds(3)).reason,
            "requests in progress");
  view.report->in_flight = 0;
  EXPECT_EQ(DecideEngine(view, kNow + seconds(3)).kind,
            EngineDecision::Kind::kWrite);
  view.report_requested_at = kNow;
  EXPECT_EQ(DecideEngine(view, kNow + seconds(3)).kind,
            EngineDecision::Kind::kNone);
}

}  // namespace
}  // namespace corianderlink
