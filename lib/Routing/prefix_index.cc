// Estimate of which prompt pieces an engine holds in its prefix cache.
#include "corianderlink/Routing/prefix_index.h"

#include <algorithm>

namespace corianderlink {

void PrefixIndex::Add(Time now, uint64_t piece) {
  if (added_at_.size() >= max_pieces_ && added_at_.count(piece) == 0) {
    std::erase_if(added_at_, [&](const auto& entry) {
      return now - entry.second > max_age_ / 2;
    });
    if (added_at_.size() >= max_pieces_) return;
  }
  added_at_[piece] = now;
}

// Called after a gap in the events.  A lost event may have been an eviction,
// and engines evict their oldest entries first.
void PrefixIndex::EvictOlderHalf() {
  if (added_at_.empty()) return;
  std::vector<Time> times;
  times.reserve(added_at_.size());
  for (const auto& [piece, time] : added_at_) times.push_back(time);
  const auto middle = times.begin() + static_cast<int64_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const Time median = *middle;
  std::erase_if(added_at_,
                [&](const auto& entry) { return entry.second < median; });
}

void PrefixIndex::OnEvent(Time now, const CacheEvent& event) {
  if (event.sequence <= last_sequence_) return;
  const bool gap = last_sequence_ > 0 && event.sequence > last_sequence_ + 1;
  if (gap) EvictOlderHalf();
  last_sequence_ = event.sequence;
  switch (event.kind) {
    case CacheEvent::Kind::kAdd:
      Add(now, event.piece);
      return;
    case CacheEvent::Kind::kEvict:
      added_at_.erase(event.piece);
      return;
    case CacheEvent::Kind::kClear:
      added_at_.clear();
      return;
  }
}

void PrefixIndex::OnDispatch(Time now, const std::vector<uint64_t>& pieces) {
  for (const uint64_t piece : pieces) Add(now, piece);
}

void PrefixIndex::OnMiss(const std::vector<uint64_t>& pieces) {
  for (const uint64_t piece : pieces) added_at_.erase(piece);
}

void PrefixIndex::Clear() {
  added_at_.clear();
  last_sequence_ = 0;
}

size_t PrefixIndex::Hits(Time now, const std::vector<uint64_t>& pieces) const {
  size_t hits = 0;
  for (const uint64_t piece : pieces) {
    const auto it = added_at_.find(piece);
    if (it == added_at_.end() || now - it->second > max_age_) break;
    ++hits;
  }
  return hits;
}

}  // namespace corianderlink
