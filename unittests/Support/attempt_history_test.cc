// Tests of the combined verdict on several attempts.
#include "corianderlink/Support/attempt_history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace corianderlink {
namespace {

// Guards against taking the verdict of the last attempt for the whole request.
RC_GTEST_PROP(AttemptHistoryProperty, ReportsNotRunOnlyIfNoAttemptMayHaveRun,
              ()) {
  const auto attempts = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2)));
  AttemptHistory history;
  for (const int attempt : attempts) history.Add(static_cast<Verdict>(attempt));
  const auto last = static_cast<Verdict>(attempts.back());
  const Outcome outcome = history.CombinedOutcome({last, "reason"});
  const bool no_attempt_may_have_run =
      std::all_of(attempts.begin(), attempts.end(),
                  [](int attempt) { return attempt == 0; });
  RC_ASSERT((outcome.verdict == Verdict::kNotRun) == no_attempt_may_have_run);
  RC_ASSERT(outcome.reason == "reason");
}

}  // namespace
}  // namespace corianderlink
