// Prefix cache of the stand-in engine: pieces of a prompt in limited memory,
// with an event log that may have gaps.
#ifndef CORIANDERLINK_TOOLS_STANDIN_ENGINE_PREFIX_CACHE_H_
#define CORIANDERLINK_TOOLS_STANDIN_ENGINE_PREFIX_CACHE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace corianderlink {

class PrefixCache {
 public:
  explicit PrefixCache(size_t capacity_pieces) : capacity_(capacity_pieces) {}

  /// Number of leading pieces held.
  size_t Hits(const std::vector<uint64_t>& pieces) const {
    size_t hits = 0;
    while (hits < pieces.size() && where_.count(pieces[hits]) > 0) ++hits;
    return hits;
  }

  /// Holds the pieces, evicting the least recently used ones.
  void Insert(const std::vector<uint64_t>& pieces) {
    for (const uint64_t piece : pieces) {
      const auto it = where_.find(piece);
      if (it != where_.end()) {
        order_.splice(order_.begin(), order_, it->second);
        continue;
      }
      order_.push_front(piece);
      where_[piece] = order_.begin();
      AddEvent("add", piece);
    }
    while (order_.size() > capacity_) {
      AddEvent("evict", order_.back());
      where_.erase(order_.back());
      order_.pop_back();
    }
  }

  void Clear() {
    order_.clear();
    where_.clear();
    AddEvent("clear", 0);
  }

  /// Events after `after`.  Every `gap_every`-th event is missing (0: none).
  nlohmann::json EventsAfter(uint64_t after, uint64_t gap_every) const {
    nlohmann::json list = nlohmann::json::array();
    for (const Event& event : events_) {
      if (event.sequence <= after) continue;
      if (gap_every > 0 && event.sequence % gap_every == 0) continue;
      list.push_back({{"sequence", event.sequence},
                      {"kind", event.kind},
                      {"piece", event.piece}});
    }
    return list;
  }

 private:
  struct Event {
    uint64_t sequence;
    std::string kind;
    uint64_t piece;
  };

  static constexpr size_t kMaxEvents = 4096;

  void AddEvent(const std::string& kind, uint64_t piece) {
    events_.push_back({++sequence_, kind, piece});
    if (events_.size() > kMaxEvents) events_.pop_front();
  }

  const size_t capacity_;
  std::list<uint64_t> order_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> where_;
  std::deque<Event> events_;
  uint64_t sequence_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_STANDIN_ENGINE_PREFIX_CACHE_H_
