// Writes the response to a model request to its client.
#ifndef CORIANDERLINK_LIB_SERVING_CHAT_REPLY_H_
#define CORIANDERLINK_LIB_SERVING_CHAT_REPLY_H_

#include <cstdint>
#include <memory>
#include <string>

#include "corianderlink/Http/http_exchange.h"
#include "corianderlink/Serving/chat_task.h"

namespace corianderlink {

/// Streams events as they arrive, or collects them into one chat completion.
class ChatReply {
 public:
  /// `max_backlog_bytes` limits the bytes buffered for a slow client; beyond it
  /// the connection has to be aborted, and the client can resume the stream.
  ChatReply(std::shared_ptr<HttpExchange> exchange, RequestId id,
            const ChatRequest& request, size_t max_backlog_bytes);

  /// Returns false if the backlog limit is exceeded.
  bool OnEvent(const std::string& marker, const std::string& data);
  void OnEnd(const ChatResult& result);

 private:
  void ReplyCompletion();

  const std::shared_ptr<HttpExchange> exchange_;
  const RequestId id_;
  const std::string model_;
  const bool stream_;
  const size_t max_backlog_bytes_;
  std::string text_;
  Json usage_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_LIB_SERVING_CHAT_REPLY_H_
