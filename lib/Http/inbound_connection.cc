// Server side of HTTP/1.1 client connections.
#include "corianderlink/Http/inbound_connection.h"

#include <algorithm>
#include <utility>

namespace corianderlink {
namespace {

// Maximum bytes buffered from a client while its request is being handled, or
// its answer not read.
constexpr size_t kMaxReadAheadBytes = 4 * 1024;
// Read from a socket beyond a head that is not complete.
constexpr size_t kReadBytes = 16 * 1024;
// An incomplete head lies in the input once, and a second time while it is made
// contiguous.
constexpr uint64_t kInputCopies = 2;
// Of a head: the client's, and the one that is passed on.
constexpr uint64_t kHeadCopies = 2;
// In the kernel, of a client that sends more than is read.
constexpr uint64_t kFloodBytes = 32 * 1024;
// A client that has read nothing of its answer for this long has gone.
constexpr Duration kMaxUnreadTime = seconds(30);
// A client that is still sending a request has to read its refusal: input is
// discarded until none has come for the first time, or for the second in all.
constexpr Duration kMaxRefusedInputGap = seconds(1);
constexpr Duration kMaxRefusedInputTime = seconds(30);
// What is discarded at least, in bytes; up to the length of a body if that is
// longer.  Who sends more has sent what no client within the limits does.
constexpr uint64_t kMinRefusedInputBytes = 1024 * 1024;
// As the bodies of others have been passed on.
constexpr char kRetryAfterSeconds[] = "1";

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

}  // namespace

InboundConnection::InboundConnection(const InboundContext& context, int fd,
                                     std::unique_ptr<HeldConnection> account)
    : context_(context),
      account_(std::move(account)),
      stream_(context.loop, fd, *this) {
  account_->SetEviction({[this] {
                           stream_.ResetOnClose();
                           Close();
                         },
                         [this] { RefuseForOthers(); }});
  stream_.SetReadLimit(kReadBytes);
  BecomeIdle();
}

InboundConnection::~InboundConnection() {
  if (exchange_) exchange_->Detach();
}

bool InboundConnection::idle() const {
  return exchange_ == nullptr && !request_started_ && !answered_last_ &&
         stream_.PendingBytes() == 0 && !HasInput();
}

bool InboundConnection::receives() const {
  return exchange_ == nullptr && !answered_last_ &&
         stream_.PendingBytes() == 0 && (request_started_ || HasInput());
}

bool InboundConnection::HasInput() const {
  return stream_.InputBytes() > 0 || stream_.HasUnreadInput();
}

void InboundConnection::BecomeIdle() {
  idle_since_ = BootClock::now();
  idle_timeout_ = context_.limits.idle_timeout;
  account_->Enter(idle_since_, ConnectionPhase::kIdle);
  ArmTimer(idle_timeout_);
}

void InboundConnection::ExtendIdleTime(Time now) {
  // Input that is not parsed yet is about to become a request.
  if (!idle()) return;
  if (context_.limits.idle_timeout <= idle_timeout_) return;
  idle_timeout_ = context_.limits.idle_timeout;
  ArmTimer(std::max(Duration::zero(), idle_since_ + idle_timeout_ - now));
}

void InboundConnection::ArmTimer(Duration delay) {
  timer_ = context_.loop.After(delay, [this] { OnTimer(); });
}

void InboundConnection::OnTimer() {
  if (exchange_) return;
  if (request_started_) {
    Reject(408, "request not received in time");
    return;
  }
  const bool has_next = !answered_last_ && stream_.InputBytes() > 0;
  if (has_next && stream_.PendingBytes() == 0) {
    OnReadable();
    return;
  }
  // A client that reads slowly has yet to receive its answer.
  if (IsAnswerBeingRead(BootClock::now())) {
    ArmTimer(idle_timeout_);
    return;
  }
  Close();
}

bool InboundConnection::IsAnswerBeingRead(Time now) {
  const size_t unread = stream_.PendingBytes();
  if (unread != unread_bytes_) {
    unread_bytes_ = unread;
    read_at_ = now;
  }
  return unread > 0 && now - read_at_ < kMaxUnreadTime;
}

void InboundConnection::Close() {
  if (closed_) return;
  closed_ = true;
  account_->Close();
  held_ = HeldRequest();
  stream_.DeliverAfterClose();
  timer_.Reset();
  const std::shared_ptr<InboundExchange> exchange = std::move(exchange_);
  exchange_ = nullptr;
  if (exchange) {
    exchange->Detach();
    // Moved to a local, as the callback may replace itself.
    const auto on_client_disconnected =
        std::exchange(exchange->on_client_disconnected, nullptr);
    if (on_client_disconnected) on_client_disconnected();
  }
  context_.on_closed(this);
}

void InboundConnection::OnReadable() {
  if (closed_) return;
  if (answered_last_) {
    // The rest of a request that was refused, or a request that the client sent
    // before it read that the connection closes.
    discarded_bytes_ += stream_.InputBytes();
    stream_.Consume(stream_.InputBytes());
    client_sends_on_ = true;
    const uint64_t most =
        std::max(context_.limits.max_body_bytes, kMinRefusedInputBytes);
    if (discarded_bytes_ > most) {
      Close();
      return;
    }
    // A planned stop waits for what the timer has left only.
    const bool waits = discards_until_ && !context_.shutting_down;
    if (waits) ArmDiscardTimer(BootClock::now());
    return;
  }
  // The next request is parsed once the answer before is on its way.
  const bool is_answer_unsent = !request_started_ && stream_.PendingBytes() > 0;
  if (exchange_ || is_answer_unsent) {
    if (stream_.InputBytes() < kMaxReadAheadBytes) return;
    const Time now = BootClock::now();
    const uint64_t held = exchange_
                              ? kHeadCopies * MemoryOf(exchange_->head().fields)
                              : stream_.PendingBytes();
    account_->Flooded(now);
    account_->Hold(now, held + kFloodBytes);
    return;
  }
  ParseInput();
}

void InboundConnection::ParseInput() {
  const std::string_view input = stream_.Input();
  if (input.empty()) return;
  if (!request_started_) BeginRequest();
  const ParseState previous_state = parser_->state();
  const size_t used = parser_->Feed(input);
  stream_.Consume(used);
  account_->Received(used);
  const ParseState state = parser_->state();
  if (state == ParseState::kFailed) {
    Reject(parser_->rejection_status(), parser_->reason());
    return;
  }
  const bool is_new_head =
      state != ParseState::kHead && previous_state == ParseState::kHead;
  if (is_new_head && !CheckHead()) return;
  if (!HoldInput() || state == ParseState::kHead) return;
  if (!HoldBody()) return;
  if (state == ParseState::kDone) {
    Dispatch();
    return;
  }
  if (is_new_head) BeginBody();
  ArmTimer(context_.limits.idle_timeout);
}

void InboundConnection::BeginRequest() {
  request_started_ = BootClock::now();
  account_->Enter(*request_started_, ConnectionPhase::kReceiving);
  held_ = HeldRequest(context_.memory);
  parser_ = std::make_unique<RequestParser>(ParserLimits{
      context_.limits.max_header_bytes, context_.limits.max_body_bytes});
  stream_.SetReadLimit(context_.limits.max_header_bytes + kReadBytes);
  ArmTimer(context_.limits.header_timeout);
}

void InboundConnection::BeginBody() {
  // The string would grow to twice the length otherwise.
  parser_->body().reserve(parser_->head().content_length.value_or(0));
  const std::string* expect = FindField(parser_->head().fields, "Expect");
  if (expect != nullptr) stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
}

bool InboundConnection::CheckHead() {
  if (!context_.find_fault) return true;
  const auto fault = context_.find_fault(parser_->head());
  if (!fault) return true;
  client_sends_on_ = parser_->state() != ParseState::kDone;
  Reject(fault->status, fault->reason);
  return false;
}

bool InboundConnection::HoldInput() {
  const uint64_t bytes = kInputCopies * stream_.InputBytes() +
                         kHeadCopies * MemoryOf(parser_->head().fields);
  const bool is_held = account_->Hold(BootClock::now(), bytes);
  // Others that were evicted may have led to this one's end.
  if (closed_) return false;
  if (is_held) return true;
  client_sends_on_ = parser_->state() != ParseState::kDone;
  Reject(503, "no memory for the head");
  return false;
}

bool InboundConnection::HoldBody() {
  const uint64_t announced = parser_->head().content_length.value_or(0);
  const uint64_t received = parser_->body().size();
  const uint64_t bytes = std::max(announced, received);
  const bool is_held =
      held_.TryHold(bytes) ||
      (account_->MakeBodyRoom(BootClock::now(), held_.Missing(bytes)) &&
       held_.TryHold(bytes));
  if (closed_) return false;
  if (is_held) {
    account_->SetBody(bytes);
    return true;
  }
  client_sends_on_ = parser_->state() != ParseState::kDone;
  Reject(503, "no memory for the body");
  return false;
}

void InboundConnection::RefuseForOthers() {
  // Only a request that is being received holds a body that can be given back.
  if (closed_ || exchange_ || !request_started_) return;
  client_sends_on_ = true;
  Reject(503, "no memory for a body that comes slowly");
}

void InboundConnection::Dispatch() {
  timer_.Reset();
  account_->Enter(BootClock::now(), ConnectionPhase::kHandled);
  close_after_response_ = !parser_->head().keep_alive;
  exchange_ = std::make_shared<InboundExchange>(
      this, parser_->TakeHead(), std::move(parser_->body()), *request_started_,
      std::move(held_));
  parser_.reset();
  stream_.SetReadLimit(kMaxReadAheadBytes);
  context_.on_request(exchange_);
}

void InboundConnection::Reject(int status, const std::string& reason) {
  context_.on_request_rejected(reason);
  close_after_response_ = true;
  timer_.Reset();
  HeaderFields fields;
  if (status == 503) fields.push_back({"Retry-After", kRetryAfterSeconds});
  WriteHead(status, fields, 0, false);
  OnResponseComplete();
}

void InboundConnection::WriteHead(int status, const HeaderFields& fields,
                                  std::optional<uint64_t> content_length,
                                  bool is_chunked) {
  const bool ends_with_connection = !content_length && !is_chunked;
  if (context_.shutting_down || ends_with_connection) {
    close_after_response_ = true;
  }
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                     ReasonPhrase(status) + "\r\n";
  AppendFields(fields, head);
  if (content_length) {
    head += "Content-Length: " + std::to_string(*content_length) + "\r\n";
  }
  if (is_chunked) head += "Transfer-Encoding: chunked\r\n";
  if (close_after_response_) head += "Connection: close\r\n";
  head += "\r\n";
  stream_.Write(head);
}

void InboundConnection::OnResponseComplete() {
  exchange_ = nullptr;
  stream_.SetPriority(kDefaultPriority);
  request_started_.reset();
  parser_.reset();
  held_ = HeldRequest();
  unread_bytes_ = 0;
  const Time now = BootClock::now();
  const size_t unsent = stream_.PendingBytes();
  account_->Charge(unsent);
  account_->Enter(now, ConnectionPhase::kUnread, unsent);
  if (close_after_response_) {
    answered_last_ = true;
    if (stream_.PendingBytes() == 0) {
      Close();
    } else {
      ArmTimer(idle_timeout_);
    }
    return;
  }
  if (unsent == 0) {
    ParseNext();
    return;
  }
  idle_timeout_ = context_.limits.idle_timeout;
  idle_since_ = now;
  ArmTimer(idle_timeout_);
}

void InboundConnection::ParseNext() {
  account_->Charge(0);
  BecomeIdle();
  // A pipelined request is parsed from the loop, as the caller may still be
  // using the exchange.
  if (stream_.InputBytes() == 0) return;
  timer_ = context_.loop.After(Duration::zero(), [this] {
    ArmTimer(context_.limits.idle_timeout);
    OnReadable();
  });
}

void InboundConnection::OnDrained() {
  if (closed_) return;
  if (exchange_) {
    const std::shared_ptr<InboundExchange> exchange = exchange_;
    const auto on_drained = exchange->on_drained;
    if (on_drained) on_drained();
    return;
  }
  if (answered_last_) {
    CloseOnceRead();
    return;
  }
  if (!request_started_) ParseNext();
}

void InboundConnection::CloseOnceRead() {
  // The kernel resets a connection that is closed with input, and the client
  // might lose the answer.
  if (!client_sends_on_ && !stream_.HasUnreadInput()) {
    Close();
    return;
  }
  stream_.EndOutput();
  const Time now = BootClock::now();
  discards_until_ = now + kMaxRefusedInputTime;
  ArmDiscardTimer(now);
}

void InboundConnection::ArmDiscardTimer(Time now) {
  ArmTimer(std::clamp(*discards_until_ - now, Duration::zero(),
                      kMaxRefusedInputGap));
}

void InboundConnection::OnPeerClosed() { Close(); }

void InboundConnection::OnError(const std::string&) { Close(); }

InboundExchange::InboundExchange(InboundConnection* connection,
                                 RequestHead head, std::string body,
                                 Time received_at, HeldRequest held)
    : connection_(connection),
      head_(std::move(head)),
      body_(std::move(body)),
      received_at_(received_at),
      held_(std::move(held)) {}

void InboundExchange::Detach() { connection_ = nullptr; }

void InboundExchange::StartResponse(int status, const HeaderFields& fields,
                                    std::optional<uint64_t> content_length) {
  if (!open() || response_started_) return;
  response_started_ = true;
  chunked_ = !content_length && head_.accepts_chunks;
  connection_->WriteHead(status, fields, content_length, chunked_);
}

void InboundExchange::SendBody(std::string_view data) {
  if (!open() || !response_started_ || data.empty()) return;
  if (!chunked_) {
    connection_->stream_.Write(data);
    return;
  }
  char size[20];
  const int length = std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  std::string chunk(size, static_cast<size_t>(length));
  chunk += data;
  chunk += "\r\n";
  connection_->stream_.Write(chunk);
}

void InboundExchange::CompleteResponse() {
  if (!open() || !response_started_) return;
  if (chunked_) connection_->stream_.Write("0\r\n\r\n");
  InboundConnection* connection = connection_;
  connection_ = nullptr;
  connection->OnResponseComplete();
}

void InboundExchange::SendResponse(int status, const HeaderFields& fields,
                                   std::string_view body) {
  if (!open() || response_started_) return;
  StartResponse(status, fields, body.size());
  SendBody(body);
  CompleteResponse();
}

void InboundExchange::CloseAfterResponse() {
  if (open()) connection_->close_after_response_ = true;
}

void InboundExchange::SetPriority(int priority) {
  if (open()) connection_->stream_.SetPriority(priority);
}

void InboundExchange::Abort() {
  if (!open()) return;
  InboundConnection* connection = connection_;
  on_client_disconnected = nullptr;
  connection->stream_.ResetOnClose();
  connection->Close();
}

size_t InboundExchange::PendingBytes() const {
  return open() ? connection_->stream_.PendingBytes() : 0;
}

}  // namespace corianderlink
