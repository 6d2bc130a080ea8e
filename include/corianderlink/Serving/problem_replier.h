// Error responses of the entry process.
#ifndef CORIANDERLINK_SERVING_PROBLEM_REPLIER_H_
#define CORIANDERLINK_SERVING_PROBLEM_REPLIER_H_

#include <optional>
#include <string>

#include "corianderlink/Http/http_server.h"
#include "corianderlink/Http/problem.h"
#include "corianderlink/Support/metrics.h"

namespace corianderlink {

/// Sends error responses to clients and counts them.
class ProblemReplier {
 public:
  explicit ProblemReplier(Metrics& metrics) : metrics_(metrics) {}

  /// `retry_after` is left out if a retry makes no sense.
  void Reply(HttpExchange& exchange, int status, const std::string& title,
             const Outcome& outcome,
             std::optional<Duration> retry_after = std::nullopt) const {
    metrics_.Add("answers_total{status=\"" + std::to_string(status) + "\"}");
    ReplyProblem(exchange, {status, title, outcome, retry_after, ""});
  }

 private:
  Metrics& metrics_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_PROBLEM_REPLIER_H_
