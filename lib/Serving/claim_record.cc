// JSON encoding of claim rows.
#include "corianderlink/Serving/claim_record.h"

#include "corianderlink/Support/hash.h"
#include "corianderlink/Support/json_reader.h"

namespace corianderlink {
namespace {

const char* const kStateNames[] = {"claimed", "released", "may_have_run",
                                   "done"};

}  // namespace

std::string ClaimRowKey(const AccountId& account, const std::string& key) {
  return "claims/" + Sha256Hex(account.value() + "\n" + key);
}

std::string EncodeClaimRecord(const ClaimRecord& record) {
  const Json json = {{"owner", record.owner.value()},
                     {"owner_address", record.owner_address},
                     {"nonce", record.nonce},
                     {"request_digest", record.request_digest},
                     {"state", kStateNames[static_cast<int>(record.state)]},
                     {"status", record.status},
                     {"content_type", record.content_type},
                     {"body", record.body}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ClaimRecord> DecodeClaimRecord(const std::string& text) {
  const Json json = ParseJson(text);
  try {
    ClaimRecord record;
    record.owner = ProcessId(json.at("owner").get<std::string>());
    record.owner_address = json.at("owner_address").get<std::string>();
    record.nonce = json.at("nonce").get<std::string>();
    record.request_digest = json.at("request_digest").get<std::string>();
    const std::string state = json.at("state").get<std::string>();
    int index = 0;
    while (index < 4 && state != kStateNames[index]) ++index;
    if (index == 4) return std::nullopt;
    record.state = static_cast<ClaimState>(index);
    record.status = json.at("status").get<int>();
    record.content_type = json.at("content_type").get<std::string>();
    record.body = json.at("body").get<std::string>();
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace corianderlink
