// A chat-completions request as received from a client.
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
  /// Limit for the time to the first token; if unset, the default of the
  /// priority class applies.
  std::optional<Duration> deadline;
  uint64_t max_tokens = 256;
  bool stream = false;
  /// All messages concatenated, for the token estimate and for prefix matching.
  std::string prompt;
  /// The parsed body, forwarded to the engine.
  Json body;
};

/// Parses a chat-completions body.  The members `adapter`, `priority` and
/// `deadline_ms` are extensions.  Unknown members are forwarded to the engine.
/// On failure, returns nothing and appends to `errors`.
std::optional<ChatRequest> ParseChatRequest(const std::string& body,
                                            std::vector<JsonError>& errors);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CHAT_REQUEST_H_
