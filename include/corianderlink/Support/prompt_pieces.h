// Splits a prompt into prefix-cache blocks, called pieces in the engines' API,
// and estimates its length in tokens.
#ifndef CORIANDERLINK_SUPPORT_PROMPT_PIECES_H_
#define CORIANDERLINK_SUPPORT_PROMPT_PIECES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace corianderlink {

/// Tokens in one piece of the engines' prefix cache.
constexpr uint64_t kPieceTokens = 2000;
/// Average number of bytes of text per token.
constexpr uint64_t kBytesPerToken = 4;

/// Estimated tokens of `prompt`; at least 1.
uint64_t EstimateTokens(const std::string& prompt);

/// Returns the hash of each complete piece of `prompt`.  Each hash is chained
/// with those of the model and the preceding pieces, so that equal hashes mean
/// equal prefixes.
std::vector<uint64_t> PieceHashes(const std::string& model,
                                  const std::string& prompt);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_PROMPT_PIECES_H_
