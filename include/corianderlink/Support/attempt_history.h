// Verdict on a request that was attempted several times.
#ifndef CORIANDERLINK_SUPPORT_ATTEMPT_HISTORY_H_
#define CORIANDERLINK_SUPPORT_ATTEMPT_HISTORY_H_

#include <utility>

#include "corianderlink/Support/verdict.h"

namespace corianderlink {

/// Combines the verdicts of a request's attempts.  The request did not run only
/// if none of its attempts may have run: that the last attempt did not run says
/// nothing about the earlier ones.
class AttemptHistory {
 public:
  /// Records the verdict of one attempt.
  void Add(Verdict verdict) {
    may_have_run_ = may_have_run_ || verdict != Verdict::kNotRun;
  }

  /// Returns the outcome of the request.  `last`, the outcome of the last
  /// attempt, becomes kMayHaveRun if it is kNotRun and an earlier attempt may
  /// have run; its reason is kept.
  Outcome CombinedOutcome(Outcome last) const {
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
