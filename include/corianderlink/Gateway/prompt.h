// The properties of a model request's prompt that placement uses.
#ifndef CORIANDERLINK_GATEWAY_PROMPT_H_
#define CORIANDERLINK_GATEWAY_PROMPT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "corianderlink/Gateway/upstream_record.h"

namespace corianderlink {

/// A consecutive part of a prompt.  Prompts share parts with equal ids; an
/// engine reuses a cached part only if all parts before it are cached too.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

struct Prompt {
  /// In the order of the prompt; the last part is not shared.
  std::vector<PromptPart> parts;
  /// Length of the whole prompt.
  uint32_t tokens = 0;
  uint32_t max_output_tokens = 0;

  /// All parts but the last, which belongs to the request or its session.
  std::span<const PromptPart> SharedParts() const {
    const std::span<const PromptPart> all = parts;
    return all.empty() ? all : all.first(all.size() - 1);
  }
};

/// A part's id as it is written in requests and logs, in hexadecimal.
std::string FormatPartId(uint64_t id);
/// Reads such an id; empty if the text is none.
std::optional<uint64_t> ParsePartId(std::string_view text);

/// A prompt that was sent to an engine, whose prefix cache then holds its
/// parts.
struct PromptUse {
  UpstreamId upstream;
  std::vector<PromptPart> parts;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_PROMPT_H_
