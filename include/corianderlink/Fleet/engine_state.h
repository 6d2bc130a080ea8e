// What a fleet process knows and does about one engine address.
#ifndef CORIANDERLINK_FLEET_ENGINE_STATE_H_
#define CORIANDERLINK_FLEET_ENGINE_STATE_H_

#include <optional>
#include <string>

#include "corianderlink/Authority/engine_reconciler.h"
#include "corianderlink/Membership/hold_barrier.h"
#include "corianderlink/Platform/table.h"
#include "corianderlink/Release/specs.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// State of one engine at the holder of its shard's lease.
struct EngineState {
  Address address;
  /// Nothing if the engine is not in force any more.
  std::optional<EngineSpec> spec;
  std::string name;
  std::optional<EngineReport> report;
  Time report_asked{};

  /// When the order row was read.
  Time watched_since{};
  /// The order row as read or written last.
  std::optional<OrderRecord> order;
  RowVersion order_version = 0;
  /// A write of the row or a message to the engine is outstanding.
  bool busy = false;
  /// Since when all entries acknowledge the hold.
  HoldBarrier barrier;
  Time not_before{};
  int failures = 0;
  /// The last decision's reason, for status and dump.
  std::string last_reason;

  /// Entries have to keep new work away.
  bool NeedsHold() const {
    return order && IsOpen(order->phase) && report &&
           (InterruptsServing(report->config, order->config) || report->away ||
            order->phase == OrderPhase::kSent);
  }
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_ENGINE_STATE_H_
