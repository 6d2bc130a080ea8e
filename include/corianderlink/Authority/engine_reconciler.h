// Reconciles one engine with its desired configuration, one order at a time.
//
// Each decision is a pure function of the observed state.  The reconciliation
// can therefore stop after any step and be continued by the next process that
// holds the lease.
#ifndef CORIANDERLINK_AUTHORITY_ENGINE_RECONCILER_H_
#define CORIANDERLINK_AUTHORITY_ENGINE_RECONCILER_H_

#include <optional>
#include <string>

#include "corianderlink/Authority/engine_report.h"
#include "corianderlink/Authority/order_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// The observed state of one engine that a decision is based on.
struct EngineView {
  /// Desired configuration.  Empty if the engine is not in force; then only an
  /// open order is completed.
  std::optional<EngineConfig> desired;
  /// False once the engine was withdrawn.
  bool in_force = true;
  /// Time at which this process began to manage the engine.
  Time watched_since{};
  /// The order row as this process read or wrote it last.
  std::optional<OrderRecord> order;
  /// The engine's latest report.
  std::optional<EngineReport> report;
  /// Time at which the request for that report was sent.
  Time report_requested_at{};
  /// Time at which the last live entry acknowledged that it dispatches no new
  /// requests to the engine and has none in progress.  Empty while an
  /// acknowledgement is missing.
  std::optional<Time> acknowledged_at;
  /// A report requested at time T shows the engine's state at
  /// T - max_report_lag or later.
  Duration max_report_lag = seconds(1);
  /// Fencing token of the lease that this process holds.
  FencingToken fencing = 0;
  /// Earliest time of the next attempt after failures.
  Time not_before{};
  /// False while another engine is being reconfigured, so that only one engine
  /// at a time is out of service.
  bool may_interrupt = true;
};

/// The next step for an engine, and the reason for it.
struct EngineDecision {
  enum class Kind {
    kNone,   ///< No action; `reason` says what is missing.
    kWrite,  ///< Write `record` to the order row.
    kSend,   ///< Send `record` to the engine.
  };
  Kind kind = Kind::kNone;
  OrderRecord record;
  /// Shown in logs and status pages.
  std::string reason;
};

/// Returns the next step for one engine.
EngineDecision DecideEngine(const EngineView& view, Time now);

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_ENGINE_RECONCILER_H_
