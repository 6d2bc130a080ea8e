// The properties of a model request's prompt that placement uses.
#include "corianderlink/Gateway/prompt.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace corianderlink {

std::string FormatPartId(uint64_t id) {
  char text[2 * sizeof(id) + 1];
  std::snprintf(text, sizeof(text), "%" PRIx64, id);
  return text;
}

std::optional<uint64_t> ParsePartId(std::string_view text) {
  constexpr int kHexadecimal = 16;
  uint64_t id = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data(), end, id, kHexadecimal);
  if (error != std::errc{} || rest != end) return std::nullopt;
  return id;
}

}  // namespace corianderlink
