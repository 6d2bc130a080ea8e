// Predicts which prompt parts an engine's prefix cache holds.
//
// Updated with the prompts that this gateway and its peers send to the engine.
// The least recently used parts are evicted when the parts exceed the capacity.
#ifndef CORIANDERLINK_GATEWAY_PREFIX_CACHE_MODEL_H_
#define CORIANDERLINK_GATEWAY_PREFIX_CACHE_MODEL_H_

#include <cstdint>
#include <list>
#include <unordered_map>

#include "corianderlink/Gateway/prompt.h"

namespace corianderlink {

/// LRU model of the prefix cache of one engine.
class PrefixCacheModel {
 public:
  explicit PrefixCacheModel(uint64_t capacity_tokens)
      : capacity_tokens_(capacity_tokens) {}

  /// Number of the prompt's leading tokens that are predicted to be cached.
  uint32_t CachedTokens(const Prompt& prompt) const;
  /// A prompt with these parts was sent to the engine.
  void Use(const std::vector<PromptPart>& parts);
  void Clear();

 private:
  const uint64_t capacity_tokens_;
  uint64_t used_tokens_ = 0;
  // Most recently used first.
  std::list<PromptPart> lru_;
  std::unordered_map<uint64_t, std::list<PromptPart>::iterator> index_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_PREFIX_CACHE_MODEL_H_
