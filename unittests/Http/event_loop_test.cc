// Tests of timers.
#include "corianderlink/Http/event_loop.h"

#include <gtest/gtest.h>

#include <thread>

namespace corianderlink {
namespace {

TEST(EventLoopTest, TimerRunsOnceAfterAStandstill) {
  EventLoop loop;
  int runs = 0;
  const EventHandle timer = loop.After(milliseconds(1), [&] { ++runs; });
  std::this_thread::sleep_for(milliseconds(100));
  const EventHandle stop =
      loop.After(milliseconds(30), [&loop] { loop.Stop(); });
  loop.Run();
  EXPECT_EQ(runs, 1);
}

}  // namespace
}  // namespace corianderlink
