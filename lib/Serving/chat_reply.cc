// Writes the response to a model request to its client.
#include "chat_reply.h"

#include <ctime>
#include <utility>

#include "corianderlink/Http/problem.h"
#include "corianderlink/Serving/engine_events.h"

namespace corianderlink {

ChatReply::ChatReply(std::shared_ptr<HttpExchange> exchange, RequestId id,
                     const ChatRequest& request, size_t max_backlog_bytes)
    : exchange_(std::move(exchange)),
      id_(std::move(id)),
      model_(request.model.value()),
      stream_(request.stream),
      max_backlog_bytes_(max_backlog_bytes) {}

bool ChatReply::OnEvent(const std::string& marker, const std::string& data) {
  if (!stream_) {
    const Json event = ParseJson(data);
    if (!event.is_object()) return true;
    text_ += EventText(event);
    if (event.contains("usage")) usage_ = event["usage"];
    return true;
  }
  if (!exchange_->streaming()) {
    exchange_->StartStream(
        200, "text/event-stream",
        {{"X-Request-Id", id_.value()}, {"Cache-Control", "no-cache"}});
  }
  std::string chunk;
  chunk.reserve(marker.size() + data.size() + 16);
  chunk.append("id: ").append(marker);
  chunk.append("\ndata: ").append(data).append("\n\n");
  exchange_->SendChunk(chunk);
  return exchange_->PendingBytes() <= max_backlog_bytes_;
}

void ChatReply::ReplyCompletion() {
  const Json body = {
      {"id", id_.value()},
      {"object", "chat.completion"},
      {"created", std::time(nullptr)},
      {"model", model_},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", text_}}},
         {"finish_reason", "stop"}}}},
      {"usage", usage_}};
  exchange_->Reply(200, "application/json",
                   body.dump(-1, ' ', false, Json::error_handler_t::replace),
                   {{"X-Request-Id", id_.value()}});
}

void ChatReply::OnEnd(const ChatResult& result) {
  if (result.outcome.ran()) {
    if (!stream_) return ReplyCompletion();
    exchange_->SendChunk("data: [DONE]\n\n");
    exchange_->EndStream();
    return;
  }
  const Problem problem{result.status, result.title, result.outcome,
                        result.retry_after, id_.value()};
  if (!exchange_->streaming()) return ReplyProblem(*exchange_, problem);
  // The status line was already sent, so the error is sent as an event, and the
  // stream ends without the [DONE] event.
  exchange_->SendChunk("event: error\ndata: " + problem.ToJson() + "\n\n");
  exchange_->EndStream();
}

}  // namespace corianderlink
