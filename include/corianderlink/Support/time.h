// Time types.  Code that makes decisions takes the current time as an argument;
// only tasks of the event loop read the clock.
#ifndef CORIANDERLINK_SUPPORT_TIME_H_
#define CORIANDERLINK_SUPPORT_TIME_H_

#include <chrono>
#include <cstdint>

namespace corianderlink {

/// Clock based on CLOCK_BOOTTIME, which also advances during system suspend.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT: set by the standard.
  /// Reads CLOCK_BOOTTIME.
  static time_point now();
};

/// A point in time of this instance's clock; not comparable between instances.
using Time = BootClock::time_point;
using Duration = BootClock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts to fractional milliseconds.
inline double ToMillis(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

/// Converts to fractional seconds.
inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

/// Converts from fractional seconds.
inline Duration FromSeconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_TIME_H_
