// What a request has that may crash its upstream.
#ifndef CORIANDERLINK_GATEWAY_SUSPECT_KEY_H_
#define CORIANDERLINK_GATEWAY_SUSPECT_KEY_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "corianderlink/Gateway/prompt.h"

namespace corianderlink {

/// A shared part of prompts, or one request that is sent again and again.
struct SuspectKey {
  enum class Kind : uint8_t {
    kPart,     ///< `id` is the part's.
    kRequest,  ///< `id` is the digest of the request.
  };
  Kind kind = Kind::kPart;
  uint64_t id = 0;

  auto operator<=>(const SuspectKey&) const = default;
};

/// The key as it is written in logs and in the store; a part's is its id.
std::string ToString(const SuspectKey& key);
/// Reads such a key; empty if the text is none.
std::optional<SuspectKey> ParseSuspectKey(std::string_view text);

/// The keys of one request.
struct RequestSuspects {
  /// Digest of the whole request, if it is judged as well.
  std::optional<uint64_t> digest;
  /// Shared parts of its prompt, in their order.
  std::vector<uint64_t> parts;

  /// All of them, the request first.
  std::vector<SuspectKey> Keys() const;
};

/// The keys of a request with this prompt, of which a bounded number of parts
/// is judged.  The last part, which is not shared, is not.
RequestSuspects SuspectsOf(const Prompt& prompt);

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_SUSPECT_KEY_H_
