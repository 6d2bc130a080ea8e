// Simulated process that can be killed, frozen and partitioned in virtual time.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_FAKE_PROCESS_H_
#define CORIANDERLINK_UNITTESTS_COMMON_FAKE_PROCESS_H_

#include <algorithm>
#include <functional>
#include <utility>

#include "Common/fault.h"
#include "Common/virtual_loop.h"

namespace corianderlink {

/// Tracks the state of one simulated process.  Each kill starts a new
/// incarnation; work scheduled for an earlier incarnation is dropped.
class FakeProcess {
 public:
  explicit FakeProcess(VirtualLoop& loop) : loop_(loop) {}

  int incarnation() const { return incarnation_; }
  bool alive() const { return loop_.now() >= killed_until_; }
  bool frozen() const { return loop_.now() < frozen_until_; }
  /// True during a network partition.  Callers check it before they send a
  /// message from or deliver one to this process.
  bool partitioned() const { return loop_.now() < partitioned_until_; }

  /// Runs `work` after `delay`, unless `incarnation` was killed by then.  If
  /// the process is frozen at that time, `work` runs when the freeze ends.
  void RunAs(int incarnation, Duration delay, std::function<void()> work) {
    loop_.After(delay, [this, incarnation, work = std::move(work)] {
      if (incarnation != incarnation_ || !alive()) return;
      if (!frozen()) return work();
      RunAs(incarnation, frozen_until_ - loop_.now(), work);
    });
  }

  /// Runs `work` after `delay` in the current incarnation.
  void Run(Duration delay, std::function<void()> work) {
    RunAs(incarnation_, delay, std::move(work));
  }

  /// Applies a fault for its duration.  After a kill, `restart` runs at the end
  /// of that duration; a kill is ignored while the process is dead.  Faults of
  /// the table service and of engines have no effect here.
  void Apply(const Fault& fault, const std::function<void()>& restart) {
    const Time end = loop_.now() + milliseconds(fault.duration_ms);
    switch (fault.kind) {
      case FaultKind::kKill:
        if (!alive()) return;
        ++incarnation_;
        killed_until_ = end;
        frozen_until_ = Time{};
        loop_.After(milliseconds(fault.duration_ms), restart);
        return;
      case FaultKind::kFreeze:
        frozen_until_ = std::max(frozen_until_, end);
        return;
      case FaultKind::kPartition:
        partitioned_until_ = std::max(partitioned_until_, end);
        return;
      case FaultKind::kStoreDown:
      case FaultKind::kEngineCrash:
        return;
    }
  }

 private:
  VirtualLoop& loop_;
  int incarnation_ = 0;
  Time killed_until_{};
  Time frozen_until_{};
  Time partitioned_until_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_FAKE_PROCESS_H_
