// Time types.  Deciding functions take the present time as an argument; only
// tasks read the clock.
#ifndef CORIANDERLINK_SUPPORT_TIME_H_
#define CORIANDERLINK_SUPPORT_TIME_H_

#include <chrono>
#include <cstdint>

namespace corianderlink {

/// Tag clock for CLOCK_BOOTTIME, which also advances while a machine sleeps.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT: the standard's name.
  /// Reads CLOCK_BOOTTIME.
  static time_point now();
};

/// A point on this machine's own clock.  Never compared between machines.
using Time = BootClock::time_point;
using Duration = BootClock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Duration in milliseconds with a fraction.
inline double ToMillis(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

/// Duration in seconds with a fraction.
inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

/// Duration from seconds with a fraction.
inline Duration FromSeconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_TIME_H_
