// One request received by the server and its response.
#ifndef CORIANDERLINK_HTTP_HTTP_EXCHANGE_H_
#define CORIANDERLINK_HTTP_HTTP_EXCHANGE_H_

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct evhttp_request;

namespace corianderlink {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// What a server has yet to do for its clients.  Its exchanges share it.
struct HttpServerState {
  /// Requests whose answer is not complete and whose client has not left.
  size_t unanswered = 0;
  /// Complete answers that the kernel has not taken, of clients that are there.
  size_t unsent = 0;
  /// Each answer from now on ends its connection.
  bool closing = false;
};

/// A received request and the interface to respond to it, with a single body
/// or as a stream.  Responding after the client disconnected has no effect.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  /// Wraps `request`, which stays owned by evhttp.
  HttpExchange(evhttp_request* request, std::shared_ptr<HttpServerState> state);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const std::string& method() const { return method_; }
  /// Path without the query.
  const std::string& path() const { return path_; }
  /// Query without the question mark, as received.
  const std::string& query() const { return query_; }
  const std::string& body() const { return body_; }
  /// Returns the value of a header field (compared without case), or "".
  std::string Header(const std::string& name) const;
  /// Returns the decoded value of a query parameter, or nothing if the query
  /// doesn't contain it.
  std::optional<std::string> QueryParameter(const std::string& name) const;

  /// Sends a complete response.
  void Reply(int status, const std::string& content_type,
             const std::string& body, const HttpHeaders& headers = {});
  /// Starts a chunked response.
  void StartStream(int status, const std::string& content_type,
                   const HttpHeaders& headers = {});
  void SendChunk(const std::string& chunk);
  /// Completes a chunked response.
  void EndStream();
  /// Closes the connection, so that the client recognises a partial response
  /// as incomplete.
  void Abort();

  /// Response bytes that were not written to the socket yet.
  size_t PendingBytes() const;
  /// True until the response is complete or the client disconnects.
  bool open() const { return request_ != nullptr; }
  /// True once StartStream was called.
  bool streaming() const { return streaming_; }

  /// Emitted once if the client disconnects before the response is complete.
  sigc::signal<void()> signal_client_disconnected;

  /// Starts to watch for a disconnect of the client.  The server calls this
  /// once a shared pointer owns the exchange.
  void WatchForDisconnect();

 private:
  void OnClientDisconnected();
  void DetachFromConnection();
  /// Ends the connection after the response if the server is closing, also if
  /// the response's header was sent without "Connection: close".
  void CloseIfServerCloses();
  void CountUntilSent(evhttp_request* request) const;

  evhttp_request* request_;
  const std::shared_ptr<HttpServerState> state_;
  std::string method_;
  std::string path_;
  std::string query_;
  std::string body_;
  HttpHeaders headers_;
  bool streaming_ = false;
  uint64_t chunks_sent_ = 0;
  // Of the connection while it reads a request, bytes.
  size_t read_limit_ = 0;
  // Keeps this object alive until the response is complete or the client
  // disconnects.
  std::shared_ptr<HttpExchange> keep_alive_self_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_HTTP_EXCHANGE_H_
