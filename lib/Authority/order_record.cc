// JSON encoding of an order row.
#include "corianderlink/Authority/order_record.h"

#include "corianderlink/Support/json_reader.h"

namespace corianderlink {
namespace {

std::optional<OrderPhase> ParsePhase(const std::string& name) {
  if (name == "draining") return OrderPhase::kDraining;
  if (name == "sent") return OrderPhase::kSent;
  if (name == "done") return OrderPhase::kDone;
  if (name == "abandoned") return OrderPhase::kAbandoned;
  return std::nullopt;
}

}  // namespace

const char* ToString(OrderPhase phase) {
  switch (phase) {
    case OrderPhase::kDraining:
      return "draining";
    case OrderPhase::kSent:
      return "sent";
    case OrderPhase::kDone:
      return "done";
    case OrderPhase::kAbandoned:
      return "abandoned";
  }
  return "sent";
}

std::string OrderRowKey(const Address& engine) {
  return "orders/" + engine.ToString();
}

std::string EncodeOrderRecord(const OrderRecord& record) {
  return nlohmann::json{{"sequence", record.sequence},
                        {"fencing", record.fencing},
                        {"phase", ToString(record.phase)},
                        {"config", ToJson(record.config)},
                        {"boot_id", record.boot_id}}
      .dump();
}

std::optional<OrderRecord> DecodeOrderRecord(const std::string& text) {
  const auto json = ParseJson(text);
  try {
    OrderRecord record;
    record.sequence = json.at("sequence").get<uint64_t>();
    record.fencing = json.at("fencing").get<FencingToken>();
    const auto phase = ParsePhase(json.at("phase").get<std::string>());
    const auto config = ParseEngineConfig(json.at("config"));
    if (!phase || !config) return std::nullopt;
    record.phase = *phase;
    record.config = *config;
    record.boot_id = json.at("boot_id").get<std::string>();
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace corianderlink
