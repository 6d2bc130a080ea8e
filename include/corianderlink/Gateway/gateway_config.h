// Routes, services and limits of the gateway, as one versioned configuration.
//
// The configuration comes from the store and changes at run time; the settings
// of the process are in gateway_settings.h.
#ifndef CORIANDERLINK_GATEWAY_GATEWAY_CONFIG_H_
#define CORIANDERLINK_GATEWAY_GATEWAY_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Http/inbound_connection.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

using RouteId = StrongId<struct RouteTag>;

/// Whether a request of a route may run more than once.  An idempotent request
/// is retried even if an earlier attempt may have run.
enum class RouteKind {
  kIdempotent,
  kNonIdempotent,
  kStream,  ///< Server-sent events; idempotent only if resumable.
};

/// A target service of a route.
struct WeightedService {
  ServiceId service;
  /// Share of the route's requests, relative to the weights of its other
  /// services.
  double weight = 1;
};

/// A route: which requests it matches, how they are handled, and the services
/// that they are sent to.
struct RouteSpec {
  RouteId id;
  /// Compared with the request's host without regard to case.
  std::string host;
  /// Prefix of the request's path; begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  /// Maximum time from the arrival of a request to the end of its response.
  Duration timeout = seconds(30);
  /// Latency objective for the response, or for the first event of a stream.
  Duration objective = seconds(1);
  /// Latency objective for the time between two events of a stream.
  std::optional<Duration> event_gap_objective;
  /// Maximum number of attempts in which an idempotent request may run.
  /// Attempts that certainly did not run are not counted.
  int max_runs = 1;
  /// Rank among the requests of a service when capacity is short; 0 is the most
  /// urgent.
  int priority = 0;
  /// A stream can be resumed after any of its events, at any upstream.
  bool resumable = false;
  std::vector<WeightedService> services;

  bool idempotent() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

/// Properties of a service whose upstreams are model engines.
struct EngineTraits {
  /// Capacity of an engine's KV cache, in tokens.
  uint64_t cache_tokens = 0;
  /// Size of the KV cache of one token.
  double cache_bytes_per_token = 0;
  /// Bandwidth of the link over which engines transfer KV caches.
  double link_bytes_per_ms = 0;
};

/// A service and the properties that all its upstreams share.
struct ServicePoolSpec {
  ServiceId id;
  /// Maximum number of connections to one upstream, over all gateways.
  int max_connections = 100;
  /// Path of health checks; empty if the upstreams have none.
  std::string health_path;
  /// Present if the upstreams are model engines.
  std::optional<EngineTraits> engine;
};

/// One version of the configuration.
struct GatewayConfig {
  /// Increases with every change; an older version is ignored.
  uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::map<ServiceId, ServicePoolSpec> services;
  /// Limits of client connections.
  InboundLimits limits;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_GATEWAY_CONFIG_H_
