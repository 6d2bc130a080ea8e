// Status report of an engine.
#ifndef CORIANDERLINK_AUTHORITY_ENGINE_REPORT_H_
#define CORIANDERLINK_AUTHORITY_ENGINE_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corianderlink/Authority/engine_config.h"
#include "corianderlink/Authority/lease_record.h"

namespace corianderlink {

struct EngineReport {
  /// Changes whenever the engine restarts.
  std::string boot_id;
  EngineConfig config;
  /// True while the engine is being reconfigured and accepts no requests.
  bool away = false;
  /// Accepted requests that have not ended.
  uint64_t in_flight = 0;
  /// Requests that have completed prefill and produce output tokens.
  uint64_t running = 0;
  double queued_prefill_tokens = 0;
  uint64_t max_batch = 1;
  double prefill_tokens_per_s = 1;
  /// Duration of one decoding step, in milliseconds.
  double step_ms = 1;
  /// Sequence of the last order that the engine accepted; 0 if there was none
  /// since it started.
  uint64_t order_sequence = 0;
  FencingToken order_fencing = 0;
  /// "none", "running", "done" or "failed".
  std::string order_state;
  std::string order_reason;
};

/// Parses the body of an engine's answer.  If it is malformed, sets `reason`
/// and returns nullopt.
std::optional<EngineReport> ParseEngineReport(const std::string& body,
                                              std::string& reason);

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_ENGINE_REPORT_H_
