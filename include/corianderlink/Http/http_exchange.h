// One request received by the server, and its answer.
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

/// A request and the means to answer it, whole or as a stream.  Answering
/// after the caller left is harmless.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  /// Wraps `request`, which stays owned by evhttp.
  explicit HttpExchange(evhttp_request* request);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const std::string& method() const { return method_; }
  /// Path without the query.
  const std::string& path() const { return path_; }
  /// Query without the question mark, as it came.
  const std::string& query() const { return query_; }
  const std::string& body() const { return body_; }
  /// Value of a header, or "".
  std::string Header(const std::string& name) const;
  /// Value of a query parameter, or nothing.
  std::optional<std::string> Query(const std::string& name) const;

  /// Tells the caller that the connection ends with the answer.
  void CloseAfterReply();
  /// Sends a whole answer.
  void Reply(int status, const std::string& content_type,
             const std::string& body, const HttpHeaders& headers = {});
  /// Starts a chunked answer.
  void StartStream(int status, const std::string& content_type,
                   const HttpHeaders& headers = {});
  void SendChunk(const std::string& chunk);
  /// Ends a chunked answer regularly.
  void EndStream();
  /// Breaks the connection, so that a partial answer is not taken as whole.
  void Abort();

  /// Bytes accepted by SendChunk and not yet taken by the caller.
  size_t PendingBytes() const;
  /// True until the answer was completed or the caller left.
  bool open() const { return request_ != nullptr; }
  bool streaming() const { return streaming_; }

  /// Emitted once if the caller leaves before the answer was completed.
  sigc::signal<void()> signal_caller_left;

  /// Watches for the caller's disconnection.  Called by the server once the
  /// exchange is owned by a shared pointer.
  void WatchCaller();

 private:
  void OnCallerLeft();
  void Release();

  evhttp_request* request_;
  std::string method_;
  std::string path_;
  std::string query_;
  std::string body_;
  HttpHeaders headers_;
  bool streaming_ = false;
  uint64_t chunks_sent_ = 0;
  std::shared_ptr<HttpExchange> self_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_HTTP_EXCHANGE_H_
