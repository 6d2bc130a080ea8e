// Guess of which prompt pieces each engine holds in its cache.
//
// Built from the engines' events, which are late and have gaps, and from own
// dispatches.  Entries age; a gap clears what it makes doubtful.
#ifndef CORIANDERLINK_ROUTING_PREFIX_INDEX_H_
#define CORIANDERLINK_ROUTING_PREFIX_INDEX_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// One event of an engine's cache.
struct CacheEvent {
  enum class Kind { kAdd, kEvict, kClear };
  uint64_t sequence = 0;
  Kind kind = Kind::kAdd;
  uint64_t piece = 0;
};

/// Pieces that one engine is believed to hold.
class PrefixIndex {
 public:
  /// An entry counts for `max_age`; at most `max_pieces` are kept.
  PrefixIndex(Duration max_age, size_t max_pieces)
      : max_age_(max_age), max_pieces_(max_pieces) {}

  void OnEvent(Time now, const CacheEvent& event);
  /// A prompt was dispatched: its pieces will be held.
  void OnDispatch(Time now, const std::vector<uint64_t>& pieces);
  /// The engine computed more than predicted: the pieces are not held.
  void OnMiss(const std::vector<uint64_t>& pieces);
  /// The engine restarted.
  void Clear();

  /// Leading pieces believed to be held.
  size_t Hits(Time now, const std::vector<uint64_t>& pieces) const;
  uint64_t last_sequence() const { return last_sequence_; }
  size_t size() const { return added_.size(); }

 private:
  void Add(Time now, uint64_t piece);
  void DropDoubtful();

  const Duration max_age_;
  const size_t max_pieces_;
  std::unordered_map<uint64_t, Time> added_;
  uint64_t last_sequence_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_ROUTING_PREFIX_INDEX_H_
