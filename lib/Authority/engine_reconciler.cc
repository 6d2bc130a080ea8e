// Decides the next reconciliation step for one engine.
#include "corianderlink/Authority/engine_reconciler.h"

#include <algorithm>
#include <utility>

namespace corianderlink {
namespace {

// Time without a report after which the open order of a withdrawn engine is
// abandoned.
constexpr seconds kWithdrawnEngineTimeout{30};

EngineDecision Wait(std::string reason) {
  return {EngineDecision::Kind::kNone, {}, std::move(reason)};
}

EngineDecision Record(OrderRecord record, std::string reason) {
  return {EngineDecision::Kind::kWrite, std::move(record), std::move(reason)};
}

bool EngineHasOrder(const EngineReport& report, const OrderRecord& order) {
  return report.order_sequence == order.sequence;
}

// Returns why the engine must not be interrupted yet, or nullopt if an
// interruption would abort no request.
std::optional<std::string> InterruptionBlocker(const EngineView& view) {
  if (!view.may_interrupt) return "another engine is away";
  if (!view.acknowledged_at) return "waiting for entries to acknowledge";
  if (view.report_requested_at <= *view.acknowledged_at + view.max_report_lag) {
    return "waiting for a report newer than the acknowledgements";
  }
  if (view.report->in_flight > 0) return "requests in progress";
  return std::nullopt;
}

EngineDecision DecideDraining(const EngineView& view, OrderRecord order) {
  const EngineReport& report = *view.report;
  // The order was not sent yet, so it can be dropped if the engine was
  // withdrawn or its desired configuration changed.
  if (!view.desired || *view.desired != order.config) {
    order.phase = OrderPhase::kAbandoned;
    return Record(std::move(order),
                  "desired configuration changed before the order was sent");
  }
  if (order.fencing != view.fencing) {
    order.fencing = view.fencing;
    return Record(std::move(order),
                  "taken over from the previous lease holder");
  }
  if (InterruptsServing(report.config, order.config)) {
    const auto blocker = InterruptionBlocker(view);
    if (blocker) return Wait(*blocker);
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
    return Record(std::move(order),
                  "taken over from the previous lease holder");
  }
  if (EngineHasOrder(report, order) && report.order_state == "running") {
    return Wait("engine is executing the order");
  }
  const bool restarted = report.boot_id != order.boot_id;
  if (restarted && (!view.desired || *view.desired != order.config)) {
    // The restart dropped the order, and its configuration is no longer
    // desired.
    order.phase = OrderPhase::kAbandoned;
    return Record(std::move(order), "engine restarted; order abandoned");
  }
  if (restarted) {
    order.boot_id = report.boot_id;
    return Record(std::move(order),
                  "engine restarted; the order is sent again");
  }
  if (now < view.not_before) return Wait("backing off: " + report.order_reason);
  // The order was lost or failed, so the same order is sent again.  The engine
  // has to be drained first: if the original sender died, entries may have
  // resumed sending requests to it.
  if (InterruptsServing(report.config, order.config)) {
    const auto blocker = InterruptionBlocker(view);
    if (blocker) return Wait(*blocker);
  }
  return {EngineDecision::Kind::kSend, std::move(order), "send the order"};
}

}  // namespace

EngineDecision DecideEngine(const EngineView& view, Time now) {
  OrderRecord order = view.order.value_or(OrderRecord{});
  // Does not wait for a withdrawn engine that stopped answering, because its
  // open order would block changes of all other engines.
  const Duration since_report =
      now - std::max(view.report_requested_at, view.watched_since);
  if (!view.in_force && IsOpen(order.phase) &&
      since_report > kWithdrawnEngineTimeout) {
    order.phase = OrderPhase::kAbandoned;
    order.fencing = view.fencing;
    return Record(std::move(order),
                  "withdrawn engine does not answer; order abandoned");
  }
  if (!view.report) return Wait("no report from the engine");
  if (order.phase == OrderPhase::kDraining) return DecideDraining(view, order);
  if (order.phase == OrderPhase::kSent) return DecideSent(view, order, now);
  if (!view.desired) return Wait("not in force");
  const bool stale = order.phase == OrderPhase::kDone &&
                     view.report->boot_id == order.boot_id &&
                     view.report->order_sequence < order.sequence;
  if (stale) return Wait("waiting for a report newer than the last order");
  if (view.report->order_state == "running") {
    return Wait("engine is executing an order that is not ours");
  }
  if (view.report->config == *view.desired) return Wait("as wanted");
  if (now < view.not_before) return Wait("backing off");
  const bool outage = InterruptsServing(view.report->config, *view.desired);
  if (outage && !view.may_interrupt) return Wait("another engine is away");
  OrderRecord next;
  next.sequence = std::max(order.sequence, view.report->order_sequence) + 1;
  next.fencing = view.fencing;
  next.phase = OrderPhase::kDraining;
  next.config = *view.desired;
  next.boot_id = view.report->boot_id;
  return Record(std::move(next), "configuration differs from the desired one");
}

}  // namespace corianderlink
