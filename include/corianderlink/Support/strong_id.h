// Strongly typed string identifiers.
#ifndef CORIANDERLINK_SUPPORT_STRONG_ID_H_
#define CORIANDERLINK_SUPPORT_STRONG_ID_H_

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace corianderlink {

/// A string identifier.  `Tag`, which is never defined, makes identifiers of
/// different kinds distinct types that do not convert into each other.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  /// The identifier as it appears in logs, table rows and messages.
  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  auto operator<=>(const StrongId&) const = default;

 private:
  std::string value_;
};

using AccountId = StrongId<struct AccountTag>;
using AdapterId = StrongId<struct AdapterTag>;
using EngineId = StrongId<struct EngineTag>;
using JobId = StrongId<struct JobTag>;
using ModelId = StrongId<struct ModelTag>;
using NoteId = StrongId<struct NoteTag>;
using ProcessId = StrongId<struct ProcessTag>;
using RequestId = StrongId<struct RequestTag>;
using ServiceId = StrongId<struct ServiceTag>;
using ZoneId = StrongId<struct ZoneTag>;

}  // namespace corianderlink

template <typename Tag>
struct std::hash<corianderlink::StrongId<Tag>> {
  size_t operator()(const corianderlink::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // CORIANDERLINK_SUPPORT_STRONG_ID_H_
