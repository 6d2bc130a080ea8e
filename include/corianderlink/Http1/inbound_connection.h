// One client connection: reads requests one after another.
#ifndef CORIANDERLINK_HTTP1_INBOUND_CONNECTION_H_
#define CORIANDERLINK_HTTP1_INBOUND_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http1/byte_stream.h"
#include "corianderlink/Http1/inbound_exchange.h"
#include "corianderlink/Http1/message_parser.h"

namespace corianderlink {

/// What clients may send, and how long they may take.
struct InboundLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = 8 * 1024 * 1024;
  /// From the first byte of a request to the end of its head.
  Duration header_timeout = seconds(10);
  /// Longest pause between requests, and within a body.
  Duration idle_timeout = seconds(60);
};

/// What a connection needs from its server.
struct InboundContext {
  EventLoop& loop;
  const InboundLimits& limits;
  /// True while the process is stopping: answers then close the connection.
  const bool& closing;
  std::function<void(std::shared_ptr<InboundExchange>)> on_request;
  /// The connection is over and may be destroyed.
  std::function<void(InboundConnection*)> on_closed;
  /// A request was refused for its form; for logs.
  std::function<void(const std::string& reason)> on_malformed;
};

class InboundConnection : public ByteStreamListener {
 public:
  InboundConnection(const InboundContext& context, int fd);
  ~InboundConnection() override;

  /// True while no request is being read or answered.
  bool idle() const;
  /// Closes the connection now.
  void Close();

 private:
  friend class InboundExchange;

  void OnReadable() override;
  void OnDrained() override;
  void OnPeerClosed() override;
  void OnError(const std::string& reason) override;

  void ParseInput();
  void Dispatch();
  void Refuse(int status, const std::string& reason);
  void ArmTimer(Duration delay);
  void OnTimer();
  void OnAnswerComplete();
  void WriteHead(int status, const HeaderFields& fields,
                 std::optional<uint64_t> content_length);

  const InboundContext& context_;
  ByteStream stream_;
  std::unique_ptr<RequestParser> parser_;
  std::optional<Time> request_started_;
  std::shared_ptr<InboundExchange> exchange_;
  bool close_after_answer_ = false;
  bool closing_ = false;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_INBOUND_CONNECTION_H_
