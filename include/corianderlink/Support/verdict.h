// Verdict of an attempt: whether the request may have taken effect.
#ifndef CORIANDERLINK_SUPPORT_VERDICT_H_
#define CORIANDERLINK_SUPPORT_VERDICT_H_

#include <string>
#include <utility>

namespace corianderlink {

/// What is known about the effect of a request on its upstream.
enum class Verdict {
  kNotRun,      ///< It certainly took no effect; repeating it is safe.
  kMayHaveRun,  ///< Bytes left this process and no full answer came back.
  kRan,         ///< A full answer came back.
};

/// The verdict's spelling in error bodies and logs.
const char* ToString(Verdict verdict);

/// A verdict with the last reason for it, for errors.
struct Outcome {
  Verdict verdict = Verdict::kNotRun;
  std::string reason;

  static Outcome NotRun(std::string reason) {
    return {Verdict::kNotRun, std::move(reason)};
  }
  static Outcome MayHaveRun(std::string reason) {
    return {Verdict::kMayHaveRun, std::move(reason)};
  }
  static Outcome Ran() { return {Verdict::kRan, {}}; }
  bool ran() const { return verdict == Verdict::kRan; }
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_VERDICT_H_
