// Decoders of the events that model engines send.
#include "corianderlink/Serving/engine_events.h"

namespace corianderlink {
namespace {

// Null if `json` is no object or has no such member.
const Json* Member(const Json& json, const char* name) {
  const auto it = json.find(name);
  return json.is_object() && it != json.end() ? &*it : nullptr;
}

uint64_t UnsignedMember(const Json& json, const char* name) {
  const Json* value = Member(json, name);
  const bool is_valid = value != nullptr && value->is_number_unsigned();
  return is_valid ? value->get<uint64_t>() : 0;
}

}  // namespace

std::string EventText(const Json& event) {
  std::string text;
  const Json* choices = Member(event, "choices");
  if (choices == nullptr || !choices->is_array()) return text;
  for (const Json& choice : *choices) {
    const Json* delta = Member(choice, "delta");
    if (delta == nullptr) continue;
    const Json* content = Member(*delta, "content");
    if (content == nullptr || !content->is_string()) continue;
    text += content->get_ref<const std::string&>();
  }
  return text;
}

std::vector<CacheEvent> ParseCacheEvents(const std::string& body) {
  std::vector<CacheEvent> events;
  const Json json = ParseJson(body);
  const Json* list = Member(json, "events");
  if (list == nullptr || !list->is_array()) return events;
  for (const Json& item : *list) {
    const Json* kind = Member(item, "kind");
    if (kind == nullptr || !kind->is_string()) continue;
    CacheEvent event;
    event.sequence = UnsignedMember(item, "sequence");
    event.piece = UnsignedMember(item, "piece");
    if (*kind == "evict") event.kind = CacheEvent::Kind::kEvict;
    if (*kind == "clear") event.kind = CacheEvent::Kind::kClear;
    events.push_back(event);
  }
  return events;
}

}  // namespace corianderlink
