// Relaying a request: failed attempts, retries, refusals and timeouts.
#include <algorithm>
#include <utility>

#include "corianderlink/Gateway/refusal_delay.h"
#include "corianderlink/Gateway/relay_task.h"
#include "corianderlink/Support/hash.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Maximum number of attempts per request, including those that an upstream
// refused.
constexpr int kMaxSends = 4;
// A retry with less time than this before the deadline cannot succeed.
constexpr double kMinAttemptMs = 20;
// Lower bounds of the time without progress after which an idempotent request
// is retried on another upstream.
constexpr Duration kMinStallTimeout = milliseconds(400);
constexpr Duration kMinStreamStallTimeout = milliseconds(1000);
// Time in which a stalled stream makes progress if its upstream works.
constexpr Duration kProgressTime = milliseconds(200);
// The host of an upstream that sends nothing acknowledges the connection within
// this time.
constexpr Duration kAcknowledgementTime = milliseconds(1100);
constexpr char kStalled[] = "upstream stalled";
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

void RelayTask::CheckForCrash(const Outcome& outcome) {
  if (placement_->prefill_only) return;
  if (outcome.verdict == Verdict::kNotRun) return;
  if (events_received_ >= kAnsweringEvents) return;
  const Placer& placer = context_.placer;
  const UpstreamRecord* upstream =
      placer.directory().Find(placement_->upstream.id);
  // The end of an upstream that leaves is planned.
  if (upstream == nullptr || upstream->draining) return;
  if (placer.notices().IsLeaving(*upstream)) return;
  const UpstreamCrash crash{upstream->id, upstream->started_ms, sent_at_,
                            BootClock::now(), RequestDigest()};
  const auto on_probed = [&context = context_, service = service_.id,
                          request = Suspects(), crash](ProbeResult result) {
    // An upstream that cannot be reached may be behind a cut link.
    if (result != ProbeResult::kGone) return;
    context.report_crash(service, request, crash);
  };
  context_.upstream_probe.Start(*upstream, service_.health_path, on_probed);
}

RequestSuspects RelayTask::Suspects() {
  RequestSuspects request;
  if (is_model_request()) request = SuspectsOf(*request_.prompt);
  request.digest = RequestDigest();
  return request;
}

void RelayTask::ReportAnswered() {
  context_.quarantine.OnAnswered(BootClock::now(), Suspects());
}

bool RelayTask::EndIfQuarantined(Time now) {
  // A verdict may have come due since the last periodic update.
  context_.quarantine.UpdateIfDue(now);
  const auto quarantined = context_.quarantine.Find(now, Suspects(), trial_);
  if (!quarantined) return false;
  context_.metrics.Add("gateway_quarantine_refusals_total");
  const std::string reason = "crashes upstreams: " + ToString(quarantined->key);
  if (possible_runs_ == 0 && !exchange_->response_started()) {
    Refuse(reason, quarantined->ends_at - now);
    return true;
  }
  ReleaseKvHandle();
  FailRequest(Outcome::MayHaveRun(reason));
  return true;
}

bool RelayTask::AwaitTrial(Time now, void (RelayTask::*place_again)()) {
  const TrialId claimed =
      context_.quarantine.ClaimTrial(now, Suspects(), trial_);
  if (claimed == 0) return false;
  trial_ = claimed;
  placement_timer_ = context_.loop.After(
      QuarantineTrials::kSettle, [self = shared_from_this(), place_again] {
        if (!self->finished_) (self.get()->*place_again)();
      });
  return true;
}

uint64_t RelayTask::RequestDigest() {
  if (request_digest_) return *request_digest_;
  const RequestHead& head = exchange_->head();
  std::string text;
  for (const std::string* field :
       {&head.method, &request_.host, &head.target, &request_.credentials}) {
    // The lengths keep the fields apart.
    text += std::to_string(field->size()) + ":" + *field;
  }
  if (request_.prompt) {
    for (const PromptPart& part : request_.prompt->parts) {
      text += FormatPartId(part.id) + ",";
    }
  }
  text += exchange_->body();
  request_digest_ = StableHash(text);
  return *request_digest_;
}

