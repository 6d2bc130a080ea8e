// Cuts a stream of server-sent events into whole events, bytes unchanged.
#ifndef CORIANDERLINK_GATEWAY_EVENT_SPLITTER_H_
#define CORIANDERLINK_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corianderlink {

/// One event as it came, with the blank line that ends it.
struct RawEvent {
  std::string bytes;
  /// Value of its id field, if that is a number.
  std::optional<uint64_t> id;
};

class EventSplitter {
 public:
  void Feed(std::string_view bytes) { buffer_ += bytes; }
  /// The next whole event, or nothing.
  std::optional<RawEvent> Next();
  /// Bytes of an event that is not complete.
  const std::string& rest() const { return buffer_; }
  void Clear() { buffer_.clear(); }

 private:
  std::string buffer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_EVENT_SPLITTER_H_
