// Estimate of which prompt pieces an engine holds in its prefix cache.
//
// Built from the engine's cache events, which arrive late and with gaps, and
// from the requests that this entry dispatched.  Entries expire after a maximum
// age; a gap in the events removes the entries that may have been evicted.
#ifndef CORIANDERLINK_ROUTING_PREFIX_INDEX_H_
#define CORIANDERLINK_ROUTING_PREFIX_INDEX_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// A change of an engine's prefix cache.
struct CacheEvent {
  enum class Kind { kAdd, kEvict, kClear };
  uint64_t sequence = 0;
  Kind kind = Kind::kAdd;
  uint64_t piece = 0;
};

/// Pieces that one engine is expected to have cached.
class PrefixIndex {
 public:
  /// An entry is valid for `max_age`; at most `max_pieces` entries are kept.
  PrefixIndex(Duration max_age, size_t max_pieces)
      : max_age_(max_age), max_pieces_(max_pieces) {}

  void OnEvent(Time now, const CacheEvent& event);
  /// Adds the pieces of a dispatched prompt, which the engine will cache.
  void OnDispatch(Time now, const std::vector<uint64_t>& pieces);
  /// Removes pieces that the engine had to compute although a hit was
  /// predicted.
  void OnMiss(const std::vector<uint64_t>& pieces);
  /// Removes all entries after a restart of the engine.
  void Clear();

  /// Returns the number of leading pieces that are expected to be cached.
  size_t Hits(Time now, const std::vector<uint64_t>& pieces) const;
  uint64_t last_sequence() const { return last_sequence_; }
  size_t size() const { return added_at_.size(); }

 private:
  void Add(Time now, uint64_t piece);
  void EvictOlderHalf();

  const Duration max_age_;
  const size_t max_pieces_;
  std::unordered_map<uint64_t, Time> added_at_;
  uint64_t last_sequence_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_ROUTING_PREFIX_INDEX_H_
