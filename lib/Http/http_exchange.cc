// One request received by the evhttp server.
#include "corianderlink/Http/http_exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "corianderlink/Http/event_loop.h"

namespace corianderlink {
namespace {

// Maximum bytes buffered from a client while its request is being handled.
constexpr size_t kMaxReadAheadBytes = 16 * 1024;
// A connection is closed after this time without a new request, or without
// progress in sending the rest of its response.
constexpr int kIdleTimeoutSeconds = 60;

const char* MethodName(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OTHER";
  }
}

/// Counts one answer during its lifetime.
class UnsentAnswer {
 public:
  explicit UnsentAnswer(std::shared_ptr<HttpServerState> state)
      : state_(std::move(state)) {
    ++state_->unsent;
  }
  ~UnsentAnswer() { --state_->unsent; }
  UnsentAnswer(const UnsentAnswer&) = delete;
  UnsentAnswer& operator=(const UnsentAnswer&) = delete;

  /// Called once, as the answer was sent or its connection is closed.
  static void End(evhttp_connection* connection, void* answer) {
    if (connection != nullptr) {
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    delete static_cast<UnsentAnswer*>(answer);
  }

 private:
  const std::shared_ptr<HttpServerState> state_;
};

const char* ReasonPhrase(int status) { return status < 400 ? "OK" : "Error"; }

void AddHeaders(evhttp_request* request, const std::string& content_type,
                const HttpHeaders& headers) {
  evkeyvalq* out = evhttp_request_get_output_headers(request);
  if (!content_type.empty()) {
    evhttp_add_header(out, "Content-Type", content_type.c_str());
  }
  for (const auto& [name, value] : headers) {
    // evhttp rejects values with line breaks, which prevents header injection.
    evhttp_add_header(out, name.c_str(), value.c_str());
  }
}

}  // namespace

HttpExchange::HttpExchange(evhttp_request* request,
                           std::shared_ptr<HttpServerState> state)
    : request_(request), state_(std::move(state)) {
  method_ = MethodName(evhttp_request_get_command(request));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  if (uri != nullptr) {
    const char* path = evhttp_uri_get_path(uri);
    const char* query = evhttp_uri_get_query(uri);
    path_ = path == nullptr ? "" : path;
    query_ = query == nullptr ? "" : query;
  }
  evbuffer* input = evhttp_request_get_input_buffer(request);
  body_.resize(evbuffer_get_length(input));
  evbuffer_remove(input, body_.data(), body_.size());
  const evkeyvalq* in = evhttp_request_get_input_headers(request);
  for (const evkeyval* kv = in->tqh_first; kv != nullptr;
       kv = kv->next.tqe_next) {
    headers_.emplace_back(kv->key, kv->value);
  }
}

HttpExchange::~HttpExchange() = default;

std::string HttpExchange::Header(const std::string& name) const {
  for (const auto& [key, value] : headers_) {
    if (evutil_ascii_strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return {};
}

std::optional<std::string> HttpExchange::QueryParameter(
    const std::string& name) const {
  evkeyvalq params{};
  if (evhttp_parse_query_str(query_.c_str(), &params) != 0) return {};
  const char* value = evhttp_find_header(&params, name.c_str());
  std::optional<std::string> found;
  if (value != nullptr) found = value;
  evhttp_clear_headers(&params);
  return found;
}

void HttpExchange::WatchForDisconnect() {
  keep_alive_self_ = shared_from_this();
  ++state_->unanswered;
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  // evhttp stops reading while a request is handled, so it would not notice a
  // disconnect, and it does not tolerate data sent ahead of the response.
  // Reading is therefore enabled here, without a read callback and with a limit
  // on the buffered data.
  bufferevent_data_cb write_cb = nullptr;
  bufferevent_event_cb event_cb = nullptr;
  void* arg = nullptr;
  bufferevent_getcb(bev, nullptr, &write_cb, &event_cb, &arg);
  bufferevent_setcb(bev, nullptr, write_cb, event_cb, arg);
  bufferevent_set_timeouts(bev, nullptr, nullptr);
  bufferevent_getwatermark(bev, EV_READ, nullptr, &read_limit_);
  bufferevent_setwatermark(bev, EV_READ, 0, kMaxReadAheadBytes);
  bufferevent_enable(bev, EV_READ);
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection*, void* self) {
        static_cast<HttpExchange*>(self)->OnClientDisconnected();
      },
      this);
}

void HttpExchange::OnClientDisconnected() {
  if (request_ == nullptr) return;
  const std::shared_ptr<HttpExchange> self = keep_alive_self_;
  evhttp_request* request = request_;
  request_ = nullptr;
  --state_->unanswered;
  keep_alive_self_.reset();
  // On a disconnect evhttp detaches the request from its connection before it
  // calls the close callback; ending the reply then frees the request.
  if (evhttp_request_get_connection(request) == nullptr) {
    evhttp_send_reply_end(request);
  }
  signal_client_disconnected.emit();
}

void HttpExchange::DetachFromConnection() {
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  if (connection != nullptr) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    // The connection may carry another request, so the timeouts and the limit
    // that WatchForDisconnect replaced and the priority that SendChunk lowered
    // are set again.
    evhttp_connection_set_timeout(connection, kIdleTimeoutSeconds);
    bufferevent* bev = evhttp_connection_get_bufferevent(connection);
    bufferevent_setwatermark(bev, EV_READ, 0, read_limit_);
    bufferevent_priority_set(bev, kDefaultPriority);
  }
  request_ = nullptr;
  --state_->unanswered;
  keep_alive_self_.reset();
}

