// The properties of a model request's prompt that placement uses.
#include "corianderlink/Gateway/prompt.h"

#include <cinttypes>
#include <cstdio>

namespace corianderlink {

std::string FormatPartId(uint64_t id) {
  char text[2 * sizeof(id) + 1];
  std::snprintf(text, sizeof(text), "%" PRIx64, id);
  return text;
}

}  // namespace corianderlink
