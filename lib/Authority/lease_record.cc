// JSON encoding of a lease row.
#include "corianderlink/Authority/lease_record.h"

#include "corianderlink/Support/json_reader.h"

namespace corianderlink {

std::string EncodeLeaseRecord(const LeaseRecord& record) {
  return nlohmann::json{{"holder", record.holder.value()},
                        {"fencing", record.fencing},
                        {"nonce", record.nonce}}
      .dump();
}

std::optional<LeaseRecord> DecodeLeaseRecord(const std::string& text) {
  const auto json = ParseJson(text);
  try {
    LeaseRecord record;
    record.holder = ProcessId(json.at("holder").get<std::string>());
    record.fencing = json.at("fencing").get<FencingToken>();
    record.nonce = json.at("nonce").get<std::string>();
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace corianderlink
