// How long clients of a route usually wait for an answer.
//
// A client that was refused and comes back has clearly less time left than one
// that asks for the first time; the difference is what it has waited already.
// The waits of first attempts differ a little by themselves.
#ifndef CORIANDERLINK_GATEWAY_USUAL_WAIT_H_
#define CORIANDERLINK_GATEWAY_USUAL_WAIT_H_

#include <array>
#include <cstddef>

#include "corianderlink/Support/time.h"

namespace corianderlink {

class UsualWait {
 public:
  void Add(Duration wait);
  /// The upper quartile of the latest waits; zero before any was added.
  Duration Value() const;
  /// How long a client that now waits for `wait` has waited before; zero for a
  /// first attempt.
  Duration Elapsed(Duration wait) const;

 private:
  static constexpr size_t kKept = 64;

  std::array<Duration, kKept> latest_{};
  size_t added_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_USUAL_WAIT_H_
