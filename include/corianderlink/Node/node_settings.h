// Settings of the processes of one instance.
#ifndef CORIANDERLINK_NODE_NODE_SETTINGS_H_
#define CORIANDERLINK_NODE_NODE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/json_reader.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Addresses of one process.
struct ProcessAddresses {
  /// Where callers connect; entry only.
  Address listen;
  /// Where the process hears its peers.
  Address peer;
  /// Metrics, dump and, on fleet, the administration API.
  Address admin;
};

struct TimingSettings {
  Duration heartbeat = milliseconds(200);
  Duration peer_timeout = milliseconds(1500);
  Duration freshness = milliseconds(4000);
  Duration store_poll = milliseconds(1000);
  Duration instance_poll = milliseconds(1000);
  Duration lease = milliseconds(3000);
  Duration lease_guard = milliseconds(1000);
  Duration engine_poll = milliseconds(200);
  Duration engine_report_lag = milliseconds(1000);
  Duration directory_keep = milliseconds(5000);
};

struct LimitSettings {
  int64_t max_header_bytes = 16 * 1024;
  int64_t max_body_bytes = 8 * 1024 * 1024;
  int64_t max_queued_requests = 10000;
  int64_t max_stream_backlog_bytes = 1024 * 1024;
};

struct RequestSettings {
  Duration urgent_deadline = milliseconds(2000);
  Duration chat_deadline = milliseconds(2000);
  Duration bulk_deadline = milliseconds(600000);
  /// A stream without a new token for this long is taken as failed.
  Duration stream_idle = milliseconds(5000);
  Duration service_timeout = milliseconds(10000);
  double retry_budget_ratio = 0.1;
};

struct RoleSettings {
  /// 0 weighs goodput only; 1 weighs role changes most.
  double change_weight = 0.5;
  Duration minimum_dwell = seconds(10);
  Duration horizon = seconds(300);
};

struct NodeSettings {
  std::string deployment;
  std::string instance;
  ZoneId zone;
  Address platform;
  Duration platform_timeout = milliseconds(1000);
  std::string peer_key_file;
  std::string admin_token_file;
  std::string log_level = "info";
  ProcessAddresses entry;
  ProcessAddresses fleet;
  TimingSettings timing;
  LimitSettings limits;
  RequestSettings requests;
  RoleSettings roles;
};

/// Reads settings from JSON with comments.  Files named in them are taken
/// relative to `directory` and must exist.  Nothing is returned if there is
/// any error; all of them are appended.
std::optional<NodeSettings> ParseNodeSettings(const std::string& text,
                                              const std::string& directory,
                                              std::vector<JsonError>& errors);

/// Reads the file and its key and token files.  Errors are lines of
/// "file: path: expected ...".
std::optional<NodeSettings> LoadNodeSettings(const std::string& file,
                                             std::vector<std::string>& errors);

/// Whole contents of a file, or nothing.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace corianderlink

#endif  // CORIANDERLINK_NODE_NODE_SETTINGS_H_
