// Relaying a request: forwards the response of the upstream.
#include <algorithm>
#include <utility>

#include "corianderlink/Gateway/relay_task.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Response bytes that are buffered before forwarding begins, so that an attempt
// whose response is truncated can be retried.
constexpr size_t kMaxBufferedBytes = 256 * 1024;
// Longest event of a stream.
constexpr size_t kMaxEventBytes = 1024 * 1024;
// Response bytes queued for a slow client before reading from the upstream is
// paused.
constexpr size_t kMaxPendingBytes = 1024 * 1024;
// True if the response is signed by the upstream and names this request.
bool IsSignedResponseTo(const UpstreamResponseInfo& info,
                        const RequestId& request) {
  return info.is_signed && info.request == request;
}

// For the log: only the order of the close says that such a body is complete.
const char* EndOfBody(const ResponseHead& head) {
  return head.ends_with_connection ? "body ended with its connection" : "";
}

}  // namespace

void RelayTask::OnResponseHead(const ResponseHead& head) {
  response_ = head;
  response_info_ =
      context_.codec.decode_response(head, placement_->upstream.id);
  context_.on_upstream_response(BootClock::now(), service_.id);
  ApplyNotices();
  const bool is_event_stream = is_stream() && head.status == 200 &&
                               IsSignedResponseTo(response_info_, request_.id);
  forwarding_events_ = is_event_stream && !placement_->prefill_only;
}

void RelayTask::ApplyNotices() {
  // Another upstream that has this address now speaks for itself only.
  if (response_info_.address_reassigned) return;
  const UpstreamRecord& upstream = placement_->upstream;
  UpstreamNotices& notices = context_.placer.notices();
  ReadLeavingNotice(upstream, response_info_, request_.id.value(), notices);
  const Time now = BootClock::now();
  ApplyRateLimit(now);
  if (!response_info_.pause) return;
  const Time end =
      notices.OnPauseRequested(now, upstream.id, *response_info_.pause);
  Log(LogLevel::kInfo, "upstream_pause",
      {{"upstream", upstream.id.value()},
       {"request", request_.id.value()},
       {"asked_s", ToSeconds(*response_info_.pause)},
       {"until_s", ToSeconds(end - now)}});
}

void RelayTask::ApplyRateLimit(Time now) {
  const UpstreamRecord& upstream = placement_->upstream;
  if (response_info_.rate_limit_unreadable) {
    Log(LogLevel::kWarning, "rate_limit_unreadable",
        {{"upstream", upstream.id.value()}, {"request", request_.id.value()}});
    context_.metrics.Add("gateway_unreadable_rate_limits_total");
    return;
  }
  // Bytes that do not belong to this request do not end a limit.
  if (response_info_.request != request_.id) return;
  context_.placer.rate_limiter().limits().OnNotice(
      {upstream.id, upstream.started_ms, response_info_.rate_limit, sent_at_,
       now});
}

void RelayTask::OnResponseBody(std::string data) {
  if (finished_) return;
  if (forwarding_events_) {
    event_splitter_.Feed(data);
    ForwardEvents();
    if (!finished_) UpdateHeldAnswer();
    return;
  }
  buffered_ += data;
  UpdateHeldAnswer();
  const bool can_forward = !placement_->prefill_only &&
                           response_info_.is_signed &&
                           !response_info_.not_run && !is_stream();
  if (buffered_.size() <= held_.LimitFor(kMaxBufferedBytes)) return;
  if (!can_forward) {
    AbandonEndlessResponse();
    return;
  }
  if (!exchange_->response_started()) {
    exchange_->StartResponse(response_->status,
                             EndToEndFields(response_->fields),
                             response_->content_length);
  }
  exchange_->SendBody(std::exchange(buffered_, {}));
  PauseReadingForSlowClient();
}

void RelayTask::UpdateHeldAnswer() {
  held_.Set(buffered_.size() + event_splitter_.rest().size() +
            exchange_->PendingBytes());
}

void RelayTask::AbandonEndlessResponse() {
  call_->Cancel();
  call_.reset();
  std::string().swap(buffered_);
  event_splitter_.Clear();
  UpdateHeldAnswer();
  OnAttemptFailed(Outcome::MayHaveRun("response is longer than any valid one"),
                  true);
}

void RelayTask::PauseReadingForSlowClient() {
  const size_t pending = exchange_->PendingBytes();
  if (pending == 0 || !call_) return;
  exchange_->on_drained = [self = shared_from_this(), call = call_] {
    call->ResumeReading();
    if (!self->finished_) self->UpdateHeldAnswer();
  };
  if (pending > held_.LimitFor(kMaxPendingBytes)) call_->PauseReading();
}

void RelayTask::ForwardEvents() {
  while (std::optional<RawEvent> event = event_splitter_.Next()) {
    ReportFirstOutput();
    if (++events_received_ == kAnsweringEvents) ReportAnswered();
    // A resumed stream may repeat events that the client already has.
    if (event->id && last_event_id_ && *event->id <= *last_event_id_) continue;
    if (event->id) last_event_id_ = event->id;
    resume_searches_ = 0;
    if (!exchange_->response_started()) {
      // The first event shows that the KV cache was fetched, which consumes the
      // handle.
      kv_handle_.reset();
      BindToVersion(BootClock::now());
      exchange_->StartResponse(response_->status,
                               EndToEndFields(response_->fields), std::nullopt);
    }
    RecordEventGap();
    exchange_->SendBody(event->bytes);
    PauseReadingForSlowClient();
  }
  if (event_splitter_.rest().size() > held_.LimitFor(kMaxEventBytes)) {
    AbandonEndlessResponse();
    return;
  }
  ArmStallTimer();
}

