// Splits a byte stream into server-sent events (WHATWG HTML, section 9.2).
#ifndef CORIANDERLINK_SERVING_SSE_PARSER_H_
#define CORIANDERLINK_SERVING_SSE_PARSER_H_

#include <optional>
#include <string>

namespace corianderlink {

/// One event: its id, if any, and its data.
struct SseEvent {
  std::string id;
  std::string data;
};

class SseParser {
 public:
  /// Appends received bytes.  False if the buffer then exceeds 1 MiB; the
  /// stream cannot be parsed any further.
  bool Feed(const std::string& bytes);
  /// Returns the next complete event, or nothing.
  std::optional<SseEvent> Next();

 private:
  static constexpr size_t kMaxEventBytes = 1024 * 1024;

  std::string buffer_;
  size_t consumed_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_SSE_PARSER_H_
