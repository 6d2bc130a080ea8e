// Chained hashes of the pieces of a prompt.
#include "corianderlink/Support/prompt_pieces.h"

#include <algorithm>
#include <string_view>

#include "corianderlink/Support/hash.h"

namespace corianderlink {

uint64_t EstimateTokens(const std::string& prompt) {
  return std::max<uint64_t>(1, prompt.size() / kBytesPerToken);
}

std::vector<uint64_t> PieceHashes(const std::string& model,
                                  const std::string& prompt) {
  constexpr size_t kPieceBytes = kPieceTokens * kBytesPerToken;
  std::vector<uint64_t> hashes;
  uint64_t previous = StableHash(model);
  for (size_t at = 0; at + kPieceBytes <= prompt.size(); at += kPieceBytes) {
    const std::string_view piece(prompt.data() + at, kPieceBytes);
    previous = previous * 0x9e3779b97f4a7c15ULL ^ StableHash(piece);
    hashes.push_back(previous);
  }
  return hashes;
}

}  // namespace corianderlink
