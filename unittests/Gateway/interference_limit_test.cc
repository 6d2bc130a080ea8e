// Prefill work beside streams, for engines whose streams bear more or less.
#include "corianderlink/Gateway/interference_limit.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

// Streams whose pauses grow with the prefill work that the limit allows.
double SettledLimitMs(double pause_ms_per_prefill_ms) {
  constexpr double kObjectiveMs = 300;
  InterferenceLimit limit;
  for (int i = 0; i < 2000; ++i) {
    const double prefill_ms = limit.MaxPrefillMs(kObjectiveMs);
    limit.OnStreamEnd(prefill_ms * pause_ms_per_prefill_ms / kObjectiveMs);
  }
  return limit.MaxPrefillMs(kObjectiveMs);
}

TEST(InterferenceLimitTest, SettlesWherePausesMeetTheObjective) {
  EXPECT_NEAR(SettledLimitMs(4), 75, 12);
  EXPECT_NEAR(SettledLimitMs(2), 150, 24);
  // Streams that hardly notice prompts set no limit below the objective.
  EXPECT_NEAR(SettledLimitMs(0.1), 300, 1);
}

TEST(InterferenceLimitTest, RelativeLimitTellsHowMuchDecodeEnginesBear) {
  InterferenceLimit limit;
  EXPECT_DOUBLE_EQ(limit.Relative(), 1);
  for (int i = 0; i < 50; ++i) limit.OnStreamEnd(3);
  EXPECT_LT(limit.Relative(), 0.05);
}

}  // namespace
}  // namespace corianderlink
