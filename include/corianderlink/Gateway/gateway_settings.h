// Settings of a gateway process, read from JSON with comments.
#ifndef CORIANDERLINK_GATEWAY_GATEWAY_SETTINGS_H_
#define CORIANDERLINK_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Gateway/retry_window.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Settings of one gateway process.  The retry budget, the shutdown grace
/// period and the directory's TTL may change at run time; a change of any other
/// setting takes effect at the next start.
struct GatewaySettings {
  /// Name of this instance.
  std::string instance;
  /// Availability zone of this instance.
  ZoneId zone;
  /// Listening address for client requests.
  Address front;
  /// Listening address for readiness checks.
  Address ready;
  /// Listening address of the directory, which tells clients the addresses of
  /// the gateways.
  Address directory;
  /// Listening address for messages of other gateways.
  Address peer;
  /// Listening address for requests that other gateways forward; port 0 if they
  /// cannot.
  Address forward;
  /// Listening address for metrics and the state dump.
  Address admin;
  /// Address of the store that holds the configuration and the upstreams.
  /// Gateways with the same store address form one deployment.
  Address store;
  /// Least severe level that is logged: debug, info, warning or error.
  std::string log_level = "info";
  /// Maximum number of open file descriptors of the process.
  int max_descriptors = 1024;
  /// Memory that the process may use, in bytes.
  size_t memory_bytes = size_t{512} * 1024 * 1024;
  /// Time from the stop signal until the process is killed.
  Duration stop_grace = seconds(8);
  /// Retry budget of each service, shared by all gateways.
  RetryLimits retries;
  /// The deployment starts for the first time: no gateway has run before.
  bool initial_start = true;
  /// Validity of the lease under which a gateway orders role changes.
  Duration lease = seconds(3);
  /// Upper bound of the TTL of directory responses.
  Duration directory_ttl_max = seconds(5);
};

/// Parses settings.  On failure returns nothing and appends every error with
/// the path of its setting.
std::optional<GatewaySettings> ParseGatewaySettings(
    const std::string& text, std::vector<std::string>& errors);

/// Reads and parses a settings file.  On failure returns nothing and appends
/// every error.
std::optional<GatewaySettings> LoadGatewaySettings(
    const std::string& path, std::vector<std::string>& errors);

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_GATEWAY_SETTINGS_H_
