// One call to a plain service, that is, an HTTP service other than an engine.
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

class ServiceDispatcher;

/// A call as received from a client.
struct ServiceCall {
  RequestId id;
  AccountId account;
  ServiceId service;
  std::string method;
  /// Path and query of the request to the service.
  std::string target;
  std::string content_type;
  std::string body;
  /// Value of the Idempotency-Key header, or empty.
  std::string key;
  bool idempotent = false;
  /// Status codes by which the service reports that the call did not run.
  std::set<int64_t> not_run_statuses;
  Time deadline{};
};

/// Idempotent calls are retried within the deadline and the retry budget.
/// Other calls are sent to another worker only if they certainly did not run.
/// Non-idempotent calls with an idempotency key run under a claim.
class ServiceTask : public std::enable_shared_from_this<ServiceTask> {
 public:
  using Done = std::function<void(const ClaimResult&)>;

  ServiceTask(ServiceDispatcher& dispatcher, ServiceCall call, Done done);

  void Start();
  /// Response of the owner to a claim query about `nonce`.
  void OnOwnerResponse(const std::string& nonce, RevocationStatus status);
  /// The client disconnected.  Cancels an idempotent call; others continue, so
  /// that their outcome is stored.
  void OnClientDisconnected();

 private:
  void AdvanceClaim();
  void ExecuteClaimAction(const ClaimAttempt::Action& action);
  void AdvanceClaimAfter(Duration delay);
  void SendCall();
  void OnResponse(const Address& worker, const HttpResponse& response);
  void OnCallResponse(const CallResponse& call_response);
  void Finish(const ClaimResult& result);

  ServiceDispatcher& dispatcher_;
  const ServiceCall call_;
  Done done_;
  std::optional<ClaimAttempt> claim_;
  std::string queried_nonce_;
  EventHandle timer_;
  EventHandle store_timer_;
  std::shared_ptr<HttpCall> http_call_;
  AttemptHistory history_;
  int attempts_ = 0;
  std::set<Address> tried_workers_;
  bool client_disconnected_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_SERVICE_TASK_H_
