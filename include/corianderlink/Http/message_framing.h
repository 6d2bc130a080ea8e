// What the head of an HTTP/1.1 message says about where the message ends.
#ifndef CORIANDERLINK_HTTP_MESSAGE_FRAMING_H_
#define CORIANDERLINK_HTTP_MESSAGE_FRAMING_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderlink {

/// Why a head cannot be accepted.
struct FramingFault {
  /// Status of the answer to a request with such a head.
  int status = 400;
  /// For logs and errors.
  std::string reason;
};

/// Judges the head of one message by RFC 9112, sections 5 and 6.  The
/// libraries that parse messages leave one whose length they do not understand
/// without a body, and its body would be read as the next message.
class MessageFraming {
 public:
  /// Adds a header field as received; called for each one, in their order.
  void AddField(std::string_view name, std::string_view value);

  /// Returns why a request with these fields is refused.  `version` is 11 for
  /// HTTP/1.1.
  std::optional<FramingFault> RequestFault(int version) const;
  /// Returns why a response with this status and these fields is no answer.
  std::optional<FramingFault> ResponseFault(int version, int status) const;
  /// Returns why a request is refused where "chunked" has to be the whole value
  /// of the coding: readers differ in how they take a list.
  std::optional<FramingFault> SingleCodingFault() const;

  /// The message says that it has a body.
  bool announces_body() const;

 private:
  std::optional<FramingFault> LengthFault() const;

  /// Values of the fields Transfer-Encoding and Content-Length.
  std::vector<std::string> codings_;
  std::vector<std::string> lengths_;
  std::optional<std::string> malformed_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_MESSAGE_FRAMING_H_
