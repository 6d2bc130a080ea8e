// Model of an engine's prefix cache.
#include "corianderlink/Gateway/prefix_cache_model.h"

namespace corianderlink {

uint32_t PrefixCacheModel::CachedTokens(const Prompt& prompt) const {
  uint32_t cached = 0;
  for (const PromptPart& part : prompt.parts) {
    const auto it = index_.find(part.id);
    if (it == index_.end() || it->second->tokens < part.tokens) break;
    cached += part.tokens;
  }
  return cached;
}

void PrefixCacheModel::Use(const std::vector<PromptPart>& parts) {
  // Leading parts are shared by most prompts, so they become the most recently
  // used.
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    const auto it = index_.find(part->id);
    if (it != index_.end()) {
      used_tokens_ -= it->second->tokens;
      lru_.erase(it->second);
    }
    lru_.push_front(*part);
    index_[part->id] = lru_.begin();
    used_tokens_ += part->tokens;
  }
  while (used_tokens_ > capacity_tokens_ && !lru_.empty()) {
    used_tokens_ -= lru_.back().tokens;
    index_.erase(lru_.back().id);
    lru_.pop_back();
  }
}

void PrefixCacheModel::Clear() {
  lru_.clear();
  index_.clear();
  used_tokens_ = 0;
}

}  // namespace corianderlink
