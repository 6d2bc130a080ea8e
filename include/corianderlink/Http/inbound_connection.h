// Server side of one HTTP/1.1 client connection.
#ifndef CORIANDERLINK_HTTP_INBOUND_CONNECTION_H_
#define CORIANDERLINK_HTTP_INBOUND_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "corianderlink/Http/byte_stream.h"
#include "corianderlink/Http/client_connections.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/inbound_exchange.h"
#include "corianderlink/Http/message_framing.h"
#include "corianderlink/Http/message_parser.h"
#include "corianderlink/Http/request_memory.h"

namespace corianderlink {

/// Size and time limits for client requests.
struct InboundLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = 8 * 1024 * 1024;
  /// Time from the first byte of a request to the end of its header section.
  Duration header_timeout = seconds(10);
  /// Maximum time between requests, and between reads of a request body.
  Duration idle_timeout = seconds(60);
};

/// State and callbacks that a server shares with all of its connections.
struct InboundContext {
  EventLoop& loop;
  const InboundLimits& limits;
  /// True during shutdown: each response then closes its connection.
  const bool& shutting_down;
  std::function<void(std::shared_ptr<InboundExchange>)> on_request;
  /// The connection was closed and may be destroyed.
  std::function<void(InboundConnection*)> on_closed;
  /// The connection rejected a request itself; `reason` is for logs.
  std::function<void(const std::string& reason)> on_request_rejected;
  /// Shared by all bodies; without it they are not bounded together.
  std::shared_ptr<RequestMemory> memory = nullptr;
  /// Asked when a head is complete, before its body is read: why the request is
  /// refused.
  std::function<std::optional<FramingFault>(const RequestHead&)> find_fault =
      nullptr;
};

/// Reads requests one at a time: a pipelined request is parsed only after the
/// previous one was answered.
class InboundConnection : public ByteStreamListener {
 public:
  /// `account` is the connection's part of what all connections hold.
  InboundConnection(const InboundContext& context, int fd,
                    std::unique_ptr<HeldConnection> account =
                        std::make_unique<HeldConnection>());
  ~InboundConnection() override;

  /// True while no request is being received or handled, none has arrived, and
  /// the last answer was handed to the kernel and its connection stays open.
  bool idle() const;
  /// Of answers, not handed to the kernel.
  size_t unsent_bytes() const { return stream_.PendingBytes(); }
  /// Lets an idle connection stay open for the present idle timeout, if that is
  /// longer than the one that it was given.
  void ExtendIdleTime(Time now);
  /// True if a part of a request has come and it is not handled yet.
  bool receives() const;
  /// The request in progress, if any.
  const std::shared_ptr<InboundExchange>& exchange() const { return exchange_; }
  /// Closes the connection immediately, also during a response.
  void Close();

 private:
  friend class InboundExchange;

  void OnReadable() override;
  void OnDrained() override;
  void OnPeerClosed() override;
  void OnError(const std::string& reason) override;

  void ParseInput();
  void BeginRequest();
  void BeginBody();
  /// Refuses the request if its head is not acceptable.
  bool CheckHead();
  /// Refuses the request if there is no memory for what has come of it.
  bool HoldInput();
  bool HoldBody();
  void Dispatch();
  void Reject(int status, const std::string& reason);
  void ArmTimer(Duration delay);
  void OnTimer();
  void OnResponseComplete();
  /// True while the client has read a part of its answer within a time limit.
  bool IsAnswerBeingRead(Time now);
  /// Closes the connection, once a client that is still sending has had time to
  /// read the answer.
  void CloseOnceRead();
  void ArmDiscardTimer(Time now);
  void BecomeIdle();
  /// Parses what has come of the next request, once the answer to the one
  /// before was handed to the kernel.
  void ParseNext();
  /// The room of the connection is needed for others.
  void RefuseForOthers();
  /// True if bytes of the client have arrived that no request has taken yet.
  bool HasInput() const;
  /// A body without a length comes in chunks, or ends with the connection.
  void WriteHead(int status, const HeaderFields& fields,
                 std::optional<uint64_t> content_length, bool is_chunked);

  const InboundContext& context_;
  const std::unique_ptr<HeldConnection> account_;
  ByteStream stream_;
  std::unique_ptr<RequestParser> parser_;
  // Of the request that is being received.
  HeldRequest held_;
  std::optional<Time> request_started_;
  std::shared_ptr<InboundExchange> exchange_;
  bool close_after_response_ = false;
  // The last response is complete; what the client sends from now on is no
  // request.
  bool answered_last_ = false;
  // More of a refused request has come or is to come.
  bool client_sends_on_ = false;
  // Of it.
  uint64_t discarded_bytes_ = 0;
  // Set once the client has the last answer and is still sending.
  std::optional<Time> discards_until_;
  // Of the last answer, when the timer last ran, and since when it is so.
  size_t unread_bytes_ = 0;
  Time read_at_{};
  bool closed_ = false;
  Time idle_since_{};
  Duration idle_timeout_{};
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_INBOUND_CONNECTION_H_
