// HTTP server based on evhttp.
#include "corianderlink/Http/http_server.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "corianderlink/Http/event_loop.h"

namespace corianderlink {

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
        bufferevent* stream = bufferevent_socket_new(base, -1, 0);
        bufferevent_setwatermark(
            stream, EV_READ, 0,
            static_cast<HttpServer*>(arg)->max_unparsed_bytes_);
        return stream;
      },
      this);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* request, void* arg) {
        auto* server = static_cast<HttpServer*>(arg);
        auto exchange = std::make_shared<HttpExchange>(request, server->state_);
        exchange->WatchForDisconnect();
        server->handler_(exchange);
      },
      this);
}

HttpServer::~HttpServer() { evhttp_free(http_); }

bool HttpServer::Listen(const Address& address) {
  return evhttp_bind_socket(http_, address.ip.c_str(), address.port) == 0;
}

}  // namespace corianderlink
