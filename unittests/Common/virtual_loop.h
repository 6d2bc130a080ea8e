// Discrete-event loop in virtual time for deterministic tests.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_VIRTUAL_LOOP_H_
#define CORIANDERLINK_UNITTESTS_COMMON_VIRTUAL_LOOP_H_

#include <functional>
#include <map>
#include <random>
#include <utility>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Runs events in the order of their virtual time and provides the random
/// numbers of a simulation.  Equal seeds give equal runs.
class VirtualLoop {
 public:
  explicit VirtualLoop(uint64_t seed) : random_(seed) {}

  Time now() const { return now_; }

  /// Runs `event` once `delay` has passed.
  void After(Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }

  /// Runs all events that are due up to `end` and advances the time to `end`.
  void RunUntil(Time end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      auto node = events_.extract(events_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }

  /// Random duration, uniform over the whole milliseconds in [low, high].
  Duration RandomMs(int low, int high) {
    return milliseconds(std::uniform_int_distribution<int>(low, high)(random_));
  }
  /// True with probability `p`.
  bool RandomBool(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }
  /// Random index, uniform in [0, count).
  int RandomIndex(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

 private:
  Time now_{seconds(1000)};
  std::multimap<Time, std::function<void()>> events_;
  std::mt19937_64 random_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_VIRTUAL_LOOP_H_