void HttpExchange::CountUntilSent(evhttp_request* request) const {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (connection == nullptr) return;
  auto* answer = new UnsentAnswer(state_);
  evhttp_connection_set_closecb(connection, &UnsentAnswer::End, answer);
  evhttp_request_set_on_complete_cb(
      request,
      [](evhttp_request* sent, void* arg) {
        UnsentAnswer::End(evhttp_request_get_connection(sent), arg);
      },
      answer);
}

void HttpExchange::CloseIfServerCloses() {
  evkeyvalq* out = evhttp_request_get_output_headers(request_);
  if (!state_->closing || evhttp_find_header(out, "Connection") != nullptr) {
    return;
  }
  evhttp_add_header(out, "Connection", "close");
}

void HttpExchange::Reply(int status, const std::string& content_type,
                         const std::string& body, const HttpHeaders& headers) {
  if (request_ == nullptr || streaming_) return;
  const std::shared_ptr<HttpExchange> self = keep_alive_self_;
  AddHeaders(request_, content_type, headers);
  CloseIfServerCloses();
  evbuffer* out = evbuffer_new();
  evbuffer_add(out, body.data(), body.size());
  evhttp_request* request = request_;
  DetachFromConnection();
  CountUntilSent(request);
  evhttp_send_reply(request, status, ReasonPhrase(status), out);
  evbuffer_free(out);
}

void HttpExchange::StartStream(int status, const std::string& content_type,
                               const HttpHeaders& headers) {
  if (request_ == nullptr || streaming_) return;
  AddHeaders(request_, content_type, headers);
  CloseIfServerCloses();
  streaming_ = true;
  evhttp_send_reply_start(request_, status, ReasonPhrase(status));
}

void HttpExchange::SendChunk(const std::string& chunk) {
  if (request_ == nullptr || !streaming_ || chunk.empty()) return;
  evbuffer* out = evbuffer_new();
  evbuffer_add(out, chunk.data(), chunk.size());
  evhttp_send_reply_chunk(request_, out);
  evbuffer_free(out);
  // The first chunk is sent with the default priority; from the second one on
  // the connection has the priority of streams.
  if (++chunks_sent_ != 2) return;
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  bufferevent_priority_set(evhttp_connection_get_bufferevent(connection),
                           kStreamPriority);
}

void HttpExchange::EndStream() {
  if (request_ == nullptr || !streaming_) return;
  const std::shared_ptr<HttpExchange> self = keep_alive_self_;
  CloseIfServerCloses();
  evhttp_request* request = request_;
  DetachFromConnection();
  CountUntilSent(request);
  evhttp_send_reply_end(request);
}

void HttpExchange::Abort() {
  if (request_ == nullptr) return;
  const std::shared_ptr<HttpExchange> self = keep_alive_self_;
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  DetachFromConnection();
  if (connection != nullptr) evhttp_connection_free(connection);
}

size_t HttpExchange::PendingBytes() const {
  if (request_ == nullptr) return 0;
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  if (connection == nullptr) return 0;
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  return evbuffer_get_length(bufferevent_get_output(bev));
}

}  // namespace corianderlink
