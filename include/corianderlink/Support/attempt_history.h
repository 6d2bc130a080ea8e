// Verdict of a request over all of its attempts.
#ifndef CORIANDERLINK_SUPPORT_ATTEMPT_HISTORY_H_
#define CORIANDERLINK_SUPPORT_ATTEMPT_HISTORY_H_

#include <utility>

#include "corianderlink/Support/verdict.h"

namespace corianderlink {

/// A request did not run only if none of its attempts may have run: a last
/// attempt that was refused says nothing about the ones before it.
class AttemptHistory {
 public:
  /// Records how an attempt ended.
  void Add(Verdict verdict) {
    may_have_run_ = may_have_run_ || verdict != Verdict::kNotRun;
  }

  /// What may be said of the whole request after its last attempt.
  Outcome Conclude(Outcome last) const {
    if (last.verdict == Verdict::kNotRun && may_have_run_) {
      last.verdict = Verdict::kMayHaveRun;
    }
    return last;
  }

 private:
  bool may_have_run_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_ATTEMPT_HISTORY_H_
