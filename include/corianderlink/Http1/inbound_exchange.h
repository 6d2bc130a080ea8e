// One request of a client and the means to answer it.
#ifndef CORIANDERLINK_HTTP1_INBOUND_EXCHANGE_H_
#define CORIANDERLINK_HTTP1_INBOUND_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "corianderlink/Http1/message_head.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

class InboundConnection;

/// A whole request.  Answering after the client left has no effect.
class InboundExchange {
 public:
  InboundExchange(InboundConnection* connection, RequestHead head,
                  std::string body, Time received);

  const RequestHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  /// When the first byte of the request was read.
  Time received() const { return received_; }

  /// True until the answer is complete or the client left.
  bool open() const { return connection_ != nullptr; }
  /// True once the head of the answer was written.
  bool started() const { return started_; }

  /// Writes the head of an answer.  Without a length the body is chunked.
  void StartAnswer(int status, const HeaderFields& fields,
                   std::optional<uint64_t> content_length);
  void SendBody(std::string_view data);
  /// Ends the answer in order.
  void FinishAnswer();
  /// Writes a whole answer.
  void Answer(int status, const HeaderFields& fields, std::string_view body);
  /// Closes the connection, so that an unfinished answer looks cut.
  void Abort();
  /// Answer bytes that the client has not taken yet.
  size_t PendingBytes() const;

  /// Called once if the client leaves before the answer is complete.
  std::function<void()> on_client_left;
  /// Called when all written bytes were handed to the system.
  std::function<void()> on_drained;

 private:
  friend class InboundConnection;
  /// The connection ended.
  void Detach();

  InboundConnection* connection_;
  const RequestHead head_;
  const std::string body_;
  const Time received_;
  bool started_ = false;
  bool chunked_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_INBOUND_EXCHANGE_H_
