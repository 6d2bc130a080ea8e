// A model request as a caller sent it.
#ifndef CORIANDERLINK_SERVING_CHAT_REQUEST_H_
#define CORIANDERLINK_SERVING_CHAT_REQUEST_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Routing/priority_class.h"
#include "corianderlink/Support/json_reader.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

struct ChatRequest {
  ModelId model;
  AdapterId adapter;
  PriorityClass cls = PriorityClass::kChat;
  /// Time to the first token; nothing if the class's default applies.
  std::optional<Duration> deadline;
  uint64_t max_tokens = 256;
  bool stream = false;
  /// All messages as one text, for token estimates and prefix pieces.
  std::string prompt;
  /// The parsed body, passed on to the engine.
  Json body;
};

/// Reads a chat-completions body.  Extensions are the members `adapter`,
/// `priority` and `deadline_ms`.  Members not known here pass through to the
/// engine.  Nothing is returned if there is any error.
std::optional<ChatRequest> ParseChatRequest(const std::string& body,
                                            std::vector<JsonError>& errors);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CHAT_REQUEST_H_
