// The prompt of a model request, as far as placement needs it.
#ifndef CORIANDERLINK_GATEWAY_PROMPT_H_
#define CORIANDERLINK_GATEWAY_PROMPT_H_

#include <cstdint>
#include <vector>

#include "corianderlink/Gateway/upstream_record.h"

namespace corianderlink {

/// A part of a prompt.  Requests share parts; an engine reuses a cached part
/// if all parts before it are cached too.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

struct Prompt {
  std::vector<PromptPart> parts;
  uint32_t tokens = 0;
  uint32_t max_output_tokens = 0;
};

/// A prompt that an engine computes, after which it holds the parts.
struct PromptUse {
  UpstreamId upstream;
  std::vector<PromptPart> parts;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_PROMPT_H_
