// JSON encoding of a lease row.
#include "corianderlink/Authority/lease_record.h"

#include "corianderlink/Support/json_reader.h"

namespace corianderlink {
namespace {

// Beyond it, a row is malformed: holders count up from what they read.
constexpr FencingToken kMaxFencing = FencingToken{1} << 53;

}  // namespace

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
    const Json& fencing = json.at("fencing");
    if (!fencing.is_number_unsigned()) return std::nullopt;
    record.fencing = fencing.get<FencingToken>();
    if (record.fencing > kMaxFencing) return std::nullopt;
    record.nonce = json.at("nonce").get<std::string>();
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace corianderlink
