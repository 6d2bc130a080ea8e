// Priority classes of model requests.
#ifndef CORIANDERLINK_ROUTING_PRIORITY_CLASS_H_
#define CORIANDERLINK_ROUTING_PRIORITY_CLASS_H_

#include <optional>
#include <string>

namespace corianderlink {

/// Lower values have higher priority.
enum class PriorityClass { kUrgent = 0, kChat = 1, kBulk = 2 };
constexpr int kPriorityClasses = 3;

inline const char* ToString(PriorityClass cls) {
  constexpr const char* kNames[] = {"urgent", "chat", "bulk"};
  return kNames[static_cast<int>(cls)];
}

inline std::optional<PriorityClass> ParsePriorityClass(
    const std::string& name) {
  if (name == "urgent") return PriorityClass::kUrgent;
  if (name == "chat") return PriorityClass::kChat;
  if (name == "bulk") return PriorityClass::kBulk;
  return std::nullopt;
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_ROUTING_PRIORITY_CLASS_H_
