// Tests of the verdict over several attempts.
#include "corianderlink/Support/attempt_history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace corianderlink {
namespace {

// Naive version: the last attempt speaks for all.
RC_GTEST_PROP(AttemptHistoryProperty, NotRunIsSaidOnlyIfNoAttemptMayHaveRun,
              ()) {
  const auto numbers = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2)));
  AttemptHistory history;
  for (const int number : numbers) history.Add(static_cast<Verdict>(number));
  const auto last = static_cast<Verdict>(numbers.back());
  const Outcome concluded = history.Conclude({last, "reason"});
  const bool none_ran = std::all_of(numbers.begin(), numbers.end(),
                                    [](int number) { return number == 0; });
  RC_ASSERT((concluded.verdict == Verdict::kNotRun) == none_ran);
  RC_ASSERT(concluded.reason == "reason");
}

}  // namespace
}  // namespace corianderlink
