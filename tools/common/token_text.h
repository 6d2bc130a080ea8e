// Deterministic answers of the stand-in engine, so that a caller can check
// that it received the whole answer to its own request.
#ifndef CORIANDERLINK_TOOLS_COMMON_TOKEN_TEXT_H_
#define CORIANDERLINK_TOOLS_COMMON_TOKEN_TEXT_H_

#include <cstdint>
#include <string>

#include "corianderlink/Support/hash.h"

namespace corianderlink {

/// The text that answers `prompt`, token by token.
class TokenText {
 public:
  explicit TokenText(const std::string& prompt) : seed_(StableHash(prompt)) {}

  /// Text of the token at `index`, with a trailing space.
  std::string At(uint64_t index) const {
    // SplitMix64 finalizer (Steele, Lea, Flood: Fast splittable PRNGs, 2014).
    uint64_t z = seed_ + (index + 1) * 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return "w" + std::to_string((z ^ (z >> 31)) % 100000) + " ";
  }

  /// Concatenation of the first `count` tokens.
  std::string First(uint64_t count) const {
    std::string text;
    for (uint64_t i = 0; i < count; ++i) text += At(i);
    return text;
  }

 private:
  uint64_t seed_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_COMMON_TOKEN_TEXT_H_
