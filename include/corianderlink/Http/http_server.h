// HTTP server based on evhttp, with streamed responses and size limits on
// requests.
#ifndef CORIANDERLINK_HTTP_HTTP_SERVER_H_
#define CORIANDERLINK_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "corianderlink/Http/http_exchange.h"
#include "corianderlink/Support/address.h"

struct bufferevent;
struct evhttp;

namespace corianderlink {

class EventLoop;

/// Size and time limits for requests.
struct HttpServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 8 * 1024 * 1024;
  /// Timeout for receiving a request, in seconds: a connection without progress
  /// for this long is closed.
  int request_timeout_s = 20;
};

/// Listens on one address and passes each complete request to the handler.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop& loop, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds the address.  Returns false if it cannot be bound.
  bool Listen(const Address& address);

  /// From now on, the connection of each request ends with its answer, also of
  /// those in progress.
  void CloseAfterAnswers() { state_->closing = true; }

  /// Requests whose answer is not complete and whose client has not left.
  size_t unanswered_requests() const { return state_->unanswered; }
  /// Connections on which a part of a request has arrived.
  size_t incomplete_requests() const { return incomplete_requests_; }
  /// Complete answers of which the kernel has not yet taken every byte.
  size_t unsent_answers() const { return state_->unsent; }

 private:
  /// What is known of one connection.
  struct Connection;

  /// Called as bytes arrive on the connection.
  static void OnInput(Connection& connection);
  void EndIncomplete(Connection& connection);

  const Handler handler_;
  // Of a connection.
  const size_t max_unparsed_bytes_;
  const std::shared_ptr<HttpServerState> state_ =
      std::make_shared<HttpServerState>();
  size_t incomplete_requests_ = 0;
  // An element outlives its connection until another one has its address.
  std::unordered_map<bufferevent*, std::unique_ptr<Connection>> connections_;
  evhttp* http_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_HTTP_SERVER_H_
