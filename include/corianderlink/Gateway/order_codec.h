// Requests that read an engine's state and order a change of its role.
//
// The platform adapter supplies the formats.
#ifndef CORIANDERLINK_GATEWAY_ORDER_CODEC_H_
#define CORIANDERLINK_GATEWAY_ORDER_CODEC_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "corianderlink/Authority/lease_record.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Http1/upstream_call.h"

namespace corianderlink {

/// State that an engine reports.
struct EngineStatus {
  /// Number of orders that the engine has accepted since its start.
  uint64_t orders_accepted = 0;
  /// The engine is carrying out an order.
  bool busy = false;
  UpstreamRole role = UpstreamRole::kDecode;
};

/// An order to change the role of an engine.
struct RoleOrder {
  UpstreamRecord engine;
  UpstreamRole role = UpstreamRole::kPrefill;
  /// Process that holds the lease, and the fencing token of its tenure.
  std::string holder;
  FencingToken fencing = 0;
  /// The engine rejects the order unless its `orders_accepted` equals this.
  uint64_t expected_orders = 0;
};

/// Encodes requests to engines and decodes their responses.
struct OrderCodec {
  /// A health check of an upstream, whose service has the path for it.
  std::function<UpstreamRequest(const UpstreamRecord&, const std::string& path)>
      encode_health_check;
  std::function<UpstreamRequest(const UpstreamRecord&)> encode_status_request;
  /// Returns nothing if the body is malformed.
  std::function<std::optional<EngineStatus>(const std::string& body)>
      decode_status;
  std::function<UpstreamRequest(const RoleOrder&)> encode_order;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ORDER_CODEC_H_
