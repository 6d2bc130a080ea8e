// Splits a prompt into cache pieces and estimates its length in tokens.
#ifndef CORIANDERLINK_SUPPORT_PROMPT_PIECES_H_
#define CORIANDERLINK_SUPPORT_PROMPT_PIECES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace corianderlink {

/// Tokens in one piece of the engines' prefix cache.
constexpr uint64_t kPieceTokens = 2000;
/// Bytes of text that make one token, on average.
constexpr uint64_t kBytesPerToken = 4;

/// Estimated tokens of `prompt`; at least 1.
uint64_t EstimateTokens(const std::string& prompt);

/// Hash of each whole piece of `prompt`, chained over the pieces before it, so
/// that equal hashes mean equal prefixes.
std::vector<uint64_t> PieceHashes(const std::string& model,
                                  const std::string& prompt);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_PROMPT_PIECES_H_
