// Client side of HTTP/1.1 connections to upstreams.
#include "upstream_connection.h"

#include <event2/util.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

#include "corianderlink/Http1/upstream_pool.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr ParserLimits kResponseLimits{64 * 1024, 64 * 1024 * 1024};
// An idle connection is not reused within this time before the keep-alive
// timeout that the upstream announced, so that no request is sent while the
// upstream closes the connection.
constexpr Duration kKeepAliveTimeoutMargin = milliseconds(500);
// An upstream may send responses to other requests without end.
constexpr int kMaxLoggedDiscards = 4;

bool AllowsBody(const std::string& method) {
  return method != "GET" && method != "HEAD" && method != "DELETE";
}

/// The handle of one call.  It does nothing once the call has ended: its
/// connection may carry another one by then.
class ConnectionCall : public UpstreamCall {
 public:
  explicit ConnectionCall(std::shared_ptr<UpstreamConnection> connection)
      : connection_(std::move(connection)), info_(connection_->info()) {}

  UpstreamConnectionInfo connection() const override { return info_; }
  void Cancel() override {
    if (IsInProgress()) connection_->Cancel();
  }
  void ProbeHost() override {
    if (IsInProgress()) connection_->ProbeHost();
  }
  std::optional<Duration> SinceAcknowledgement() const override {
    if (!IsInProgress()) return std::nullopt;
    return connection_->SinceAcknowledgement();
  }
  void PauseReading() override {
    if (IsInProgress()) connection_->PauseReading();
  }
  void ResumeReading() override {
    if (IsInProgress()) connection_->ResumeReading();
  }

 private:
  bool IsInProgress() const {
    return connection_->IsInProgress(info_.earlier_requests);
  }

  const std::shared_ptr<UpstreamConnection> connection_;
  const UpstreamConnectionInfo info_;
};

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamPool& pool, EventLoop& loop,
                                       Address address, uint64_t number)
    : pool_(&pool),
      loop_(loop),
      address_(std::move(address)),
      number_(number),
      stream_(std::make_unique<ByteStream>(loop, address_, *this)) {}

UpstreamConnection::~UpstreamConnection() = default;

