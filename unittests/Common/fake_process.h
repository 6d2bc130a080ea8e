// A process in virtual time that can be killed, frozen and cut off.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_FAKE_PROCESS_H_
#define CORIANDERLINK_UNITTESTS_COMMON_FAKE_PROCESS_H_

#include <algorithm>
#include <functional>
#include <utility>

#include "Common/fault.h"
#include "Common/virtual_loop.h"

namespace corianderlink {

/// Life of one process.  A restart is a new incarnation; what was meant for
/// the old one is dropped.
class FakeProcess {
 public:
  explicit FakeProcess(VirtualLoop& loop) : loop_(loop) {}

  int incarnation() const { return incarnation_; }
  bool alive() const { return loop_.now() >= dead_until_; }
  bool frozen() const { return loop_.now() < frozen_until_; }
  bool cut() const { return loop_.now() < cut_until_; }

  /// Runs `work` after `delay` if `incarnation` still lives, after the freeze
  /// if it is frozen then.
  void RunAs(int incarnation, Duration delay, std::function<void()> work) {
    loop_.After(delay, [this, incarnation, work = std::move(work)] {
      if (incarnation != incarnation_ || !alive()) return;
      if (!frozen()) return work();
      RunAs(incarnation, frozen_until_ - loop_.now(), work);
    });
  }

  /// Runs `work` as the present incarnation.
  void Run(Duration delay, std::function<void()> work) {
    RunAs(incarnation_, delay, std::move(work));
  }

  /// Applies a fault for its duration.  `restart` runs when a killed process
  /// comes back.
  void Apply(const Fault& fault, const std::function<void()>& restart) {
    const Time end = loop_.now() + milliseconds(fault.duration_ms);
    switch (fault.kind) {
      case FaultKind::kKill:
        if (!alive()) return;
        ++incarnation_;
        dead_until_ = end;
        frozen_until_ = Time{};
        loop_.After(milliseconds(fault.duration_ms), restart);
        return;
      case FaultKind::kFreeze:
        frozen_until_ = std::max(frozen_until_, end);
        return;
      case FaultKind::kCut:
        cut_until_ = std::max(cut_until_, end);
        return;
      case FaultKind::kStoreDown:
      case FaultKind::kEngineCrash:
        return;
    }
  }

 private:
  VirtualLoop& loop_;
  int incarnation_ = 0;
  Time dead_until_{};
  Time frozen_until_{};
  Time cut_until_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_FAKE_PROCESS_H_
