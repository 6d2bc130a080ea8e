// Error responses as application/problem+json (RFC 9457), extended by the
// verdict: whether the request may have been executed.
#ifndef CORIANDERLINK_HTTP_PROBLEM_H_
#define CORIANDERLINK_HTTP_PROBLEM_H_

#include <memory>
#include <optional>
#include <string>

#include "corianderlink/Support/time.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

class HttpExchange;

/// An error response.
struct Problem {
  int status = 500;
  std::string title;
  Outcome outcome;
  /// Delay after which the client may retry, if a retry makes sense.  Sent in
  /// whole seconds, rounded up, at least 1.
  std::optional<Duration> retry_after;
  /// Left out of the body if empty.
  std::string request_id;

  /// Returns the application/problem+json body.
  std::string ToJson() const;
};

/// Sends `problem` as the response of `exchange`, with Retry-After if a delay
/// is given.
void ReplyProblem(HttpExchange& exchange, const Problem& problem);

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_PROBLEM_H_
