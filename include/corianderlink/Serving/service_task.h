// One call of a plain service.
#ifndef CORIANDERLINK_SERVING_SERVICE_TASK_H_
#define CORIANDERLINK_SERVING_SERVICE_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_client.h"
#include "corianderlink/Release/specs.h"
#include "corianderlink/Serving/claim_attempt.h"
#include "corianderlink/Support/attempt_history.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

class ServiceGateway;

/// A call as the caller sent it.
struct ServiceCall {
  RequestId id;
  AccountId account;
  ServiceId service;
  std::string method;
  /// Path and query at the service.
  std::string target;
  std::string content_type;
  std::string body;
  /// Idempotency-Key, or empty.
  std::string key;
  bool idempotent = false;
  std::set<int64_t> not_run_statuses;
  Time deadline{};
};

/// Idempotent calls are retried within the deadline and the retry budget.
/// Other calls are sent to a further worker only if they certainly did not run.
/// Calls with a key run under a claim.
class ServiceTask : public std::enable_shared_from_this<ServiceTask> {
 public:
  using Done = std::function<void(const ClaimResult&)>;

  ServiceTask(ServiceGateway& gateway, ServiceCall call, Done done);

  void Start();
  /// The owner of a foreign claim answered.
  void OnOwnerResponse(const std::string& nonce, RevocationStatus status);
  /// The caller left.  A call that was not idempotent goes on, so that its
  /// outcome is stored.
  void OnCallerLeft();

 private:
  void DriveClaim();
  void RunClaimAction(const ClaimAttempt::Action& action);
  void Retry(Duration delay);
  void SendCall();
  void OnResponse(const Address& worker, const HttpResponse& response);
  void OnCallResponse(const CallResponse& call_response);
  void Finish(const ClaimResult& result);

  ServiceGateway& gateway_;
  const ServiceCall call_;
  Done done_;
  std::optional<ClaimAttempt> claim_;
  std::string asked_nonce_;
  EventHandle timer_;
  EventHandle store_timer_;
  std::shared_ptr<HttpCall> http_;
  AttemptHistory history_;
  int attempts_ = 0;
  std::set<Address> tried_;
  bool caller_left_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_SERVICE_TASK_H_
