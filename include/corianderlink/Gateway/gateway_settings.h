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

struct GatewaySettings {
  /// Name of this instance.
  std::string instance;
  ZoneId zone;
  /// Clients' requests.
  Address front;
  /// Readiness checks.
  Address ready;
  /// Clients ask here which addresses to use.
  Address directory;
  /// Heartbeats of other gateways.
  Address peer;
  /// Metrics and the state dump.
  Address admin;
  Address store;
  std::string log_level = "info";
  /// Descriptors that the process may have open.
  int max_descriptors = 1024;
  /// From the stop signal until the process is killed.
  Duration stop_grace = seconds(8);
  /// Retry budget of all gateways together, for each service.
  RetryLimits retries;
  /// Validity of a lease on a duty.
  Duration lease = seconds(3);
  /// Longest time that callers may keep an answer of the directory.
  Duration directory_ttl_max = seconds(5);
};

/// Reads settings.  On failure returns nothing and appends every error.
std::optional<GatewaySettings> ParseGatewaySettings(
    const std::string& text, std::vector<std::string>& errors);

/// Reads and parses a file.
std::optional<GatewaySettings> LoadGatewaySettings(
    const std::string& path, std::vector<std::string>& errors);

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_GATEWAY_SETTINGS_H_
