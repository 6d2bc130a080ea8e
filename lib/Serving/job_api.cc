// The HTTP API of durable jobs.
#include "corianderlink/Serving/job_api.h"

#include <utility>

#include "corianderlink/Serving/chat_request.h"
#include "corianderlink/Support/hash.h"
#include "corianderlink/Support/json_reader.h"

namespace corianderlink {
namespace {

constexpr size_t kJobIdChars = 32;

Json ToJson(const JobRecord& job) {
  Json json = {{"id", job.id.value()},
               {"object", "job"},
               {"status", ToString(job.state)}};
  if (job.state == JobState::kDone) json["result"] = job.result;
  if (job.state == JobState::kFailed) json["error"] = job.result;
  return json;
}

}  // namespace

void JobApi::OnRequest(const Exchange& exchange, const ClientAccount& account) {
  const std::string prefix = "/v1/jobs/";
  if (exchange->path() == "/v1/jobs") {
    if (exchange->method() == "POST") return Submit(exchange, account);
    return problems_.Reply(*exchange, 405, "Method not allowed",
                           Outcome::NotRun("use POST to submit a job"));
  }
  const JobId id(exchange->path().substr(prefix.size()));
  const bool valid =
      id.value().size() == kJobIdChars &&
      id.value().find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!valid) {
    return problems_.Reply(
        *exchange, 404, "Unknown job",
        Outcome::NotRun("a job's id has 32 hexadecimal digits"));
  }
  const auto respond = [this, exchange](const JobLookup& lookup) {
    switch (lookup.kind) {
      case JobLookup::Kind::kFound:
        exchange->Reply(200, "application/json", ToJson(lookup.job).dump());
        return;
      case JobLookup::Kind::kNotFound:
        return problems_.Reply(*exchange, 404, "Unknown job",
                               Outcome::NotRun("no such job of this account"));
      case JobLookup::Kind::kUnavailable:
        return problems_.Reply(*exchange, 503, "Job not readable",
                               Outcome::NotRun(lookup.reason), seconds(1));
    }
  };
  if (exchange->method() == "GET") return jobs_.Find(id, account.id, respond);
  if (exchange->method() == "DELETE") {
    return jobs_.Cancel(id, account.id, respond);
  }
  problems_.Reply(*exchange, 405, "Method not allowed",
                  Outcome::NotRun("use GET or DELETE on a job"));
}

void JobApi::Submit(const Exchange& exchange, const ClientAccount& account) {
  std::vector<JsonError> errors;
  const auto request = ParseChatRequest(exchange->body(), errors);
  if (!request) {
    return problems_.Reply(*exchange, 400, "Invalid request",
                           Outcome::NotRun(JoinErrors(errors)));
  }
  if (!scheduler_.router().Serves(request->model, request->adapter)) {
    return problems_.Reply(
        *exchange, 404, "Unknown model",
        Outcome::NotRun("no engine carries this model and adapter"));
  }
  const std::string key = exchange->Header("Idempotency-Key");
  JobRecord job;
  job.account = account.id;
  job.request = exchange->body();
  job.request_digest = JobRequestDigest(account.id, exchange->body());
  job.id = JobId(key.empty() ? node_.random().HexId()
                             : Sha256Hex(account.id.value() + "\njob\n" + key)
                                   .substr(0, kJobIdChars));
  jobs_.Submit(std::move(job), [this, exchange](const JobSubmitResult& result) {
    switch (result.kind) {
      case JobSubmitResult::Kind::kAccepted:
        exchange->Reply(202, "application/json", ToJson(result.job).dump(),
                        {{"Location", "/v1/jobs/" + result.job.id.value()}});
        return;
      case JobSubmitResult::Kind::kKeyReused:
        return problems_.Reply(
            *exchange, 422, "Key reused",
            Outcome::NotRun("the key was used for another job"));
      case JobSubmitResult::Kind::kNotRun:
        return problems_.Reply(*exchange, 503, "Job not accepted",
                               Outcome::NotRun(result.reason), seconds(2));
      case JobSubmitResult::Kind::kUnknown:
        return problems_.Reply(*exchange, 503, "Job may have been accepted",
                               Outcome::MayHaveRun(result.reason), seconds(2));
    }
  });
}

}  // namespace corianderlink
