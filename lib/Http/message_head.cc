// Header fields of HTTP/1.1 messages.
#include "corianderlink/Http/message_head.h"

#include <event2/util.h>

#include <algorithm>
#include <array>
#include <set>

namespace corianderlink {
namespace {

constexpr std::array<std::string_view, 11> kHopByHopFields = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Content-Length",
    "Proxy-Authorization",
    "Expect"};

// Splits a comma-separated field value and trims each element.
std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const size_t comma = std::min(text.find(','), text.size());
    std::string_view part = text.substr(0, comma);
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ') part.remove_suffix(1);
    if (!part.empty()) parts.emplace_back(part);
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return parts;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         evutil_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

size_t MemoryOf(const HeaderFields& fields) {
  // Short texts lie within the string.
  static const size_t kWithinString = std::string().capacity();
  const auto heap_bytes = [](const std::string& text) {
    return text.capacity() > kWithinString ? text.capacity() : 0;
  };
  size_t bytes = fields.capacity() * sizeof(HeaderField);
  for (const HeaderField& field : fields) {
    bytes += heap_bytes(field.name) + heap_bytes(field.value);
  }
  return bytes;
}

const std::string* FindField(const HeaderFields& fields,
                             std::string_view name) {
  for (const HeaderField& field : fields) {
    if (EqualsIgnoringCase(field.name, name)) return &field.value;
  }
  return nullptr;
}

void AppendFields(const HeaderFields& fields, std::string& out) {
  for (const HeaderField& field : fields) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kHopByHopFields.begin(), kHopByHopFields.end(),
      [name](std::string_view hop) { return EqualsIgnoringCase(hop, name); });
}

HeaderFields EndToEndFields(const HeaderFields& fields) {
  std::vector<std::string> nominated;
  if (const std::string* connection = FindField(fields, "Connection")) {
    nominated = SplitList(*connection);
  }
  HeaderFields kept;
  for (const HeaderField& field : fields) {
    if (IsHopByHop(field.name)) continue;
    const bool named = std::any_of(
        nominated.begin(), nominated.end(), [&](const std::string& name) {
          return EqualsIgnoringCase(name, field.name);
        });
    if (!named) kept.push_back(field);
  }
  return kept;
}

std::string_view RequestHead::Path() const {
  const std::string_view text = target;
  return text.substr(0, text.find('?'));
}

}  // namespace corianderlink
