// Splits a byte stream into server-sent events.
#include "corianderlink/Serving/sse_parser.h"

#include <string_view>

namespace corianderlink {
namespace {

// Returns the value of a "field: value" line, without the optional space.
std::string_view FieldValue(std::string_view line, size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  return value;
}

SseEvent ParseEvent(std::string_view block) {
  SseEvent event;
  bool has_data = false;
  while (!block.empty()) {
    const size_t end = block.find('\n');
    std::string_view line = block.substr(0, end);
    block = end == std::string_view::npos ? std::string_view()
                                          : block.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    const std::string_view field = line.substr(0, colon);
    const std::string_view value = FieldValue(line, colon);
    if (field == "id") event.id = value;
    if (field != "data") continue;
    if (has_data) event.data += '\n';
    event.data += value;
    has_data = true;
  }
  return event;
}

}  // namespace

bool SseParser::Feed(const std::string& bytes) {
  if (consumed_ > 0) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  buffer_ += bytes;
  return buffer_.size() <= kMaxEventBytes;
}

std::optional<SseEvent> SseParser::Next() {
  const size_t end = buffer_.find("\n\n", consumed_);
  if (end == std::string::npos) return std::nullopt;
  const std::string_view all = buffer_;
  const std::string_view block = all.substr(consumed_, end - consumed_);
  SseEvent event = ParseEvent(block);
  consumed_ = end + 2;
  return event;
}

}  // namespace corianderlink
