// One call to a plain service, that is, an HTTP service other than an engine.
#include "corianderlink/Serving/service_task.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Serving/service_dispatcher.h"
#include "corianderlink/Support/hash.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr int kMaxAttempts = 4;
constexpr milliseconds kOwnerQueryTimeout{500};
constexpr milliseconds kStoreRetryDelay{100};
// Maximum delay of the response to the client while the outcome is stored.
constexpr milliseconds kMaxStoreWait{1000};
constexpr milliseconds kCallRetryDelay{20};

std::string RequestDigest(const ServiceCall& call) {
  return Sha256Hex(call.account.value() + "\n" + call.service.value() + "\n" +
                   call.method + "\n" + call.target + "\n" + call.body);
}

}  // namespace

ServiceTask::ServiceTask(ServiceDispatcher& dispatcher, ServiceCall call,
                         Done done)
    : dispatcher_(dispatcher), call_(std::move(call)), done_(std::move(done)) {}

void ServiceTask::Start() {
  const bool needs_claim = !call_.idempotent && !call_.key.empty();
  if (!needs_claim) return SendCall();
  Node& node = dispatcher_.node();
  ClaimRecord own_record;
  own_record.owner = node.self();
  own_record.owner_address = node.addresses().peer.ToString();
  own_record.request_digest = RequestDigest(call_);
  claim_.emplace(
      ClaimRowKey(call_.account, call_.key), std::move(own_record),
      [&node] { return node.random().HexId(); }, dispatcher_.ledger(),
      call_.deadline);
  AdvanceClaim();
}

void ServiceTask::AdvanceClaim() {
  const ClaimAttempt::Action action = claim_->Next(BootClock::now());
  ExecuteClaimAction(action);
}

void ServiceTask::ExecuteClaimAction(const ClaimAttempt::Action& action) {
  const auto self = shared_from_this();
  HttpTableStore& table = dispatcher_.node().table();
  switch (action.kind) {
    case ClaimAttempt::Action::Kind::kWait:
      return;
    case ClaimAttempt::Action::Kind::kRead:
      table.ReadPrefix(claim_->row_key(), [self](const ReadResult& result) {
        self->claim_->OnRead(result);
        self->AdvanceClaimAfter(result.rows ? Duration(0) : kStoreRetryDelay);
      });
      return;
    case ClaimAttempt::Action::Kind::kCommit:
      table.Commit(action.txn, [self](const CommitResult& result) {
        self->claim_->OnCommit(result);
        const bool answered = result.status == CommitStatus::kCommitted ||
                              result.status == CommitStatus::kConflict;
        self->AdvanceClaimAfter(answered ? Duration(0) : kStoreRetryDelay);
      });
      return;
    case ClaimAttempt::Action::Kind::kQueryOwner:
      queried_nonce_ = action.nonce;
      timer_ = dispatcher_.node().loop().After(kOwnerQueryTimeout, [self] {
        self->queried_nonce_.clear();
        self->claim_->OnOwnerResponse(std::nullopt);
        self->AdvanceClaim();
      });
      dispatcher_.QueryOwner(action.owner_address, claim_->row_key(),
                             action.nonce, self);
      return;
    case ClaimAttempt::Action::Kind::kDispatch:
      return SendCall();
    case ClaimAttempt::Action::Kind::kDone:
      return Finish(claim_->result());
  }
}

void ServiceTask::AdvanceClaimAfter(Duration delay) {
  if (delay.count() == 0) return AdvanceClaim();
  const auto self = shared_from_this();
  timer_ =
      dispatcher_.node().loop().After(delay, [self] { self->AdvanceClaim(); });
}

void ServiceTask::OnOwnerResponse(const std::string& nonce,
                                  RevocationStatus status) {
  if (!claim_ || queried_nonce_ != nonce) return;
  queried_nonce_.clear();
  timer_.Reset();
  claim_->OnOwnerResponse(status);
  AdvanceClaim();
}

