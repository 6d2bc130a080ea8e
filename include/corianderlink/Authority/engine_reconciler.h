// Brings one engine to its wanted configuration, one order at a time.
//
// A pure function of what was read: it can stop after any step and be
// continued by another process that holds the lease.
#ifndef CORIANDERLINK_AUTHORITY_ENGINE_RECONCILER_H_
#define CORIANDERLINK_AUTHORITY_ENGINE_RECONCILER_H_

#include <optional>
#include <string>

#include "corianderlink/Authority/engine_report.h"
#include "corianderlink/Authority/order_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// What is known about one engine when a decision is due.
struct EngineView {
  /// Nothing if the engine is not in force; then only open orders matter.
  std::optional<EngineConfig> wanted;
  /// False once the engine was withdrawn.
  bool in_force = true;
  /// Since when this process watches the engine.
  Time watched_since{};
  /// The order row as the lease holder read or wrote it last.
  std::optional<OrderRecord> order;
  /// The engine's latest report.
  std::optional<EngineReport> report;
  /// When the request for that report was sent.
  Time report_asked{};
  /// When the last live entry acknowledged that it sends no new work and has
  /// none in progress; nothing while an acknowledgement is missing.
  std::optional<Time> all_entries_held;
  /// A report asked for at T shows the engine at T - max_report_lag or later.
  Duration max_report_lag = seconds(1);
  /// Fencing number of the lease that this process holds.
  FencingNumber fencing = 0;
  /// Earliest time of the next attempt after failures.
  Time not_before{};
  /// False while another engine is away, so that capacity stays.
  bool may_interrupt = true;
};

struct EngineDecision {
  enum class Kind {
    kNone,    ///< Nothing to do, or waiting for `reason`.
    kRecord,  ///< Write `record` in the order row.
    kSend,    ///< Send `record` to the engine.
  };
  Kind kind = Kind::kNone;
  OrderRecord record;
  std::string reason;
};

/// The next step for one engine.
EngineDecision DecideEngine(const EngineView& view, Time now);

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_ENGINE_RECONCILER_H_
