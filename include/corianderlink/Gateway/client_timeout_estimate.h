// Estimates the timeout with which the clients of a route start a request.
//
// A client that retries after a refusal has clearly less time left than one
// that sends its first attempt; the difference is the time since its first
// attempt.  Timeouts of first attempts vary slightly, so a small difference
// does not count as a retry.
#ifndef CORIANDERLINK_GATEWAY_CLIENT_TIMEOUT_ESTIMATE_H_
#define CORIANDERLINK_GATEWAY_CLIENT_TIMEOUT_ESTIMATE_H_

#include <array>
#include <cstddef>

#include "corianderlink/Support/time.h"

namespace corianderlink {

class ClientTimeoutEstimate {
 public:
  /// Adds the time that a client has left at the start of a request.
  void Add(Duration timeout);
  /// Upper quartile of the latest samples; zero if there are none.
  Duration Value() const;
  /// Time since the first attempt of a client that has `time_left`; zero for a
  /// first attempt.
  Duration Elapsed(Duration time_left) const;

 private:
  static constexpr size_t kSampleCount = 64;

  std::array<Duration, kSampleCount> samples_{};
  size_t added_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_CLIENT_TIMEOUT_ESTIMATE_H_