std::shared_ptr<UpstreamCall> UpstreamConnection::Send(
    UpstreamRequest request, UpstreamHandlers handlers) {
  keep_alive_self_ = shared_from_this();
  handlers_ = std::move(handlers);
  method_ =
      request.method == "HEAD" ? AnsweredMethod::kHead : AnsweredMethod::kAny;
  id_ = std::move(request.id);
  named_request_ = std::move(request.named_request);
  discarded_ = 0;
  busy_ = true;
  carried_.Add(id_);
  head_delivered_ = false;
  discarding_response_ = false;
  StartParser();
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  AppendFields(request.fields, head);
  if (!request.body.empty() || AllowsBody(request.method)) {
    head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  head += "\r\n";
  stream_->Write(head);
  stream_->Write(request.body);
  if (!connected_) {
    connect_timer_ =
        loop_.After(request.connect_timeout, [this] { OnConnectTimeout(); });
  }
  return std::make_shared<ConnectionCall>(shared_from_this());
}

void UpstreamConnection::StartParser() {
  parser_ = std::make_unique<ResponseParser>(kResponseLimits, method_);
}

void UpstreamConnection::OnConnectTimeout() {
  // The connection may be established, with OnConnected yet to be called.
  if (stream_->bytes_sent()) return;
  Fail("connection not established in time");
}

void UpstreamConnection::OnConnected() {
  connected_ = true;
  connect_timer_.Reset();
  if (!busy_) return;
  // Copied, as the handler may cancel the call, which clears handlers_.
  const auto on_connected = handlers_.on_connected;
  if (on_connected) on_connected();
}

void UpstreamConnection::OnReadable() {
  if (closed_) return;
  const auto self = shared_from_this();
  if (!busy_) {
    // Unsolicited data on an idle connection belongs to no request.
    Log(LogLevel::kInfo, "unsolicited_response",
        {{"connection", number_},
         {"address", address_.ToString()},
         {"earlier_requests", carried_.count()},
         {"bytes", static_cast<uint64_t>(stream_->Input().size())},
         {"idle_ms", ToMillis(BootClock::now() - idle_since_)}});
    Close();
    return;
  }
  while (busy_ && !closed_) {
    const std::string_view input = stream_->Input();
    if (input.empty()) return;
    const size_t used = parser_->Feed(input);
    stream_->Consume(used);
    const ParseState state = parser_->state();
    if (state == ParseState::kFailed) {
      Fail("malformed response: " + parser_->reason());
      return;
    }
    if (state == ParseState::kHead) return;
    if (!head_delivered_) DeliverHead();
    if (closed_ || !busy_) return;
    if (discarding_response_) parser_->body().clear();
    if (!parser_->body().empty()) DeliverBody();
    if (closed_ || !busy_) return;
    if (state == ParseState::kDone) FinishResponse();
    if (used == 0) return;
  }
}

void UpstreamConnection::DeliverHead() {
  const ResponseHead& head = parser_->head();
  head_delivered_ = true;
  const bool is_interim = head.status < 200;
  discarding_response_ = is_interim || !carried_.IsResponse(NamedRequest(head));
  if (!is_interim && discarding_response_) LogDiscarded(head);
  // Copied, as the handler may cancel the call, which clears handlers_.
  const auto on_head = handlers_.on_head;
  if (!discarding_response_ && on_head) on_head(head);
}

std::string UpstreamConnection::NamedRequest(const ResponseHead& head) const {
  return named_request_ ? named_request_(head) : std::string();
}

void UpstreamConnection::LogDiscarded(const ResponseHead& head) {
  pool_->CountDiscardedResponse();
  if (++discarded_ > kMaxLoggedDiscards) return;
  Log(LogLevel::kInfo, "response_discarded",
      {{"request", id_},
       {"connection", number_},
       {"address", address_.ToString()},
       {"earlier_requests", carried_.count() - 1},
       {"names", NamedRequest(head)},
       {"status", head.status}});
}

void UpstreamConnection::DeliverBody() {
  const auto on_body = handlers_.on_body;
  std::string body = std::exchange(parser_->body(), {});
  if (on_body) on_body(std::move(body));
}

void UpstreamConnection::FinishResponse() {
  if (!discarding_response_) {
    CompleteCall();
    return;
  }
  // The awaited response may follow even one that ends the connection.
  if (!parser_->head().keep_alive) ends_after_call_ = true;
  StartParser();
  head_delivered_ = false;
  discarding_response_ = false;
}

void UpstreamConnection::CompleteCall() {
  const ResponseHead& head = parser_->head();
  // An upstream may respond before it has read all of a large request.  The
  // rest would still have to be sent, so the connection is not reusable.
  // Calls without an id open connections, which nothing else would close.
  const bool reusable = head.keep_alive && !ends_after_call_ && !id_.empty() &&
                        carried_.HasRoom() && stream_->PendingBytes() == 0 &&
                        stream_->Input().empty();
  ApplyKeepAliveTimeout(head);
  busy_ = false;
  const UpstreamHandlers handlers = std::exchange(handlers_, {});
  if (reusable) {
    idle_since_ = BootClock::now();
    stream_->ResumeReading();
    pool_->AddIdleConnection(shared_from_this());
  } else {
    Close();
  }
  if (handlers.on_end) handlers.on_end();
}

void UpstreamConnection::ApplyKeepAliveTimeout(const ResponseHead& head) {
  const std::string* value = FindField(head.fields, "Keep-Alive");
  if (value == nullptr) return;
  const size_t at = value->find("timeout=");
  if (at == std::string::npos) return;
  int timeout_s = 0;
  const char* begin = value->data() + at + sizeof("timeout=") - 1;
  std::from_chars(begin, value->data() + value->size(), timeout_s);
  usable_until_ =
      BootClock::now() + seconds(timeout_s) - kKeepAliveTimeoutMargin;
}

void UpstreamConnection::OnPeerClosed() {
  const auto self = shared_from_this();
  if (closed_) return;
  if (!busy_) {
    Close();
    return;
  }
  OnReadable();
  if (closed_ || !busy_) return;
  const bool head_received = head_delivered_;
  parser_->FeedEof();
  const bool complete = head_received && !discarding_response_ &&
                        parser_->state() == ParseState::kDone;
  if (!complete) {
    Fail("upstream closed the connection");
    return;
  }
  // An upstream that stops before it has the whole request may have failed, and
  // the connection's end is all that says that the body is complete.
  if (!stream_->EndedInOrder()) {
    Fail("upstream closed the connection before it had the request");
    return;
  }
  // keep_alive is false for a body that ends with the connection, so
  // CompleteCall closes this one.
  CompleteCall();
}

void UpstreamConnection::OnError(const std::string& reason) {
  if (closed_) return;
  const auto self = shared_from_this();
  if (busy_ && connected_) {
    // The response may have come before the connection failed, all of it.
    stream_->ReadRemaining();
    OnReadable();
  }
  if (closed_) return;
  if (!busy_) {
    Close();
    return;
  }
  if (connected_) {
    Fail("connection failed: " + reason);
    return;
  }
  const bool refused = reason == evutil_socket_error_to_string(ECONNREFUSED);
  Fail("connection refused: " + reason, refused);
}

void UpstreamConnection::Fail(const std::string& reason, bool refused) {
  const auto self = shared_from_this();
  busy_ = false;
  const UpstreamHandlers handlers = std::exchange(handlers_, {});
  // What the kernel has accepted may reach the upstream, whatever happens to
  // the connection.
  const bool sent = stream_->bytes_sent();
  Close();
  if (!handlers.on_fail) return;
  Outcome outcome =
      sent ? Outcome::MayHaveRun(reason) : Outcome::NotRun(reason);
  outcome.connection_refused = refused;
  handlers.on_fail(outcome);
}

void UpstreamConnection::ProbeHost() { stream_->ProbeHost(); }

std::optional<Duration> UpstreamConnection::SinceAcknowledgement() const {
  return stream_->SinceAcknowledgement();
}

void UpstreamConnection::PauseReading() { stream_->PauseReading(); }

void UpstreamConnection::ResumeReading() { stream_->ResumeReading(); }

void UpstreamConnection::Cancel() {
  const auto self = shared_from_this();
  busy_ = false;
  handlers_ = {};
  stream_->ResetOnClose();
  Close();
}

void UpstreamConnection::Close() {
  if (closed_) return;
  closed_ = true;
  connect_timer_.Reset();
  stream_->Stop();
  const auto self = shared_from_this();
  pool_->RemoveConnection(this);
  // The stream or the parser may be on the call stack, so the loop frees the
  // stream later.
  loop_.Post([self] { self->stream_.reset(); });
  keep_alive_self_.reset();
}

}  // namespace corianderlink
