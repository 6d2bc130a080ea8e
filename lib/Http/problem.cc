// Error responses as application/problem+json.
#include "corianderlink/Http/problem.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "corianderlink/Http/http_exchange.h"

namespace corianderlink {
namespace {

int64_t RoundUpToSeconds(Duration d) {
  const auto rounded = std::chrono::ceil<seconds>(d).count();
  return std::max<int64_t>(1, rounded);
}

}  // namespace

std::string Problem::ToJson() const {
  nlohmann::json body = {{"type", "about:blank"},
                         {"title", title},
                         {"status", status},
                         {"verdict", ToString(outcome.verdict)},
                         {"detail", outcome.reason}};
  if (!request_id.empty()) body["request_id"] = request_id;
  if (retry_after) body["retry_after_s"] = RoundUpToSeconds(*retry_after);
  // The reason may contain bytes sent by a client; invalid UTF-8 is replaced.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void ReplyProblem(HttpExchange& exchange, const Problem& problem) {
  HttpHeaders headers;
  if (problem.retry_after) {
    headers.emplace_back(
        "Retry-After", std::to_string(RoundUpToSeconds(*problem.retry_after)));
  }
  exchange.Reply(problem.status, "application/problem+json", problem.ToJson(),
                 headers);
}

}  // namespace corianderlink
