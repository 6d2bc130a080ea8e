// Relaying a request: failed attempts, retries, refusals and the deadline.
#include <utility>

#include "corianderlink/Gateway/refusal_delay.h"
#include "corianderlink/Gateway/relay_task.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Maximum number of attempts per request, including those that an upstream
// refused.
constexpr int kMaxSends = 4;
// A retry with less time than this before the deadline cannot succeed.
constexpr double kMinAttemptMs = 20;
constexpr char kGatewayStops[] = "the gateway stops";
constexpr char kNoTimeLeft[] = "the gateway stops before an attempt would end";

}  // namespace

void RelayTask::OnUpstreamFailure(const Outcome& outcome) {
  if (finished_) return;
  reached_upstream_ = outcome.verdict != Verdict::kNotRun;
  if (!reached_upstream_) arrivals_.OnNotReached();
  call_.reset();
  context_.on_suspect_failure(BootClock::now(), placement_->upstream, outcome);
  CheckForCrash(outcome);
  OnAttemptFailed(outcome, true);
}

void RelayTask::OnAttemptFailed(const Outcome& outcome, bool upstream_failed) {
  const Time now = BootClock::now();
  // The prefill stage generates no output, so it can always be repeated.
  const bool not_run =
      placement_->prefill_only || outcome.verdict == Verdict::kNotRun;
  if (not_run && !placement_->prefill_only) --possible_runs_;
  const Outcome final_outcome{not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
                              outcome.reason};
  if (TryReserveRetry(now, final_outcome.verdict)) {
    RetryOnOtherUpstream(now, final_outcome, upstream_failed);
    return;
  }
  if (CanResumeLater(now, final_outcome.verdict)) {
    RecordFailedAttempt(now, final_outcome, upstream_failed, "later");
    kv_handle_.reset();
    ScheduleResume();
    return;
  }
  RecordFailedAttempt(now, final_outcome, upstream_failed, "no");
  FailRequest(final_outcome);
}

void RelayTask::RecordFailedAttempt(Time now, const Outcome& outcome,
                                    bool upstream_failed, const char* retry) {
  EndDispatch();
  if (!reached_upstream_) {
    context_.placer.OnUnreachable(now, placement_->upstream);
  } else if (upstream_failed) {
    context_.placer.OnFailure(now, placement_->upstream);
  }
  excluded_.insert(placement_->upstream.id);
  Log(LogLevel::kInfo, "attempt_failed",
      {{"request", request_.id.value()},
       {"upstream", placement_->upstream.id.value()},
       {"version", placement_->upstream.version.value()},
       {"verdict", ToString(outcome.verdict)},
       {"reason", outcome.reason},
       {"connection", connection_.number},
       {"elapsed_ms", ToMillis(now - sent_at_)},
       {"events", events_received_},
       {"shared_parts", SharedPartsText()},
       {"digest", FormatPartId(RequestDigest())},
       {"retry", retry}});
}

void RelayTask::RetryOnOtherUpstream(Time now, const Outcome& outcome,
                                     bool upstream_failed) {
  const bool was_prefill_stage = placement_->prefill_only;
  RecordFailedAttempt(now, outcome, upstream_failed, "yes");
  context_.metrics.Add("gateway_retries_total");
  // If the decode engine did not run the request, the prefill engine still
  // holds the KV cache for another decode engine.
  if (kv_handle_ && outcome.verdict == Verdict::kNotRun && !was_prefill_stage) {
    SendDecodeStage();
    return;
  }
  kv_handle_.reset();
  PlaceAndSend();
}

bool RelayTask::CanResumeLater(Time now, Verdict verdict) {
  return exchange_->response_started() && is_stream() && route_.idempotent() &&
         IsRunAllowed(now, verdict);
}

bool RelayTask::IsRetryAllowed(Time now, Verdict verdict) {
  return sends_ < kMaxSends && IsRunAllowed(now, verdict);
}

bool RelayTask::IsRunAllowed(Time now, Verdict verdict) {
  if (DeadlineLeftMs(now) < kMinAttemptMs) return false;
  // Only a stream can go on with the events of another run.
  const bool has_partial_body = exchange_->response_started() && !is_stream();
  if (has_partial_body) return false;
  if (verdict != Verdict::kNotRun) {
    if (!route_.idempotent() || possible_runs_ >= route_.max_runs) return false;
    if (context_.quarantine.IsSuspect(Suspects())) return false;
  }
  return true;
}