void RelayTask::BindToVersion(Time now) {
  if (!route_.resumable || versions_.required) return;
  const UpstreamRecord& upstream = placement_->upstream;
  versions_.required = upstream.version;
  context_.on_stream_begun({KeyOfStream(request_.id, request_),
                            upstream.service, upstream.version, now});
}

void RelayTask::RecordEventGap() {
  const Time now = BootClock::now();
  if (last_event_at_) {
    longest_event_gap_ = std::max(longest_event_gap_, now - *last_event_at_);
  }
  last_event_at_ = now;
}

void RelayTask::ReportFirstOutput() {
  if (first_output_seen_) return;
  first_output_seen_ = true;
  const Time now = BootClock::now();
  first_output_at_ = now;
  context_.placer.OnPrefillComplete(now, *placement_, dispatch_,
                                    ToMillis(now - sent_at_));
}

void RelayTask::OnResponseEnd() {
  if (finished_) return;
  call_.reset();
  const Time now = BootClock::now();
  if (response_info_.not_run) {
    if (response_info_.address_reassigned) {
      context_.placer.OnReplaced(placement_->upstream.id);
    }
    // If a decode engine refused to fetch the KV cache, the next attempt
    // computes the prompt again and runs on a single engine.
    single_engine_only_ =
        kv_handle_.has_value() && !response_info_.address_reassigned;
    if (single_engine_only_) kv_handle_.reset();
    OnAttemptFailed(Outcome::NotRun("upstream refused the request: status " +
                                    std::to_string(response_->status)),
                    false);
    return;
  }
  if (placement_->prefill_only) {
    OnPrefillDone();
    return;
  }
  if (!IsSignedResponseTo(response_info_, request_.id)) {
    OnAttemptFailed(Outcome::MayHaveRun("response has no valid signature"),
                    true);
    return;
  }
  if (forwarding_events_) {
    FinishStream();
    return;
  }
  if (is_stream() && exchange_->response_started()) {
    // This body does not continue the stream that an earlier upstream started.
    OnAttemptFailed(Outcome::MayHaveRun("upstream answered with status " +
                                        std::to_string(response_->status)),
                    true);
    return;
  }
  const bool is_success = response_->status >= 200 && response_->status < 300;
  const bool lacks_body = is_success && response_->ends_with_connection &&
                          buffered_.empty() && !exchange_->response_started() &&
                          exchange_->head().method != "HEAD";
  if (lacks_body) {
    OnAttemptFailed(Outcome::MayHaveRun("connection closed before the body"),
                    true);
    return;
  }
  const bool server_error = response_->status >= 500;
  // An upstream that answers with an error has survived the request.
  if (server_error) ReportAnswered();
  if (server_error && !exchange_->response_started() && HasAlternative(now) &&
      TryReserveRetry(now, Verdict::kMayHaveRun)) {
    RetryOnOtherUpstream(now,
                         Outcome::MayHaveRun("upstream answered with status " +
                                             std::to_string(response_->status)),
                         false);
    return;
  }
  FinishBufferedResponse();
}

void RelayTask::FinishBufferedResponse() {
  ReportFirstOutput();
  ReportAnswered();
  EndDispatch();
  context_.placer.OnSuccess(placement_->upstream);
  if (exchange_->response_started()) {
    exchange_->SendBody(buffered_);
    exchange_->CompleteResponse();
  } else {
    exchange_->SendResponse(response_->status,
                            EndToEndFields(response_->fields), buffered_);
  }
  Finish("answered", response_->status, EndOfBody(*response_));
}

void RelayTask::FinishStream() {
  const bool framed = !response_->ends_with_connection;
  const char* broken = nullptr;
  if (!event_splitter_.rest().empty()) {
    broken = "stream ended in the middle of an event";
  } else if (events_received_ == 0 && !framed) {
    broken = "connection closed before the first event";
  }
  if (broken != nullptr) {
    const Outcome outcome = Outcome::MayHaveRun(broken);
    CheckForCrash(outcome);
    OnAttemptFailed(outcome, true);
    return;
  }
  const Time now = BootClock::now();
  if (is_model_request() && first_output_seen_) {
    context_.placer.OnGenerationComplete(now, service_.id,
                                         ToMillis(now - first_output_at_));
  }
  if (is_model_request() && route_.event_gap_objective) {
    context_.placer.OnStreamEnd(
        service_.id,
        ToSeconds(longest_event_gap_) / ToSeconds(*route_.event_gap_objective));
  }
  EndDispatch();
  context_.placer.OnSuccess(placement_->upstream);
  // A crash may look like the end of an answer without a length.
  if (framed) ReportAnswered();
  if (!exchange_->response_started()) {
    exchange_->StartResponse(response_->status,
                             EndToEndFields(response_->fields), std::nullopt);
  }
  exchange_->CompleteResponse();
  Finish("answered", response_->status, EndOfBody(*response_));
}

}  // namespace corianderlink
