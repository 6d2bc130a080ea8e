// Verdict on a request: whether it may have taken effect on its upstream.
#ifndef CORIANDERLINK_SUPPORT_VERDICT_H_
#define CORIANDERLINK_SUPPORT_VERDICT_H_

#include <string>
#include <utility>

namespace corianderlink {

/// Whether a request took effect on its upstream, as far as is known here.
enum class Verdict {
  kNotRun,      ///< It certainly had no effect; a retry is safe.
  kMayHaveRun,  ///< It was sent, at least in part, without a full response.
  kRan,         ///< A full response was received.
};

/// The verdict as written in error bodies and logs.
const char* ToString(Verdict verdict);

/// A verdict and, unless the request ran, the reason for it.
struct Outcome {
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  /// The host of the upstream has answered that no process listens there.
  bool connection_refused = false;

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
