// HTTP server of the own path: streamed responses, and size limits on requests.
#ifndef CORIANDERLINK_HTTP_HTTP_SERVER_H_
#define CORIANDERLINK_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "corianderlink/Http/http_exchange.h"
#include "corianderlink/Http/inbound_server.h"
#include "corianderlink/Support/address.h"

namespace corianderlink {

class EventLoop;

/// Size and time limits for requests.
struct HttpServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 8 * 1024 * 1024;
  /// Time from the first byte of a request to the end of its head, in seconds.
  int request_timeout_s = 20;
};

/// Limits of a port whose requests have no body.
inline HttpServerLimits LimitsWithoutBody() {
  HttpServerLimits limits;
  limits.max_body_bytes = 0;
  return limits;
}

/// Listens on one address and passes each complete request to the handler.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// `connections` decides what the connections of all servers of the process
  /// may hold; without it this server has a budget of its own.
  HttpServer(EventLoop& loop, HttpServerLimits limits, Handler handler,
             std::shared_ptr<ClientConnections> connections = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the address.  Returns false if it cannot be bound.
  bool Listen(const Address& address) { return server_.Listen(address); }

  /// From now on, the connection of each request ends with its answer, also of
  /// those in progress.
  void CloseAfterAnswers();

  /// Requests whose answer is not complete and whose client has not left.
  size_t unanswered_requests() const {
    return server_.CountOpenWork().requests;
  }
  /// Connections on which a part of a request has arrived.
  size_t incomplete_requests() const {
    return server_.CountOpenWork().incomplete_requests;
  }
  /// Complete answers of which the kernel has not yet taken every byte.
  size_t unsent_answers() const {
    return server_.CountOpenWork().unsent_answers;
  }

 private:
  const std::shared_ptr<bool> is_closing_ = std::make_shared<bool>(false);
  InboundServer server_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_HTTP_SERVER_H_
