// Results of a load run, per class.
#ifndef CORIANDERLINK_TOOLS_CORIANDERLINK_LOAD_LOAD_STATS_H_
#define CORIANDERLINK_TOOLS_CORIANDERLINK_LOAD_LOAD_STATS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/quantile.h"

namespace corianderlink {

/// Counts and latencies of one class.
struct ClassStats {
  uint64_t sent = 0;
  uint64_t served = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  /// Served with the first token or too many gaps beyond the target.
  uint64_t late = 0;
  /// Answers that differ from what the stand-in engine must have said.
  uint64_t wrong = 0;
  uint64_t tokens = 0;
  std::vector<double> first_token_ms;
  std::vector<double> gap_ms;
};

inline nlohmann::json ToJson(const ClassStats& stats, double seconds) {
  const uint64_t good = stats.served - std::min(stats.served, stats.late);
  return {{"sent", stats.sent},
          {"served", stats.served},
          {"refused", stats.refused},
          {"failed", stats.failed},
          {"late", stats.late},
          {"wrong", stats.wrong},
          {"goodput_per_s", static_cast<double>(good) / seconds},
          {"tokens_per_s", static_cast<double>(stats.tokens) / seconds},
          {"first_token_ms",
           {{"p50", Quantile(stats.first_token_ms, 0.5)},
            {"p95", Quantile(stats.first_token_ms, 0.95)},
            {"p99", Quantile(stats.first_token_ms, 0.99)}}},
          {"gap_ms",
           {{"p50", Quantile(stats.gap_ms, 0.5)},
            {"p95", Quantile(stats.gap_ms, 0.95)},
            {"p99", Quantile(stats.gap_ms, 0.99)}}}};
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_CORIANDERLINK_LOAD_LOAD_STATS_H_
