// The HTTP API of durable jobs.
#ifndef CORIANDERLINK_SERVING_JOB_API_H_
#define CORIANDERLINK_SERVING_JOB_API_H_

#include <memory>

#include "corianderlink/Http/http_server.h"
#include "corianderlink/Node/node.h"
#include "corianderlink/Serving/chat_scheduler.h"
#include "corianderlink/Serving/client_account.h"
#include "corianderlink/Serving/job_runner.h"
#include "corianderlink/Serving/problem_replier.h"

namespace corianderlink {

/// Answers the requests to submit, read and cancel jobs.
class JobApi {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  JobApi(Node& node, ChatScheduler& scheduler, JobRunner& jobs,
         const ProblemReplier& problems)
      : node_(node), scheduler_(scheduler), jobs_(jobs), problems_(problems) {}

  /// Answers a request whose path is /v1/jobs or begins with /v1/jobs/.
  void OnRequest(const Exchange& exchange, const ClientAccount& account);

 private:
  void Submit(const Exchange& exchange, const ClientAccount& account);

  Node& node_;
  ChatScheduler& scheduler_;
  JobRunner& jobs_;
  const ProblemReplier& problems_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_JOB_API_H_
