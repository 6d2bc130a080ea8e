// Guess of which prompt pieces an engine holds.
#include "corianderlink/Routing/prefix_index.h"

#include <algorithm>

namespace corianderlink {

void PrefixIndex::Add(Time now, uint64_t piece) {
  if (added_.size() >= max_pieces_ && added_.count(piece) == 0) {
    std::erase_if(added_, [&](const auto& entry) {
      return now - entry.second > max_age_ / 2;
    });
    if (added_.size() >= max_pieces_) return;
  }
  added_[piece] = now;
}

// A missed event may have been the eviction of the oldest entries, which an
// engine evicts first, so the older half is dropped.
void PrefixIndex::DropDoubtful() {
  if (added_.empty()) return;
  std::vector<Time> times;
  times.reserve(added_.size());
  for (const auto& [piece, time] : added_) times.push_back(time);
  const auto middle = times.begin() + static_cast<int64_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const Time median = *middle;
  std::erase_if(added_,
                [&](const auto& entry) { return entry.second < median; });
}

void PrefixIndex::OnEvent(Time now, const CacheEvent& event) {
  if (event.sequence <= last_sequence_) return;
  const bool gap = last_sequence_ > 0 && event.sequence > last_sequence_ + 1;
  if (gap) DropDoubtful();
  last_sequence_ = event.sequence;
  switch (event.kind) {
    case CacheEvent::Kind::kAdd:
      Add(now, event.piece);
      return;
    case CacheEvent::Kind::kEvict:
      added_.erase(event.piece);
      return;
    case CacheEvent::Kind::kClear:
      added_.clear();
      return;
  }
}

void PrefixIndex::OnDispatch(Time now, const std::vector<uint64_t>& pieces) {
  for (const uint64_t piece : pieces) Add(now, piece);
}

void PrefixIndex::OnMiss(const std::vector<uint64_t>& pieces) {
  for (const uint64_t piece : pieces) added_.erase(piece);
}

void PrefixIndex::Clear() {
  added_.clear();
  last_sequence_ = 0;
}

size_t PrefixIndex::Hits(Time now, const std::vector<uint64_t>& pieces) const {
  size_t hits = 0;
  for (const uint64_t piece : pieces) {
    const auto it = added_.find(piece);
    if (it == added_.end() || now - it->second > max_age_) break;
    ++hits;
  }
  return hits;
}

}  // namespace corianderlink
