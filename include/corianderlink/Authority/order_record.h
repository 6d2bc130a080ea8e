// The row of an engine's latest order in the table service.
#ifndef CORIANDERLINK_AUTHORITY_ORDER_RECORD_H_
#define CORIANDERLINK_AUTHORITY_ORDER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corianderlink/Authority/engine_config.h"
#include "corianderlink/Authority/lease_record.h"
#include "corianderlink/Support/address.h"

namespace corianderlink {

/// Phase of an order.
enum class OrderPhase {
  kDraining,   ///< Entries stop sending new work; nothing was sent yet.
  kSent,       ///< May have reached the engine.
  kDone,       ///< The engine reported it done.
  kAbandoned,  ///< Never sent, or dropped by a restart of the engine.
};

/// True while the order may still be carried out.
inline bool IsOpen(OrderPhase phase) {
  return phase == OrderPhase::kDraining || phase == OrderPhase::kSent;
}

/// The phase's spelling in rows and dumps.
const char* ToString(OrderPhase phase);

/// There is one row per engine address, so an engine has one open order at a
/// time, and the sequence goes on when an address is withdrawn and added again
/// under any name.
struct OrderRecord {
  uint64_t sequence = 0;
  /// Of the holder that recorded the present phase.
  FencingNumber fencing = 0;
  OrderPhase phase = OrderPhase::kDone;
  EngineConfig config;
  /// Boot of the engine that the order is meant for.
  std::string boot_id;
};

std::string OrderRowKey(const Address& engine);
std::string EncodeOrderRecord(const OrderRecord& record);
std::optional<OrderRecord> DecodeOrderRecord(const std::string& text);

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_ORDER_RECORD_H_
