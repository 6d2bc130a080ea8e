// HTTP client based on evhttp.
#include "corianderlink/Http/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <optional>

#include "corianderlink/Http/closed_window_watch.h"
#include "corianderlink/Http/dead_peer_detection.h"
#include "corianderlink/Http/event_loop.h"

namespace corianderlink {
namespace {

// Limits of a response; a longer one fails.
constexpr size_t kMaxHeaderBytes = 64 * 1024;
constexpr size_t kMaxBodyBytes = 64 * 1024 * 1024;
// Received bytes that evhttp has not parsed: it waits for the whole of a body
// with a length, and for the end of a chunk's header line.
constexpr size_t kMaxUnparsedBytes = kMaxHeaderBytes + kMaxBodyBytes;
constexpr char kTooLong[] = "upstream answer too long";

// Any name that is not listed means GET.
evhttp_cmd_type ToEvhttpMethod(const std::string& name) {
  if (name == "POST") return EVHTTP_REQ_POST;
  if (name == "PUT") return EVHTTP_REQ_PUT;
  if (name == "DELETE") return EVHTTP_REQ_DELETE;
  if (name == "PATCH") return EVHTTP_REQ_PATCH;
  return EVHTTP_REQ_GET;
}

std::string DrainBuffer(evbuffer* buffer) {
  std::string text(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, text.data(), text.size());
  return text;
}

const char* ErrorMessage(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return "upstream timed out";
    case EVREQ_HTTP_EOF:
      return "upstream closed the connection";
    case EVREQ_HTTP_INVALID_HEADER:
      return "upstream sent an invalid header";
    case EVREQ_HTTP_BUFFER_ERROR:
      return "connection failed";
    case EVREQ_HTTP_DATA_TOO_LONG:
      return kTooLong;
    default:
      return "call cancelled";
  }
}

/// One call.  Keeps itself alive until its connection is freed.
class EvhttpCall : public HttpCall,
                   public std::enable_shared_from_this<EvhttpCall> {
 public:
  EvhttpCall(EventLoop& loop, HttpClient::DoneCallback done,
             HttpClient::ChunkCallback on_chunk)
      : loop_(loop), done_(std::move(done)), on_chunk_(std::move(on_chunk)) {}

  void Start(const HttpRequest& request) {
    keep_alive_self_ = shared_from_this();
    connection_ = evhttp_connection_base_bufferevent_new(
        loop_.base(), nullptr, nullptr, request.address.ip.c_str(),
        request.address.port);
    evhttp_connection_set_retries(connection_, 0);
    evhttp_connection_set_max_headers_size(connection_, kMaxHeaderBytes);
    evhttp_connection_set_max_body_size(connection_, kMaxBodyBytes);
    bufferevent* stream = evhttp_connection_get_bufferevent(connection_);
    ObserveBuffers(stream);
    if (!request.discard_undelivered) window_watch_.emplace(loop_, stream);
    evhttp_request* out = evhttp_request_new(&EvhttpCall::OnDone, this);
    evhttp_request_set_error_cb(out, &EvhttpCall::OnError);
    if (on_chunk_) evhttp_request_set_chunked_cb(out, &EvhttpCall::OnChunk);
    AddHeaders(out, request);
    evbuffer_add(evhttp_request_get_output_buffer(out), request.body.data(),
                 request.body.size());
    timer_ = loop_.After(request.timeout, [this] {
      reason_ = "deadline exceeded";
      Finish(MakeFailureResponse());
    });
    const int rc =
        evhttp_make_request(connection_, out, ToEvhttpMethod(request.method),
                            request.target.c_str());
    if (rc == 0) {
      EnableDeadPeerDetection(fd());
      return;
    }
    FailLater("connection could not be started");
  }

  void Cancel() override {
    if (finished_) return;
    finished_ = true;
    FreeConnectionLater();
  }

  bool bytes_sent() const override { return bytes_sent_; }

  int fd() const override {
    if (connection_ == nullptr) return -1;
    return bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  }

 private:
  void ObserveBuffers(bufferevent* stream) {
    // Data counts as sent when it leaves the output buffer, that is, when it
    // was written to the socket.
    evbuffer_add_cb(
        bufferevent_get_output(stream),
        [](evbuffer*, const evbuffer_cb_info* info, void* arg) {
          if (info->n_deleted > 0) {
            static_cast<EvhttpCall*>(arg)->bytes_sent_ = true;
          }
        },
        this);
    evbuffer_add_cb(
        bufferevent_get_input(stream),
        [](evbuffer* input, const evbuffer_cb_info* info, void* arg) {
          if (info->n_added == 0) return;
          if (evbuffer_get_length(input) <= kMaxUnparsedBytes) return;
          static_cast<EvhttpCall*>(arg)->FailLater(kTooLong);
        },
        this);
  }

  static void AddHeaders(evhttp_request* out, const HttpRequest& request) {
    evkeyvalq* headers = evhttp_request_get_output_headers(out);
    evhttp_add_header(headers, "Host", request.address.ToString().c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const auto& [name, value] : request.headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
  }

  static void OnError(evhttp_request_error error, void* arg) {
    static_cast<EvhttpCall*>(arg)->reason_ = ErrorMessage(error);
  }

  static void OnChunk(evhttp_request* request, void* arg) {
    auto* call = static_cast<EvhttpCall*>(arg);
    if (call->finished_) return;
    const int status = evhttp_request_get_response_code(request);
    if (status < 200 || status >= 300) {
      // evhttp limits the whole body.
      call->error_body_ +=
          DrainBuffer(evhttp_request_get_input_buffer(request));
      return;
    }
    const std::shared_ptr<EvhttpCall> self = call->keep_alive_self_;
    if (!call->streaming_) {
      call->streaming_ = true;
      bufferevent_priority_set(
          evhttp_connection_get_bufferevent(call->connection_),
          kStreamPriority);
    }
    call->on_chunk_(status,
                    DrainBuffer(evhttp_request_get_input_buffer(request)));
  }

  static void OnDone(evhttp_request* request, void* arg) {
    auto* call = static_cast<EvhttpCall*>(arg);
    if (call->finished_) return;
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
      call->Finish(call->MakeFailureResponse());
      return;
    }
    HttpResponse response;
    response.outcome = Outcome::Ran();
    response.status = evhttp_request_get_response_code(request);
    response.body = call->error_body_ +
                    DrainBuffer(evhttp_request_get_input_buffer(request));
    const evkeyvalq* in = evhttp_request_get_input_headers(request);
    for (const evkeyval* kv = in->tqh_first; kv != nullptr;
         kv = kv->next.tqe_next) {
      response.headers.emplace_back(kv->key, kv->value);
    }
    call->Finish(response);
  }

  void FailLater(const char* reason) {
    reason_ = reason;
    loop_.Post([self = keep_alive_self_] {
      if (self) self->Finish(self->MakeFailureResponse());
    });
  }

  HttpResponse MakeFailureResponse() const {
    HttpResponse response;
    response.outcome =
        bytes_sent_ ? Outcome::MayHaveRun(reason_) : Outcome::NotRun(reason_);
    return response;
  }

  void Finish(const HttpResponse& response) {
    if (finished_) return;
    finished_ = true;
    const std::shared_ptr<EvhttpCall> self = keep_alive_self_;
    FreeConnectionLater();
    if (done_) done_(response);
  }

  // evhttp does not allow a connection to be freed within its own callback.
  void FreeConnectionLater() {
    timer_.Reset();
    StopConnection();
    loop_.Post([self = keep_alive_self_] {
      self->window_watch_.reset();
      if (self->connection_ != nullptr) {
        evhttp_connection_free(self->connection_);
      }
      self->connection_ = nullptr;
      self->keep_alive_self_.reset();
    });
  }

  // Without callbacks, evhttp does not learn that the connection is established
  // and writes no request to it.
  void StopConnection() {
    if (connection_ == nullptr) return;
    bufferevent* stream = evhttp_connection_get_bufferevent(connection_);
    bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(stream, EV_READ | EV_WRITE);
  }

  EventLoop& loop_;
  HttpClient::DoneCallback done_;
  HttpClient::ChunkCallback on_chunk_;
  evhttp_connection* connection_ = nullptr;
  std::optional<ClosedWindowWatch> window_watch_;
  EventHandle timer_;
  std::shared_ptr<EvhttpCall> keep_alive_self_;
  std::string reason_ = "connection failed";
  std::string error_body_;
  bool bytes_sent_ = false;
  bool streaming_ = false;
  bool finished_ = false;
};

}  // namespace

std::string HttpResponse::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (evutil_ascii_strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return {};
}

std::shared_ptr<HttpCall> HttpClient::Start(const HttpRequest& request,
                                            DoneCallback done,
                                            ChunkCallback on_chunk) {
  auto call =
      std::make_shared<EvhttpCall>(loop_, std::move(done), std::move(on_chunk));
  call->Start(request);
  return call;
}

}  // namespace corianderlink
