// Parses chat-completions request bodies.
#include "corianderlink/Serving/chat_request.h"

namespace corianderlink {
namespace {

constexpr int64_t kMaxTokens = 1000000;
constexpr int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;

std::string ConcatenateMessages(const Json& messages,
                                std::vector<JsonError>& errors) {
  std::string prompt;
  for (size_t i = 0; i < messages.size(); ++i) {
    const std::string path = "/messages/" + std::to_string(i);
    JsonReader message(messages[i], path, errors);
    prompt += message.RequiredString("role") + ":";
    const Json& json = messages[i];
    // Content is a string, a list of parts, or absent in messages with tool
    // calls.
    const bool has_text = json.is_object() && json.contains("content") &&
                          json["content"].is_string();
    if (has_text) prompt += json["content"].get<std::string>();
    const bool has_parts = json.is_object() && json.contains("content") &&
                           json["content"].is_array();
    if (has_parts) prompt += json["content"].dump();
    prompt += "\n";
  }
  return prompt;
}

}  // namespace

std::optional<ChatRequest> ParseChatRequest(const std::string& body,
                                            std::vector<JsonError>& errors) {
  const size_t errors_before = errors.size();
  ChatRequest request;
  request.body = ParseJson(body);
  if (!request.body.is_object()) {
    errors.push_back({"", "a JSON object"});
    return std::nullopt;
  }
  JsonReader reader(request.body, "", errors);
  request.model = ModelId(reader.RequiredString("model"));
  request.adapter = AdapterId(reader.OptionalString("adapter", ""));
  const auto cls =
      ParsePriorityClass(reader.OneOf("priority", {"chat", "urgent", "bulk"}));
  request.cls = cls.value_or(PriorityClass::kChat);
  request.stream = reader.Boolean("stream", false);
  int64_t max_tokens = reader.Integer("max_tokens", 1, kMaxTokens, 256);
  max_tokens =
      reader.Integer("max_completion_tokens", 1, kMaxTokens, max_tokens);
  request.max_tokens = static_cast<uint64_t>(max_tokens);
  const int64_t deadline_ms =
      reader.Integer("deadline_ms", 1, kMaxDeadlineMs, 0);
  if (deadline_ms > 0) request.deadline = milliseconds(deadline_ms);
  const Json* messages = reader.Array("messages");
  const bool empty = messages == nullptr || messages->empty();
  if (empty) reader.Fail("messages", "an array with at least one message");
  if (!empty) request.prompt = ConcatenateMessages(*messages, errors);
  if (errors.size() > errors_before) return std::nullopt;
  return request;
}

}  // namespace corianderlink
