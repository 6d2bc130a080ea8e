// Splits a stream of server-sent events into events without changing bytes.
#include "corianderlink/Gateway/event_splitter.h"

#include <charconv>

namespace corianderlink {
namespace {

// Returns the offset just past the first blank line, or npos.
size_t FindEventEnd(std::string_view text) {
  size_t line_start = 0;
  while (line_start < text.size()) {
    const size_t newline = text.find('\n', line_start);
    if (newline == std::string_view::npos) return newline;
    const bool blank = newline == line_start ||
                       (newline == line_start + 1 && text[line_start] == '\r');
    if (blank) return newline + 1;
    line_start = newline + 1;
  }
  return std::string_view::npos;
}

// Returns the value of the first id field, or nothing if there is none or it is
// not a number.
std::optional<uint64_t> ParseEventId(std::string_view event) {
  size_t line_start = 0;
  while (line_start < event.size()) {
    const size_t newline = event.find('\n', line_start);
    std::string_view text = event.substr(line_start, newline - line_start);
    if (text.substr(0, 3) == "id:") {
      text.remove_prefix(3);
      while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
      uint64_t id = 0;
      const auto parsed =
          std::from_chars(text.data(), text.data() + text.size(), id);
      if (parsed.ec == std::errc()) return id;
      return std::nullopt;
    }
    if (newline == std::string_view::npos) break;
    line_start = newline + 1;
  }
  return std::nullopt;
}

}  // namespace

std::optional<RawEvent> EventSplitter::Next() {
  const size_t end = FindEventEnd(buffer_);
  if (end == std::string::npos) return std::nullopt;
  RawEvent event;
  event.bytes = buffer_.substr(0, end);
  buffer_.erase(0, end);
  event.id = ParseEventId(event.bytes);
  return event;
}

}  // namespace corianderlink
