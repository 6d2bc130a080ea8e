// State that a fleet process keeps for one engine address.
#ifndef CORIANDERLINK_FLEET_ENGINE_STATE_H_
#define CORIANDERLINK_FLEET_ENGINE_STATE_H_

#include <map>
#include <optional>
#include <string>

#include "corianderlink/Authority/engine_reconciler.h"
#include "corianderlink/Membership/hold_barrier.h"
#include "corianderlink/Platform/table.h"
#include "corianderlink/Release/specs.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// The desired state, the latest report and the latest order of one engine.
/// Orders are written and sent only by the process that holds the lease of the
/// engine's shard.
struct EngineState {
  Address address;
  /// Empty if the present desired state does not contain the engine.
  std::optional<EngineSpec> spec;
  /// The engine's identifier in the release notes, or empty.
  std::string name;
  /// The engine's latest valid report.
  std::optional<EngineReport> report;
  /// When the request for `report` was sent.
  Time report_requested_at{};

  /// When the order row was last read from the table service.
  Time order_read_at{};
  /// The order row as last read or written, and its version.
  std::optional<OrderRecord> order;
  RowVersion order_version = 0;
  /// True while a write of the order row or an order to the engine awaits its
  /// response.  No decision is made for the engine until then.
  bool request_pending = false;
  /// Tracks since when all entries acknowledge the hold on the engine.
  HoldBarrier barrier;
  /// Earliest time of the next order attempt.
  Time not_before{};
  /// Failed order attempts since the last success, for the backoff.
  int consecutive_failures = 0;
  /// Reason for the last decision or failure, for the status and the dump.
  std::string last_reason;

  /// True if entries must not send new requests to the engine: its open order
  /// interrupts serving or may have reached the engine, or the engine is being
  /// reconfigured.
  bool NeedsHold() const {
    return order && IsOpen(order->phase) && report &&
           (InterruptsServing(report->config, order->config) || report->away ||
            order->phase == OrderPhase::kSent);
  }
};

/// The engines that a fleet process knows.
using EngineStates = std::map<Address, EngineState>;

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_ENGINE_STATE_H_
