// HTTP client over evhttp that knows whether a request may have run.
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
  /// The whole call ends within this time, connecting included.
  Duration timeout = seconds(30);
};

struct HttpResponse {
  /// kRan exactly if a whole answer came, whatever its status.
  Outcome outcome;
  int status = 0;
  std::string body;
  HttpHeaders headers;

  bool ok() const { return outcome.ran() && status >= 200 && status < 300; }
  std::string Header(const std::string& name) const;
};

/// A call in progress.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// Closes the connection.  No callback follows.
  virtual void Cancel() = 0;
  /// True once a byte of the request was handed to a connected socket.
  virtual bool bytes_sent() const = 0;
  /// The call's socket, or -1.  No byte is written before the loop runs on.
  virtual int fd() const = 0;
};

/// Sends each request once, on a connection of its own, without retries, so
/// that the verdict of a failure is certain.
class HttpClient {
 public:
  using DoneCallback = std::function<void(const HttpResponse&)>;
  /// Receives the body of a 2xx answer piece by piece.
  using ChunkCallback = std::function<void(int status, std::string chunk)>;

  explicit HttpClient(EventLoop& loop) : loop_(loop) {}

  /// Starts a call.  `done` runs exactly once, from the loop, unless the call
  /// is cancelled.  If `on_chunk` is given, the body goes there instead.
  std::shared_ptr<HttpCall> Start(const HttpRequest& request, DoneCallback done,
                                  ChunkCallback on_chunk = nullptr);

 private:
  EventLoop& loop_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_HTTP_CLIENT_H_
