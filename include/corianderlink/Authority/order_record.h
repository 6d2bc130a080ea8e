// Contents of the table row with an engine's latest order.
#ifndef CORIANDERLINK_AUTHORITY_ORDER_RECORD_H_
#define CORIANDERLINK_AUTHORITY_ORDER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corianderlink/Authority/engine_config.h"
#include "corianderlink/Authority/lease_record.h"
#include "corianderlink/Support/address.h"

namespace corianderlink {

/// Life cycle of an order.
enum class OrderPhase {
  kDraining,   ///< Entries stop sending new requests; the order was not sent.
  kSent,       ///< The order may have reached the engine.
  kDone,       ///< The engine reported that it completed the order.
  kAbandoned,  ///< The order was not sent, or an engine restart dropped it.
};

/// Returns true while the engine may still execute the order.
inline bool IsOpen(OrderPhase phase) {
  return phase == OrderPhase::kDraining || phase == OrderPhase::kSent;
}

/// Returns the name of the phase in rows and dumps.
const char* ToString(OrderPhase phase);

/// The latest order for an engine.  There is one row per engine address, so an
/// engine has at most one open order, and the sequence continues when an
/// address is withdrawn and added again under any name.
struct OrderRecord {
  uint64_t sequence = 0;
  /// Fencing token of the lease holder that wrote the current phase.
  FencingToken fencing = 0;
  OrderPhase phase = OrderPhase::kDone;
  EngineConfig config;
  /// Boot identifier of the engine process that the order is sent to.
  std::string boot_id;
};

std::string OrderRowKey(const Address& engine);
std::string EncodeOrderRecord(const OrderRecord& record);
/// Returns nullopt if `text` is malformed.
std::optional<OrderRecord> DecodeOrderRecord(const std::string& text);

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_ORDER_RECORD_H_
