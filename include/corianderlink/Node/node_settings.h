// Settings of the entry and fleet processes of one instance.
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

/// Listening addresses of one process.
struct ProcessAddresses {
  /// For clients; entry process only.
  Address listen;
  /// For messages from peers.
  Address peer;
  /// For metrics, the diagnostic dump and, in the fleet process, the
  /// administration API.
  Address admin;
};

/// Intervals and timeouts of communication between processes.
struct TimingSettings {
  /// Interval of heartbeats to peers.
  Duration heartbeat = milliseconds(200);
  /// A peer is live for this long after its last heartbeat.
  Duration peer_timeout = milliseconds(1500);
  /// Maximum time for which a process serves requests without having read the
  /// table service or heard from a majority of instances; see FreshnessGate.
  Duration freshness = milliseconds(4000);
  /// Interval between reads of the release revision in the table service.
  Duration store_poll = milliseconds(1000);
  /// Interval between reads of the platform's instance list.
  Duration instance_poll = milliseconds(1000);
  /// Validity of a lease after each write.
  Duration lease = milliseconds(3000);
  /// Additional time that a successor waits before it takes over a lease.
  Duration lease_guard = milliseconds(1000);
  /// Interval between polls of an engine's report.
  Duration engine_poll = milliseconds(200);
  /// Maximum time by which an engine's report lags behind the engine.
  Duration engine_report_lag = milliseconds(1000);
  /// Time for which clients may cache the list of entries.  An entry that shuts
  /// down keeps serving for at least this long.
  Duration directory_keep = milliseconds(5000);
};

/// Limits on the resources that requests use.
struct LimitSettings {
  int64_t max_header_bytes = 16 * 1024;
  int64_t max_body_bytes = 8 * 1024 * 1024;
  /// Requests that may wait for admission at one entry.
  int64_t max_queued_requests = 10000;
  /// Memory that each process may use, in megabytes, and its open file
  /// descriptors; no more than the system lets it open.
  int64_t memory_mb = 384;
  int64_t max_descriptors = 4096;
  /// Unsent bytes of a response stream beyond which the stream is aborted.
  int64_t max_stream_backlog_bytes = 1024 * 1024;
};

/// Deadlines, timeouts and retries of requests.
struct RequestSettings {
  /// Default deadlines of chat requests, by priority class.
  Duration urgent_deadline = milliseconds(2000);
  Duration chat_deadline = milliseconds(2000);
  Duration bulk_deadline = milliseconds(600000);
  /// A stream that produces no token for this long is considered failed.
  Duration stream_idle = milliseconds(5000);
  /// Deadline of a service call.
  Duration service_timeout = milliseconds(10000);
  /// Retries allowed per successful request; see RetryBudget.
  double retry_budget_ratio = 0.1;
};

/// Settings of the role controller; see RoleControllerOptions.
struct RoleSettings {
  /// Trade-off between goodput and the number of role changes: 0 considers
  /// goodput only, 1 avoids role changes most.
  double change_weight = 0.5;
  /// Minimum time between two role changes.
  Duration minimum_dwell = seconds(10);
  /// Time within which the gain of a role change has to exceed its cost.
  Duration horizon = seconds(300);
};

/// Settings of one instance.
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

/// Parses settings from JSON with comments.  Paths of files are relative to
/// `directory`, and the files must be readable.  Appends every error and
/// returns nothing if there is one.
std::optional<NodeSettings> ParseNodeSettings(const std::string& text,
                                              const std::string& directory,
                                              std::vector<JsonError>& errors);

/// Loads settings from `file`.  Each error has the form
/// "file: path: expected ...".
std::optional<NodeSettings> LoadNodeSettings(const std::string& file,
                                             std::vector<std::string>& errors);

/// Returns the contents of a file, or nothing if it cannot be opened.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace corianderlink

#endif  // CORIANDERLINK_NODE_NODE_SETTINGS_H_
