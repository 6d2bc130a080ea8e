// What an engine reports about itself.
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
  /// Being reconfigured; takes no requests.
  bool away = false;
  uint64_t in_flight = 0;
  uint64_t running = 0;
  double queued_prefill_tokens = 0;
  uint64_t max_batch = 1;
  double prefill_tokens_per_s = 1;
  double step_ms = 1;
  /// Last order that the engine took; 0 if none since it started.
  uint64_t order_sequence = 0;
  FencingNumber order_fencing = 0;
  /// "none", "running", "done" or "failed".
  std::string order_state;
  std::string order_reason;
};

/// Reads an engine's answer; nothing with a reason if malformed.
std::optional<EngineReport> ParseEngineReport(const std::string& body,
                                              std::string& reason);

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_ENGINE_REPORT_H_
