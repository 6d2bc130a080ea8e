// What a request has that may crash its upstream.
#include "corianderlink/Gateway/suspect_key.h"

namespace corianderlink {
namespace {

constexpr std::string_view kRequestPrefix = "request-";
constexpr size_t kMaxParts = 16;

}  // namespace

std::string ToString(const SuspectKey& key) {
  const std::string id = FormatPartId(key.id);
  if (key.kind == SuspectKey::Kind::kPart) return id;
  return std::string(kRequestPrefix) + id;
}

std::optional<SuspectKey> ParseSuspectKey(std::string_view text) {
  SuspectKey key;
  if (text.substr(0, kRequestPrefix.size()) == kRequestPrefix) {
    key.kind = SuspectKey::Kind::kRequest;
    text.remove_prefix(kRequestPrefix.size());
  }
  const std::optional<uint64_t> id = ParsePartId(text);
  if (!id) return std::nullopt;
  key.id = *id;
  return key;
}

std::vector<SuspectKey> RequestSuspects::Keys() const {
  std::vector<SuspectKey> keys;
  if (digest) keys.push_back({SuspectKey::Kind::kRequest, *digest});
  for (const uint64_t part : parts) {
    keys.push_back({SuspectKey::Kind::kPart, part});
  }
  return keys;
}

RequestSuspects SuspectsOf(const Prompt& prompt) {
  RequestSuspects request;
  for (const PromptPart& part : prompt.SharedParts()) {
    if (request.parts.size() == kMaxParts) break;
    request.parts.push_back(part.id);
  }
  return request;
}

}  // namespace corianderlink
