// One client request and its response.
#ifndef CORIANDERLINK_HTTP_INBOUND_EXCHANGE_H_
#define CORIANDERLINK_HTTP_INBOUND_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "corianderlink/Http/message_head.h"
#include "corianderlink/Http/request_memory.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

class InboundConnection;

/// A completely received request and the interface to respond to it.  Writing
/// a response after the client disconnected has no effect.
class InboundExchange {
 public:
  InboundExchange(InboundConnection* connection, RequestHead head,
                  std::string body, Time received_at, HeldRequest held);

  const RequestHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  /// Time at which the first byte of the request was read.
  Time received_at() const { return received_at_; }

  /// True until the response is complete or the client disconnects.
  bool open() const { return connection_ != nullptr; }
  /// True once the response head was written.
  bool response_started() const { return response_started_; }

  /// Writes the response head.  Without `content_length` the body is sent with
  /// chunked transfer encoding, or ends with the connection if the client does
  /// not read chunks.
  void StartResponse(int status, const HeaderFields& fields,
                     std::optional<uint64_t> content_length);
  /// Writes a part of the response body.
  void SendBody(std::string_view data);
  /// Completes a response that was begun with StartResponse.
  void CompleteResponse();
  /// Writes a complete response.
  void SendResponse(int status, const HeaderFields& fields,
                    std::string_view body);
  /// The connection ends once the response is complete, whatever its head said.
  void CloseAfterResponse();
  /// Of the event loop, for the connection until the response is complete.
  void SetPriority(int priority);
  /// Resets the connection, so that the client recognises an unfinished
  /// response as truncated.
  void Abort();
  /// Response bytes that were not handed to the kernel yet.
  size_t PendingBytes() const;

  /// Called once if the client disconnects before the response is complete.
  std::function<void()> on_client_disconnected;
  /// Called if the process ends soon: the request has to be answered now.
  std::function<void()> on_process_ending;
  /// Called when all response data written so far was handed to the kernel.
  std::function<void()> on_drained;

 private:
  friend class InboundConnection;
  /// Called by the connection when it closes.
  void Detach();

  InboundConnection* connection_;
  const RequestHead head_;
  const std::string body_;
  const Time received_at_;
  // The body may be sent again until this object is gone.
  const HeldRequest held_;
  bool response_started_ = false;
  bool chunked_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_INBOUND_EXCHANGE_H_
