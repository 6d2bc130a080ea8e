// Incremental parsing of HTTP/1.1 messages with Boost.Beast's parser.
#ifndef CORIANDERLINK_HTTP1_MESSAGE_PARSER_H_
#define CORIANDERLINK_HTTP1_MESSAGE_PARSER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "corianderlink/Http1/message_head.h"

namespace corianderlink {

/// State of a parser after Feed().
enum class ParseState {
  kHead,    ///< The head is not complete.
  kBody,    ///< The head is complete, the body is not.
  kDone,    ///< The message is complete.
  kFailed,  ///< The bytes are no valid message; reason() says why.
};

/// Limits on a message.
struct ParserLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = 8 * 1024 * 1024;
};

/// Reads one request.
class RequestParser {
 public:
  explicit RequestParser(ParserLimits limits);
  ~RequestParser();

  /// Parses as much of `data` as belongs to this message and returns the
  /// number of bytes used.
  size_t Feed(std::string_view data);
  ParseState state() const;
  const std::string& reason() const;
  /// True if the message was refused for its size.
  bool too_large() const;
  /// Valid once the state is past kHead.
  const RequestHead& head() const;
  /// Body bytes decoded so far; the caller may take them.
  std::string& body();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Reads one response.  Interim (1xx) responses are for the caller to skip.
class ResponseParser {
 public:
  explicit ResponseParser(ParserLimits limits);
  ~ResponseParser();

  size_t Feed(std::string_view data);
  /// The peer closed the connection: completes a body without a length.
  void FeedEnd();
  ParseState state() const;
  const std::string& reason() const;
  const ResponseHead& head() const;
  std::string& body();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_MESSAGE_PARSER_H_
