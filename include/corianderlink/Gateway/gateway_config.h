// Configuration of the gateway: routes, services and limits, as one version.
#ifndef CORIANDERLINK_GATEWAY_GATEWAY_CONFIG_H_
#define CORIANDERLINK_GATEWAY_GATEWAY_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Http1/inbound_connection.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

using RouteId = StrongId<struct RouteTag>;

/// Whether a request of a route may run more than once.
enum class RouteKind {
  kIdempotent,
  kNonIdempotent,
  kStream,  ///< Server-sent events; non-idempotent unless resumable.
};

/// A service that a route leads to, with its share of the requests.
struct WeightedService {
  ServiceId service;
  double weight = 1;
};

struct RouteSpec {
  RouteId id;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  /// Longest time from the arrival of a request to the end of its answer.
  Duration timeout = seconds(30);
  /// Latency objective: of the answer, or of a stream's first event.
  Duration objective = seconds(1);
  /// Longest pause between events of a stream that is still in time.
  std::optional<Duration> event_gap;
  /// Upstreams on which one request may run.
  int attempts = 1;
  /// A stream may go on at another upstream after an event.
  bool resumable = false;
  std::vector<WeightedService> services;

  bool idempotent() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

/// Properties of a service whose upstreams are model engines.
struct EngineTraits {
  uint64_t cache_tokens = 0;
  double cache_bytes_per_token = 0;
  double link_bytes_per_ms = 0;
};

struct ServicePoolSpec {
  ServiceId id;
  /// Connections that one upstream accepts from all gateways together.
  int max_connections = 100;
  std::optional<EngineTraits> engine;
};

/// One version of the configuration.
struct GatewayConfig {
  uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::map<ServiceId, ServicePoolSpec> services;
  InboundLimits limits;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_GATEWAY_CONFIG_H_
