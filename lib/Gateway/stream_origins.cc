// At which software version streams began.
#include "corianderlink/Gateway/stream_origins.h"

#include <utility>

namespace corianderlink {
namespace {

constexpr size_t kMaxQueued = 8192;

}  // namespace

bool StreamOrigins::Insert(const StreamOrigin& origin) {
  if (!origins_.try_emplace(origin.key, origin).second) return false;
  order_.push_back(origin.key);
  if (order_.size() > kMaxOrigins) {
    origins_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

void StreamOrigins::Enqueue(std::deque<StreamOrigin>& queue,
                            const StreamOrigin& origin) {
  queue.push_back(origin);
  if (queue.size() > kMaxQueued) queue.pop_front();
}

void StreamOrigins::Add(const StreamOrigin& origin) {
  if (!Insert(origin)) return;
  Enqueue(unsent_, origin);
  Enqueue(unlogged_, origin);
}

void StreamOrigins::AddKnown(const StreamOrigin& origin, bool is_logged) {
  if (!Insert(origin) || is_logged) return;
  Enqueue(unlogged_, origin);
}

std::optional<StreamOrigin> StreamOrigins::Find(StreamKey key) const {
  const auto it = origins_.find(key);
  if (it == origins_.end()) return std::nullopt;
  return it->second;
}

std::vector<StreamOrigin> StreamOrigins::TakeUnsent(size_t most,
                                                    const Filter& filter) {
  return Take(unsent_, most, filter);
}

std::vector<StreamOrigin> StreamOrigins::TakeUnlogged(size_t most,
                                                      const Filter& filter) {
  return Take(unlogged_, most, filter);
}

std::vector<StreamOrigin> StreamOrigins::Take(std::deque<StreamOrigin>& queue,
                                              size_t most,
                                              const Filter& filter) {
  std::vector<StreamOrigin> taken;
  std::deque<StreamOrigin> rest;
  for (StreamOrigin& origin : queue) {
    if (taken.size() < most && filter(origin.service)) {
      taken.push_back(std::move(origin));
    } else {
      rest.push_back(std::move(origin));
    }
  }
  queue = std::move(rest);
  return taken;
}

void StreamOrigins::Forget(Time oldest) {
  while (!order_.empty()) {
    const auto it = origins_.find(order_.front());
    if (it != origins_.end() && it->second.begun_at >= oldest) break;
    if (it != origins_.end()) origins_.erase(it);
    order_.pop_front();
  }
  const auto is_old = [oldest](const StreamOrigin& origin) {
    return origin.begun_at < oldest;
  };
  std::erase_if(unsent_, is_old);
  std::erase_if(unlogged_, is_old);
}

}  // namespace corianderlink
