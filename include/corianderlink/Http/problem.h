// Errors as application/problem+json (RFC 9457) with a verdict.
#ifndef CORIANDERLINK_HTTP_PROBLEM_H_
#define CORIANDERLINK_HTTP_PROBLEM_H_

#include <memory>
#include <optional>
#include <string>

#include "corianderlink/Support/time.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

class HttpExchange;

/// An error answer to a caller.
struct Problem {
  int status = 500;
  std::string title;
  Outcome outcome;
  /// When to come back, where that helps.  Sent in whole seconds, rounded up.
  std::optional<Duration> retry_after;
  std::string request_id;

  /// The problem+json body.
  std::string ToJson() const;
};

/// Answers `exchange` with `problem`.
void ReplyProblem(HttpExchange& exchange, const Problem& problem);

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_PROBLEM_H_
