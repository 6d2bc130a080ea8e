// Orders to engines, in the platform's format.
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

/// What an engine says of itself.
struct EngineStatus {
  /// Orders accepted since its start.
  uint64_t orders_accepted = 0;
  /// An order is being carried out.
  bool busy = false;
  UpstreamRole role = UpstreamRole::kDecode;
};

/// An order to change the role of an engine.
struct RoleOrder {
  UpstreamRecord engine;
  UpstreamRole role = UpstreamRole::kPrefill;
  std::string holder;
  FencingToken fencing = 0;
  /// The engine refuses unless it has accepted just this many orders.
  uint64_t expected_orders = 0;
};

struct OrderCodec {
  std::function<UpstreamRequest(const UpstreamRecord&)> encode_status_request;
  std::function<std::optional<EngineStatus>(const std::string& body)>
      decode_status;
  std::function<UpstreamRequest(const RoleOrder&)> encode_order;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ORDER_CODEC_H_
