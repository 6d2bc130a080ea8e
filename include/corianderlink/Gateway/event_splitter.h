// Splits a stream of server-sent events into events without changing bytes.
#ifndef CORIANDERLINK_GATEWAY_EVENT_SPLITTER_H_
#define CORIANDERLINK_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corianderlink {

/// One event as received, including the blank line that terminates it.
struct RawEvent {
  std::string bytes;
  /// Value of the event's first id field, if it is a number.
  std::optional<uint64_t> id;
};

/// Accepts a stream in chunks of any size and returns complete events.
class EventSplitter {
 public:
  void Feed(std::string_view bytes) { buffer_ += bytes; }
  /// Removes and returns the next complete event, or nothing.
  std::optional<RawEvent> Next();
  /// Bytes that have not been returned as an event.
  const std::string& rest() const { return buffer_; }
  void Clear() { std::string().swap(buffer_); }

 private:
  std::string buffer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_EVENT_SPLITTER_H_