void ServiceTask::SendCall() {
  const Time now = BootClock::now();
  const auto worker =
      dispatcher_.ChooseWorker(now, call_.service, tried_workers_);
  if (!worker) {
    return OnCallResponse(
        {history_.CombinedOutcome(Outcome::NotRun("the service has no worker")),
         0, "", ""});
  }
  if (now >= call_.deadline) {
    return OnCallResponse(
        {history_.CombinedOutcome(Outcome::NotRun("deadline exceeded")), 0, "",
         ""});
  }
  ++attempts_;
  tried_workers_.insert(*worker);
  HttpRequest request;
  request.address = *worker;
  request.method = call_.method;
  request.target = call_.target;
  request.body = call_.body;
  request.timeout = call_.deadline - now;
  request.headers.emplace_back("X-Request-Id", call_.id.value());
  if (!call_.content_type.empty()) {
    request.headers.emplace_back("Content-Type", call_.content_type);
  }
  if (!call_.key.empty()) {
    request.headers.emplace_back("Idempotency-Key", call_.key);
  }
  const auto self = shared_from_this();
  http_call_ = dispatcher_.node().client().Start(
      request, [self, worker = *worker](const HttpResponse& response) {
        self->OnResponse(worker, response);
      });
}

void ServiceTask::OnResponse(const Address& worker,
                             const HttpResponse& response) {
  http_call_ = nullptr;
  const Time now = BootClock::now();
  CallResponse call_response{response.outcome, response.status,
                             response.Header("Content-Type"), response.body};
  const bool rejected = response.outcome.ran() &&
                        call_.not_run_statuses.count(response.status) > 0;
  if (rejected) {
    call_response.outcome = Outcome::NotRun("the service refused with status " +
                                            std::to_string(response.status));
  }
  history_.Add(call_response.outcome.verdict);
  const bool failed = !response.outcome.ran() || response.status >= 500;
  dispatcher_.OnWorkerResult(now, call_.service, worker, failed);
  if (!failed) dispatcher_.retry_budget().OnSuccess();
  const bool may_repeat =
      call_.idempotent || call_response.outcome.verdict == Verdict::kNotRun;
  const bool wants_retry = failed || rejected;
  const bool retry = wants_retry && may_repeat && !client_disconnected_ &&
                     attempts_ < kMaxAttempts &&
                     now + kCallRetryDelay < call_.deadline &&
                     dispatcher_.retry_budget().TryRetry();
  if (!retry) {
    call_response.outcome = history_.CombinedOutcome(call_response.outcome);
    return OnCallResponse(call_response);
  }
  dispatcher_.node().metrics().Add("retries_total");
  const auto self = shared_from_this();
  timer_ = dispatcher_.node().loop().After(kCallRetryDelay,
                                           [self] { self->SendCall(); });
}

void ServiceTask::OnCallResponse(const CallResponse& call_response) {
  if (claim_) {
    claim_->OnCallResponse(call_response);
    const auto self = shared_from_this();
    // Responds to the client even if storing the outcome is slow; storing
    // continues.
    store_timer_ = dispatcher_.node().loop().After(kMaxStoreWait, [self] {
      if (self->done_) {
        std::exchange(self->done_, nullptr)(self->claim_->result());
      }
    });
    return AdvanceClaim();
  }
  ClaimResult result;
  result.response = call_response;
  result.reason = call_response.outcome.reason;
  switch (call_response.outcome.verdict) {
    case Verdict::kRan:
      result.kind = ClaimResult::Kind::kResponse;
      break;
    case Verdict::kNotRun:
      result.kind = ClaimResult::Kind::kNotRun;
      break;
    case Verdict::kMayHaveRun:
      result.kind = ClaimResult::Kind::kMayHaveRun;
      break;
  }
  Finish(result);
}

void ServiceTask::OnClientDisconnected() {
  client_disconnected_ = true;
  if (!call_.idempotent || http_call_ == nullptr) return;
  http_call_->Cancel();
  http_call_ = nullptr;
  Finish({});
}

void ServiceTask::Finish(const ClaimResult& result) {
  const auto keep_alive = shared_from_this();
  timer_.Reset();
  store_timer_.Reset();
  dispatcher_.OnTaskEnded(keep_alive);
  if (done_) std::exchange(done_, nullptr)(result);
}

}  // namespace corianderlink
