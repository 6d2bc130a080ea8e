// HTTP client that reports whether a failed request may have been executed.
#ifndef CORIANDERLINK_HTTP_HTTP_CLIENT_H_
#define CORIANDERLINK_HTTP_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "corianderlink/Http/http_exchange.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

class EventLoop;

struct HttpRequest {
  Address address;
  std::string method = "GET";
  /// Path with query.
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
  /// Time limit for the whole call, including connecting.
  Duration timeout = seconds(30);
  /// The request must not stay in transit: its connection ends once a part of
  /// it is not delivered for kTcpUserTimeout, also if the peer is only paused.
  bool discard_undelivered = false;
};

struct HttpResponse {
  /// kRan if and only if a complete response was received, whatever its status.
  Outcome outcome;
  int status = 0;
  std::string body;
  HttpHeaders headers;

  bool ok() const { return outcome.ran() && status >= 200 && status < 300; }
  /// Returns the value of a header field (compared without case), or "".
  std::string Header(const std::string& name) const;
};

/// A call in progress.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// Closes the connection.  No callback follows.
  virtual void Cancel() = 0;
  /// True once a byte of the request was written to a connected socket.
  virtual bool bytes_sent() const = 0;
  /// The socket of the call, or -1.  Nothing is written to it before control
  /// returns to the event loop.
  virtual int fd() const = 0;
};

/// Sends each request once on a new connection, without retries, so that the
/// outcome of a failed call is unambiguous.
class HttpClient {
 public:
  using DoneCallback = std::function<void(const HttpResponse&)>;
  /// Receives the body of a 2xx response chunk by chunk.
  using ChunkCallback = std::function<void(int status, std::string chunk)>;

  explicit HttpClient(EventLoop& loop) : loop_(loop) {}

  /// Starts a call.  `done` is called exactly once from the event loop, unless
  /// the call is cancelled.  If `on_chunk` is given, it receives the body of a
  /// 2xx response, which HttpResponse::body then doesn't contain.
  std::shared_ptr<HttpCall> Start(const HttpRequest& request, DoneCallback done,
                                  ChunkCallback on_chunk = nullptr);

 private:
  EventLoop& loop_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_HTTP_CLIENT_H_
