// The next step for one engine.
#include "corianderlink/Authority/engine_reconciler.h"

#include <algorithm>
#include <utility>

namespace corianderlink {
namespace {

// A withdrawn engine that is silent this long is given up.
constexpr seconds kGiveUpWithdrawn{30};

EngineDecision Wait(std::string reason) {
  return {EngineDecision::Kind::kNone, {}, std::move(reason)};
}

EngineDecision Record(OrderRecord record, std::string reason) {
  return {EngineDecision::Kind::kRecord, std::move(record), std::move(reason)};
}

bool EngineHasOrder(const EngineReport& report, const OrderRecord& order) {
  return report.order_sequence == order.sequence;
}

// Nothing if no request would be cut by interrupting the engine now, else what
// is missing for that.
std::optional<std::string> MissingForInterrupt(const EngineView& view) {
  if (!view.may_interrupt) return "another engine is away";
  if (!view.all_entries_held) return "entries have not acknowledged";
  if (view.report_asked <= *view.all_entries_held + view.max_report_lag) {
    return "a report newer than the acknowledgements";
  }
  if (view.report->in_flight > 0) return "requests in progress";
  return std::nullopt;
}

EngineDecision DecideDraining(const EngineView& view, OrderRecord order) {
  const EngineReport& report = *view.report;
  // Nothing was sent yet, so a withdrawn or changed wish may replace it.
  if (!view.wanted || *view.wanted != order.config) {
    order.phase = OrderPhase::kAbandoned;
    return Record(std::move(order), "wish changed before the order was sent");
  }
  if (order.fencing != view.fencing) {
    order.fencing = view.fencing;
    return Record(std::move(order), "adopted from an earlier lease holder");
  }
  if (InterruptsServing(report.config, order.config)) {
    const auto missing = MissingForInterrupt(view);
    if (missing) return Wait(*missing);
  }
  order.phase = OrderPhase::kSent;
  order.boot_id = report.boot_id;
  return Record(std::move(order), "drained");
}

EngineDecision DecideSent(const EngineView& view, OrderRecord order, Time now) {
  const EngineReport& report = *view.report;
  if (EngineHasOrder(report, order) && report.order_state == "done") {
    order.phase = OrderPhase::kDone;
    order.fencing = view.fencing;
    return Record(std::move(order), "engine reported done");
  }
  if (order.fencing != view.fencing) {
    order.fencing = view.fencing;
    return Record(std::move(order), "adopted from an earlier lease holder");
  }
  if (EngineHasOrder(report, order) && report.order_state == "running") {
    return Wait("engine is carrying out the order");
  }
  const bool restarted = report.boot_id != order.boot_id;
  if (restarted && (!view.wanted || *view.wanted != order.config)) {
    // The restart dropped the order and nobody wants it any more.
    order.phase = OrderPhase::kAbandoned;
    return Record(std::move(order), "engine restarted; order abandoned");
  }
  if (restarted) {
    order.boot_id = report.boot_id;
    return Record(std::move(order), "engine restarted");
  }
  if (now < view.not_before) return Wait("backing off: " + report.order_reason);
  // Lost on the way, or failed: the same order is sent again.  Its first sender
  // may have died and entries may use the engine again.
  if (InterruptsServing(report.config, order.config)) {
    const auto missing = MissingForInterrupt(view);
    if (missing) return Wait(*missing);
  }
  return {EngineDecision::Kind::kSend, std::move(order), "send"};
}

}  // namespace

EngineDecision DecideEngine(const EngineView& view, Time now) {
  OrderRecord order = view.order.value_or(OrderRecord{});
  // Nobody waits for a withdrawn engine that does not answer; its open order
  // would keep all others from changing.
  const Duration silent = now - std::max(view.report_asked, view.watched_since);
  if (!view.in_force && IsOpen(order.phase) && silent > kGiveUpWithdrawn) {
    order.phase = OrderPhase::kAbandoned;
    order.fencing = view.fencing;
    return Record(std::move(order), "withdrawn and silent; order abandoned");
  }
  if (!view.report) return Wait("no report from the engine");
  if (order.phase == OrderPhase::kDraining) return DecideDraining(view, order);
  if (order.phase == OrderPhase::kSent) return DecideSent(view, order, now);
  if (!view.wanted) return Wait("not in force");
  const bool stale = order.phase == OrderPhase::kDone &&
                     view.report->boot_id == order.boot_id &&
                     view.report->order_sequence < order.sequence;
  if (stale) return Wait("a report newer than the last order");
  if (view.report->order_state == "running") {
    return Wait("engine carries out an order that is not ours");
  }
  if (view.report->config == *view.wanted) return Wait("as wanted");
  if (now < view.not_before) return Wait("backing off");
  const bool interrupts = InterruptsServing(view.report->config, *view.wanted);
  if (interrupts && !view.may_interrupt) return Wait("another engine is away");
  OrderRecord next;
  next.sequence = std::max(order.sequence, view.report->order_sequence) + 1;
  next.fencing = view.fencing;
  next.phase = OrderPhase::kDraining;
  next.config = *view.wanted;
  next.boot_id = view.report->boot_id;
  return Record(std::move(next), "configuration differs");
}

}  // namespace corianderlink
