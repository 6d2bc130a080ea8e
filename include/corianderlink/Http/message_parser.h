// Incremental parsing of HTTP/1.1 messages with Boost.Beast's parser.
#ifndef CORIANDERLINK_HTTP_MESSAGE_PARSER_H_
#define CORIANDERLINK_HTTP_MESSAGE_PARSER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "corianderlink/Http/message_head.h"

namespace corianderlink {

/// Progress of a parser.
enum class ParseState {
  kHead,    ///< The head is not complete.
  kBody,    ///< The head is complete, the body is not.
  kDone,    ///< The message is complete.
  kFailed,  ///< Malformed or over a limit; reason() holds the error.
};

/// Size limits of a message; a larger one fails to parse.
struct ParserLimits {
  /// Of the header section, of a chunk's header line, and of the trailer
  /// section, each.
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = 8 * 1024 * 1024;
};

/// Parses one request.
class RequestParser {
 public:
  explicit RequestParser(ParserLimits limits);
  ~RequestParser();

  /// Parses `data` up to the end of the message and returns the number of
  /// bytes consumed.
  size_t Feed(std::string_view data);
  ParseState state() const;
  const std::string& reason() const;
  /// Status of the answer to a request that failed to parse: 413 if it exceeds
  /// a size limit, 501 if its transfer coding is not supported, else 400.
  int rejection_status() const;
  /// Complete once the state is kBody or kDone; before, it holds the fields
  /// that have come.
  const RequestHead& head() const;
  /// Moves the head out.
  RequestHead TakeHead();
  /// Decoded body data received so far; the caller may move it out.
  std::string& body();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// What a response answers.
enum class AnsweredMethod {
  kAny,
  kHead,  ///< The head says the length of a body that does not come.
};

/// Parses one response.  An interim (1xx) response counts as a message, which
/// the caller has to skip.
class ResponseParser {
 public:
  explicit ResponseParser(ParserLimits limits,
                          AnsweredMethod method = AnsweredMethod::kAny);
  ~ResponseParser();

  size_t Feed(std::string_view data);
  /// Signals that the peer closed the connection, which completes a body
  /// without a length and fails any other unfinished message.
  void FeedEof();
  ParseState state() const;
  const std::string& reason() const;
  const ResponseHead& head() const;
  std::string& body();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_MESSAGE_PARSER_H_