std::string RelayTask::SharedPartsText() const {
  if (!request_.prompt) return "";
  std::string text;
  for (const PromptPart& part : request_.prompt->SharedParts()) {
    text += (text.empty() ? "" : ",") + FormatPartId(part.id);
  }
  return text;
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

void RelayTask::ArmStallTimer() {
  stall_timer_.Reset();
  const bool is_repeatable = route_.idempotent() || placement_->prefill_only;
  if (!is_repeatable || finished_) return;
  Duration limit = is_stream() ? kMinStreamStallTimeout : kMinStallTimeout;
  if (exchange_->response_started()) {
    limit = std::max(limit, 4 * route_.event_gap_objective.value_or(limit));
  } else {
    limit = std::max(limit, 2 * route_.objective) +
            FromSeconds(2 * std::max(0.0, placement_->predicted_ms) / 1000);
  }
  // The rest of the time is for the check whether the upstream responds.
  if (MustNotOverlap()) limit -= kProgressTime;
  stall_timer_ = context_.loop.After(
      limit, [self = shared_from_this()] { self->OnStallTimeout(); });
}

void RelayTask::OnStallTimeout() {
  if (finished_ || !call_) return;
  // Reading from the upstream is paused because the client is slow.
  if (exchange_->PendingBytes() > 0) return;
  const Time now = BootClock::now();
  context_.on_suspect_failure(now, placement_->upstream,
                              Outcome::MayHaveRun(kStalled));
  if (!HasAlternative(now)) {
    ArmStallTimer();
    return;
  }
  if (MustNotOverlap() && ProbeStalledUpstream()) return;
  MoveStalledRequest();
}

bool RelayTask::ProbeStalledUpstream() {
  const auto on_probed = [self = shared_from_this(), call = call_,
                          events = events_received_](ProbeResult result) {
    const bool goes_on = self->events_received_ != events;
    if (self->finished_ || self->call_ != call || goes_on) return;
    self->OnStalledUpstreamProbed(result);
  };
  call_->ProbeHost();
  return context_.upstream_probe.Start(placement_->upstream,
                                       service_.health_path, on_probed);
}

void RelayTask::ProbeLater() {
  const auto probe = [self = shared_from_this()] {
    if (self->finished_ || !self->call_) return;
    self->ProbeStalledUpstream();
  };
  stall_timer_ = context_.loop.After(kProgressTime, probe);
}

bool RelayTask::IsAcknowledged() const {
  const std::optional<Duration> age = call_->SinceAcknowledgement();
  return age && *age < kAcknowledgementTime;
}

void RelayTask::OnStalledUpstreamProbed(ProbeResult result) {
  Log(LogLevel::kInfo, "stalled_upstream_probed",
      {{"request", request_.id.value()},
       {"upstream", placement_->upstream.id.value()},
       {"result", ToString(result)},
       {"events", events_received_},
       {"elapsed_ms", ToMillis(BootClock::now() - sent_at_)}});
  // A paused process accepts no connections once its queue is full.
  const bool is_paused =
      result == ProbeResult::kUnresponsive ||
      (result == ProbeResult::kUnreachable && IsAcknowledged());
  if (is_paused) {
    // It would not notice that the attempt is cancelled, and would run it
    // beside the next one.
    ProbeLater();
    return;
  }
  if (result != ProbeResult::kAnswers) {
    MoveStalledRequest();
    return;
  }
  stall_timer_ =
      context_.loop.After(kProgressTime, [self = shared_from_this()] {
        if (!self->finished_ && self->call_) self->MoveStalledRequest();
      });
}

void RelayTask::MoveStalledRequest() {
  const Time now = BootClock::now();
  const Outcome outcome = placement_->prefill_only
                              ? Outcome::NotRun(kStalled)
                              : Outcome::MayHaveRun(kStalled);
  if (!HasAlternative(now) || !TryReserveRetry(now, outcome.verdict)) {
    // Without a retry, the request keeps waiting for this upstream.
    ArmStallTimer();
    return;
  }
  call_->Cancel();
  call_.reset();
  kv_handle_.reset();
  RetryOnOtherUpstream(now, outcome, true);
}

}  // namespace corianderlink