bool RelayTask::HasAlternative(Time now) {
  // An attempt that may have run would be given up for a refusal.
  if (possible_runs_ > 0 && !FitsStop(now)) return false;
  const bool can_forward =
      !from_peer_ && (context_.must_forward(now, service_.id) ||
                      context_.can_peer_serve_better(now, service_.id));
  if (can_forward) return true;
  const auto [excluded, is_new] = excluded_.insert(placement_->upstream.id);
  const bool is_placeable = ChoosePlacement(now).placement.has_value();
  if (is_new) excluded_.erase(excluded);
  return is_placeable;
}

bool RelayTask::TryReserveRetry(Time now, Verdict verdict) {
  return IsRetryAllowed(now, verdict) &&
         arrivals_.TryCover(now, RequestArrivals::Attempt::kOneCall);
}

void RelayTask::FailRequest(const Outcome& outcome) {
  if (exchange_->response_started()) {
    exchange_->Abort();
    Finish("cut", 0, outcome.reason);
    return;
  }
  if (outcome.verdict == Verdict::kNotRun && possible_runs_ == 0) {
    Refuse(outcome.reason, std::nullopt);
    return;
  }
  exchange_->SendResponse(
      502, context_.codec.encode_error_fields(request_.id, {}), "");
  Finish("failed", 502, outcome.reason);
}

void RelayTask::Refuse(const std::string& reason,
                       std::optional<Duration> retry_after) {
  ReleaseKvHandle();
  const Duration delay =
      RefusalDelay(deadline_ - exchange_->received_at(),
                   retry_after.value_or(Duration::zero()), context_.random);
  exchange_->SendResponse(
      503, context_.codec.encode_error_fields(request_.id, delay), "");
  context_.metrics.Add("gateway_refusals_total");
  Finish("refused", 503, reason);
}

void RelayTask::RefuseForGood(const std::string& reason) {
  ReleaseKvHandle();
  exchange_->SendResponse(
      503, context_.codec.encode_error_fields(request_.id, {}), "");
  context_.metrics.Add("gateway_refusals_total");
  Finish("refused", 503, reason);
}

void RelayTask::OnDeadline() {
  if (finished_) return;
  if (placement_ && dispatch_ != 0) {
    context_.placer.OnFailure(BootClock::now(), placement_->upstream);
  }
  EndUnanswered("time ran out");
}

void RelayTask::OnProcessEnding() {
  if (finished_) return;
  if (possible_runs_ > 0 || exchange_->response_started()) {
    EndUnanswered(kGatewayStops);
    return;
  }
  if (call_) call_->Cancel();
  call_.reset();
  EndDispatch();
  RefuseForStop(kGatewayStops);
}

bool RelayTask::FitsStop(Time now, Duration done) const {
  return exchange_->response_started() ||
         context_.stop_admission.Fits(now, route_.id, request_.OutputTokens(),
                                      deadline_ - now, done);
}

bool RelayTask::EndIfStopping(Time now, Duration done) {
  if (FitsStop(now, done)) return false;
  if (possible_runs_ > 0) {
    ReleaseKvHandle();
    FailRequest(Outcome::MayHaveRun(kNoTimeLeft));
    return true;
  }
  RefuseForStop(kNoTimeLeft);
  return true;
}

void RelayTask::RefuseForStop(const char* reason) {
  ReleaseKvHandle();
  const Duration retry_after =
      context_.stop_admission.RetryAfter(BootClock::now());
  exchange_->SendResponse(
      503, context_.codec.encode_error_fields(request_.id, retry_after), "");
  context_.metrics.Add("gateway_stop_refusals_total");
  Finish("refused", 503, reason);
}

void RelayTask::EndUnanswered(const std::string& reason) {
  if (call_) call_->Cancel();
  call_.reset();
  EndDispatch();
  ReleaseKvHandle();
  if (exchange_->response_started()) {
    exchange_->Abort();
    Finish("cut", 0, reason);
    return;
  }
  if (possible_runs_ == 0) {
    Refuse(reason, std::nullopt);
    return;
  }
  exchange_->SendResponse(
      504, context_.codec.encode_error_fields(request_.id, {}), "");
  Finish("failed", 504, reason);
}

}  // namespace corianderlink
