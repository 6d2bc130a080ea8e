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

namespace corianderlink {

class InboundExchange;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A received request and the interface to respond to it, with a single body
/// or as a stream.  Responding after the client disconnected has no effect.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  /// `is_closing` is true once each answer ends its connection; it outlives the
  /// exchange.
  HttpExchange(std::shared_ptr<InboundExchange> request,
               std::shared_ptr<const bool> is_closing);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const std::string& method() const;
  /// Path without the query.
  const std::string& path() const { return path_; }
  /// Query without the question mark, as received.
  const std::string& query() const { return query_; }
  const std::string& body() const;
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
  bool open() const;
  /// True once StartStream was called.
  bool streaming() const { return streaming_; }

  /// Emitted once if the client disconnects before the response is complete.
  sigc::signal<void()> signal_client_disconnected;

  /// Keeps the exchange alive until the response is complete or the client
  /// disconnects.  The server calls this once a shared pointer owns it.
  void WatchForDisconnect();

 private:
  const std::shared_ptr<InboundExchange> request_;
  const std::shared_ptr<const bool> is_closing_;
  std::string path_;
  std::string query_;
  bool streaming_ = false;
  uint64_t chunks_sent_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_HTTP_EXCHANGE_H_
