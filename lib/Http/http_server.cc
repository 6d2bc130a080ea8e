// HTTP server based on evhttp.
#include "corianderlink/Http/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/message_framing.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// evhttp has read a request that it does not understand without its body, which
// is then the next thing on the connection.
std::optional<FramingFault> FindFault(evhttp_request* request) {
  MessageFraming framing;
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    framing.AddField(field->key, field->value);
  }
  if (auto fault = framing.EvhttpFault(request->major * 10 + request->minor)) {
    return fault;
  }
  // evhttp reads no body of such a request.
  const bool is_head = evhttp_request_get_command(request) == EVHTTP_REQ_HEAD;
  if (!is_head || !framing.announces_body()) return std::nullopt;
  return FramingFault{400, "body of a HEAD request"};
}

}  // namespace

struct HttpServer::Connection {
  HttpServer* server;
  bufferevent* stream;
  bool has_incomplete_request = false;
};

HttpServer::HttpServer(EventLoop& loop, HttpServerLimits limits,
                       Handler handler)
    : handler_(std::move(handler)),
      // evhttp reads the whole of a body with a length before it parses it, and
      // sets no limit to the header line of a chunk.
      max_unparsed_bytes_(limits.max_header_bytes + limits.max_body_bytes),
      http_(evhttp_new(loop.base())) {
  evhttp_set_max_headers_size(http_,
                              static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_max_body_size(http_,
                           static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_timeout(http_, limits.request_timeout_s);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                        EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH);
  evhttp_set_bevcb(
      http_,
      [](event_base* base, void* arg) {
        auto* server = static_cast<HttpServer*>(arg);
        bufferevent* stream = bufferevent_socket_new(base, -1, 0);
        bufferevent_setwatermark(stream, EV_READ, 0,
                                 server->max_unparsed_bytes_);
        auto& connection = server->connections_[stream];
        connection = std::make_unique<Connection>(Connection{server, stream});
        evbuffer_add_cb(
            bufferevent_get_input(stream),
            [](evbuffer*, const evbuffer_cb_info* info, void* connection) {
              if (info->n_added == 0) return;
              OnInput(*static_cast<Connection*>(connection));
            },
            connection.get());
        return stream;
      },
      this);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* request, void* arg) {
        auto* server = static_cast<HttpServer*>(arg);
        bufferevent* stream = evhttp_connection_get_bufferevent(
            evhttp_request_get_connection(request));
        server->EndIncomplete(*server->connections_.at(stream));
        auto exchange = std::make_shared<HttpExchange>(request, server->state_);
        exchange->WatchForDisconnect();
        if (const auto fault = FindFault(request)) {
          Log(LogLevel::kWarning, "request_rejected",
              {{"reason", fault->reason}});
          exchange->Reply(fault->status, "text/plain", fault->reason + "\n",
                          {{"Connection", "close"}});
          return;
        }
        server->handler_(exchange);
      },
      this);
}

HttpServer::~HttpServer() { evhttp_free(http_); }

void HttpServer::OnInput(Connection& connection) {
  if (connection.has_incomplete_request) return;
  // evhttp reads only between requests, and is then the callbacks' argument.
  bufferevent_data_cb read_cb = nullptr;
  void* evhttp_connection = nullptr;
  bufferevent_getcb(connection.stream, &read_cb, nullptr, nullptr,
                    &evhttp_connection);
  if (read_cb == nullptr || evhttp_connection == nullptr) return;
  connection.has_incomplete_request = true;
  ++connection.server->incomplete_requests_;
  evhttp_connection_set_closecb(
      static_cast<struct evhttp_connection*>(evhttp_connection),
      [](struct evhttp_connection*, void* closed) {
        auto* connection = static_cast<Connection*>(closed);
        connection->server->EndIncomplete(*connection);
      },
      &connection);
}

void HttpServer::EndIncomplete(Connection& connection) {
  if (!connection.has_incomplete_request) return;
  connection.has_incomplete_request = false;
  --incomplete_requests_;
}

bool HttpServer::Listen(const Address& address) {
  return evhttp_bind_socket(http_, address.ip.c_str(), address.port) == 0;
}

}  // namespace corianderlink
