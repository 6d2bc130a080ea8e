// Relays one client request to an upstream and forwards the response.
#include "corianderlink/Gateway/relay_task.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Bounds of the Retry-After time of a refused request, as a share of the time
// from its arrival to its deadline.
constexpr double kMinRetryAfterShare = 0.15;
constexpr double kMaxRetryAfterShare = 0.32;
// Maximum number of attempts per request, including those that an upstream
// refused.
constexpr int kMaxSends = 4;
// Response bytes that are buffered before forwarding begins, so that an attempt
// whose response is truncated can be retried.
constexpr size_t kMaxBufferedBytes = 256 * 1024;
// Longest event of a stream.
constexpr size_t kMaxEventBytes = 1024 * 1024;
// Response bytes queued for a slow client before reading from the upstream is
// paused.
constexpr size_t kMaxPendingBytes = 1024 * 1024;
// A pooled connection that was idle for longer may have been closed by the
// upstream without notice, so it is not used for requests that must not run
// twice.
constexpr Duration kMaxIdleNonIdempotent = seconds(5);
constexpr Duration kMaxIdle = seconds(30);
constexpr Duration kConnectTimeout = milliseconds(250);
// A retry with less time than this before the deadline cannot succeed.
constexpr double kMinAttemptMs = 20;
// Lower bounds of the time without progress after which an idempotent request
// is retried on another upstream.
constexpr Duration kMinStallTimeout = milliseconds(400);
constexpr Duration kMinStreamStallTimeout = milliseconds(1000);
// Interval between searches for an upstream that can resume a stream.
constexpr Duration kResumePollInterval = milliseconds(50);
// Priority of a request in the engine's queue, by work tier; 0 is the highest.
constexpr int kEnginePriorityByTier[kPriorityTiers] = {2, 4, 7};

// True if the response is signed by the upstream and names this request.
bool IsSignedResponseTo(const UpstreamResponseInfo& info,
                        const RequestId& request) {
  return info.is_signed && info.request == request;
}

}  // namespace

RelayTask::RelayTask(RelayContext& context,
                     std::shared_ptr<InboundExchange> exchange, RouteSpec route,
                     ServicePoolSpec service, ClientRequest request,
                     uint64_t config_version)
    : context_(context),
      exchange_(std::move(exchange)),
      route_(std::move(route)),
      service_(std::move(service)),
      request_(std::move(request)),
      config_version_(config_version),
      seed_(context.random.Bits()) {}

void RelayTask::Start() {
  const Time now = BootClock::now();
  const auto self = shared_from_this();
  const Duration client_timeout = request_.time_left.value_or(route_.timeout);
  deadline_ =
      exchange_->received_at() + std::min(client_timeout, route_.timeout);
  // A client that retries after a refusal has already used part of its time;
  // the objective still counts from its first attempt.
  const Duration prior_wait =
      context_.estimate_prior_wait(route_, client_timeout);
  objective_deadline_ =
      exchange_->received_at() + route_.objective - prior_wait;
  exchange_->on_client_disconnected = [self] { self->OnClientDisconnected(); };
  deadline_timer_ =
      context_.loop.After(std::max(Duration::zero(), deadline_ - now),
                          [self] { self->OnDeadline(); });
  PlaceAndSend();
}

uint64_t RelayTask::PromptTokens() const {
  return request_.prompt ? request_.prompt->tokens : 0;
}

double RelayTask::DeadlineLeftMs(Time now) const {
  return ToMillis(deadline_ - now);
}

PlacementQuery RelayTask::MakePlacementQuery(Time now) const {
  PlacementQuery query;
  query.service = service_.id;
  query.route = route_.id;
  query.engine = &*service_.engine;
  query.prompt = &*request_.prompt;
  query.objective_left_ms = ToMillis(objective_deadline_ - now);
  query.deadline_left_ms = DeadlineLeftMs(now);
  query.event_gap_ms =
      ToMillis(route_.event_gap_objective.value_or(Duration::zero()));
  query.resumed = exchange_->response_started();
  query.first_attempt = sends_ == 0;
  query.single_engine_only = single_engine_only_;
  query.seed = seed_;
  query.excluded = &excluded_;
  return query;
}

PlacementResult RelayTask::ChoosePlacement(Time now) const {
  return is_model_request()
             ? context_.placer.PlacePrompt(now, MakePlacementQuery(now))
             : context_.placer.PlacePlain(now, service_.id, excluded_);
}

void RelayTask::PlaceAndSend() {
  const Time now = BootClock::now();
  const PlacementResult result = ChoosePlacement(now);
  if (!result.placement) {
    if (exchange_->response_started()) {
      ScheduleResume();
      return;
    }
    if (possible_runs_ > 0) {
      FailRequest(Outcome::MayHaveRun(result.reason));
      return;
    }
    Log(LogLevel::kInfo, "no_placement",
        {{"request", request_.id.value()},
         {"reason", result.reason},
         {"prompt_tokens", PromptTokens()},
         {"objective_left_ms", ToMillis(objective_deadline_ - now)},
         {"left_ms", DeadlineLeftMs(now)},
         {"peers_age_ms", ToMillis(context_.placer.load().PeerAge(now))},
         {"config", config_version_}});
    Refuse(result.reason, result.retry_after);
    return;
  }
  SendTo(*result.placement);
}

void RelayTask::ScheduleResume() {
  // Part of the response was delivered, so any upstream may resume it, even one
  // that already failed this request.
  excluded_.clear();
  resume_timer_ =
      context_.loop.After(kResumePollInterval, [self = shared_from_this()] {
        if (!self->finished_) self->PlaceAndSend();
      });
}

void RelayTask::SendTo(const Placement& placement) {
  const Time now = BootClock::now();
  placement_ = placement;
  sent_at_ = now;
  first_output_seen_ = false;
  reached_upstream_ = true;
  response_.reset();
  buffered_.clear();
  event_splitter_.Clear();
  ++sends_;
  if (!placement.prefill_only) ++possible_runs_;
  if (is_model_request()) {
    const PlacementQuery query = MakePlacementQuery(now);
    dispatch_ = context_.placer.OnDispatch(now, placement, &query);
  } else {
    dispatch_ = context_.placer.OnDispatch(now, placement, nullptr);
  }
  Log(LogLevel::kInfo, "request_sent",
      {{"request", request_.id.value()},
       {"route", route_.id.value()},
       {"upstream", placement.upstream.id.value()},
       {"stage", placement.prefill_only ? "prefill" : "run"},
       {"tier", static_cast<int>(placement.tier)},
       {"prompt_tokens", PromptTokens()},
       {"predicted_ms", placement.predicted_ms},
       {"cost_ms", placement.cost_ms},
       {"objective_left_ms", ToMillis(objective_deadline_ - now)},
       {"left_ms", DeadlineLeftMs(now)},
       {"peers_age_ms", ToMillis(context_.placer.load().PeerAge(now))},
       {"config", config_version_},
       {"send", sends_}});
  call_ = context_.pool.Start(BuildUpstreamRequest(now, placement),
                              BuildHandlers());
  ArmStallTimer();
}

UpstreamRequest RelayTask::BuildUpstreamRequest(
    Time now, const Placement& placement) const {
  UpstreamRequestOptions options;
  options.expected_upstream = placement.upstream.id;
  if (request_.time_left) {
    options.time_left = std::chrono::duration_cast<Duration>(
        std::max(Duration::zero(), deadline_ - now));
  }
  if (is_model_request()) {
    options.priority =
        kEnginePriorityByTier[static_cast<size_t>(placement.tier)];
  }
  options.prefill_only = placement.prefill_only;
  if (!placement.prefill_only) options.kv_handle = kv_handle_;
  options.resume_after_event_id = last_event_id_;
  UpstreamRequest request;
  request.address = placement.upstream.address;
  request.method = exchange_->head().method;
  request.target = exchange_->head().target;
  request.fields = context_.codec.encode_request(exchange_->head(), options);
  request.body = exchange_->body();
  request.max_idle = route_.idempotent() ? kMaxIdle : kMaxIdleNonIdempotent;
  request.max_connections = context_.placer.ConnectionQuota(service_.id);
  request.connect_timeout = kConnectTimeout;
  request.matches_request = [codec = &context_.codec, id = request_.id,
                             upstream = placement.upstream.id](
                                const ResponseHead& head) {
    const UpstreamResponseInfo info = codec->decode_response(head, upstream);
    return info.request.empty() || info.request == id;
  };
  return request;
}

UpstreamHandlers RelayTask::BuildHandlers() {
  const auto self = shared_from_this();
  UpstreamHandlers handlers;
  handlers.on_head = [self](const ResponseHead& head) {
    self->OnResponseHead(head);
  };
  handlers.on_body = [self](std::string data) {
    self->OnResponseBody(std::move(data));
  };
  handlers.on_end = [self] { self->OnResponseEnd(); };
  handlers.on_fail = [self](const Outcome& outcome) {
    self->OnUpstreamFailure(outcome);
  };
  return handlers;
}

void RelayTask::OnResponseHead(const ResponseHead& head) {
  response_ = head;
  response_info_ =
      context_.codec.decode_response(head, placement_->upstream.id);
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
  if (response_info_.leaving &&
      notices.OnLeaving(upstream.id, upstream.started_ms)) {
    Log(LogLevel::kInfo, "upstream_leaving",
        {{"upstream", upstream.id.value()},
         {"started_ms", upstream.started_ms},
         {"request", request_.id.value()}});
  }
  if (!response_info_.pause) return;
  const Time now = BootClock::now();
  const Time end =
      notices.OnPauseRequested(now, upstream.id, *response_info_.pause);
  Log(LogLevel::kInfo, "upstream_pause",
      {{"upstream", upstream.id.value()},
       {"request", request_.id.value()},
       {"asked_s", ToSeconds(*response_info_.pause)},
       {"until_s", ToSeconds(end - now)}});
}

void RelayTask::OnResponseBody(std::string data) {
  if (finished_) return;
  if (forwarding_events_) {
    event_splitter_.Feed(data);
    ForwardEvents();
    return;
  }
  buffered_ += data;
  const bool can_forward = !placement_->prefill_only &&
                           response_info_.is_signed &&
                           !response_info_.not_run && !is_stream();
  if (buffered_.size() <= kMaxBufferedBytes) return;
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

void RelayTask::AbandonEndlessResponse() {
  call_->Cancel();
  call_.reset();
  buffered_.clear();
  OnAttemptFailed(Outcome::MayHaveRun("response is longer than any valid one"),
                  true);
}

void RelayTask::PauseReadingForSlowClient() {
  if (exchange_->PendingBytes() <= kMaxPendingBytes || !call_) return;
  call_->PauseReading();
  exchange_->on_drained = [call = call_] { call->ResumeReading(); };
}

void RelayTask::ForwardEvents() {
  while (std::optional<RawEvent> event = event_splitter_.Next()) {
    ReportFirstOutput();
    // A resumed stream may repeat events that the client already has.
    if (event->id && last_event_id_ && *event->id <= *last_event_id_) continue;
    if (event->id) last_event_id_ = event->id;
    if (!exchange_->response_started()) {
      // The first event shows that the KV cache was fetched, which consumes the
      // handle.
      kv_handle_.reset();
      exchange_->StartResponse(response_->status,
                               EndToEndFields(response_->fields), std::nullopt);
    }
    RecordEventGap();
    exchange_->SendBody(event->bytes);
    PauseReadingForSlowClient();
  }
  if (event_splitter_.rest().size() > kMaxEventBytes) {
    AbandonEndlessResponse();
    return;
  }
  ArmStallTimer();
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
  const bool server_error = response_->status >= 500;
  if (server_error && !exchange_->response_started() &&
      TryClaimRetry(now, Verdict::kMayHaveRun)) {
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
  EndDispatch();
  context_.placer.OnSuccess(placement_->upstream);
  if (exchange_->response_started()) {
    exchange_->SendBody(buffered_);
    exchange_->CompleteResponse();
  } else {
    exchange_->SendResponse(response_->status,
                            EndToEndFields(response_->fields), buffered_);
  }
  Finish("answered", response_->status, "");
}

void RelayTask::FinishStream() {
  if (!event_splitter_.rest().empty()) {
    OnAttemptFailed(
        Outcome::MayHaveRun("stream ended in the middle of an event"), true);
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
  if (!exchange_->response_started()) {
    exchange_->StartResponse(response_->status,
                             EndToEndFields(response_->fields), std::nullopt);
  }
  exchange_->CompleteResponse();
  Finish("answered", response_->status, "");
}

void RelayTask::OnUpstreamFailure(const Outcome& outcome) {
  if (finished_) return;
  reached_upstream_ = outcome.verdict != Verdict::kNotRun;
  call_.reset();
  OnAttemptFailed(outcome, true);
}

void RelayTask::OnPrefillDone() {
  std::optional<std::string> id;
  if (response_->status == 200) id = context_.codec.decode_kv_handle(buffered_);
  if (!id) {
    OnAttemptFailed(Outcome::NotRun("prefill failed: status " +
                                    std::to_string(response_->status)),
                    true);
    return;
  }
  ReportFirstOutput();
  EndDispatch();
  context_.placer.OnSuccess(placement_->upstream);
  kv_handle_ = KvHandle{placement_->upstream, *id};
  SendDecodeStage();
}

void RelayTask::SendDecodeStage() {
  const Time now = BootClock::now();
  const PlacementResult result = context_.placer.PlaceGeneration(
      now, MakePlacementQuery(now), kv_handle_->source);
  if (!result.placement) {
    if (exchange_->response_started()) {
      ReleaseKvHandle();
      ScheduleResume();
      return;
    }
    FailRequest(Outcome::NotRun(result.reason));
    return;
  }
  // Prefill and decode count as one attempt.
  --sends_;
  SendTo(*result.placement);
}

void RelayTask::OnAttemptFailed(const Outcome& outcome, bool upstream_failed) {
  const Time now = BootClock::now();
  // The prefill stage generates no output, so it can always be repeated.
  const bool not_run =
      placement_->prefill_only || outcome.verdict == Verdict::kNotRun;
  if (not_run && !placement_->prefill_only) --possible_runs_;
  const Outcome final_outcome{not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
                              outcome.reason};
  if (TryClaimRetry(now, final_outcome.verdict)) {
    RetryOnOtherUpstream(now, final_outcome, upstream_failed);
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
       {"verdict", ToString(outcome.verdict)},
       {"reason", outcome.reason},
       {"elapsed_ms", ToMillis(now - sent_at_)},
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

bool RelayTask::IsRetryAllowed(Time now, Verdict verdict) const {
  if (sends_ >= kMaxSends) return false;
  if (DeadlineLeftMs(now) < kMinAttemptMs) return false;
  if (verdict != Verdict::kNotRun) {
    if (!route_.idempotent() || possible_runs_ >= route_.max_runs) return false;
  }
  return true;
}

bool RelayTask::TryClaimRetry(Time now, Verdict verdict) {
  if (!IsRetryAllowed(now, verdict)) return false;
  // The budget limits additional requests that reach upstreams.  A request that
  // did not reach the last upstream is not additional load at the next one.
  if (!reached_upstream_) return true;
  return context_.try_claim_retry(now, service_.id);
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
  // A retry after a refusal has missed its latency objective anyway.  So the
  // client is asked to wait for a considerable part of its time, of random
  // length, so that the retries of many clients are spread out.
  const Duration total_time = deadline_ - exchange_->received_at();
  const double share =
      kMinRetryAfterShare +
      (kMaxRetryAfterShare - kMinRetryAfterShare) * context_.random.Uniform();
  const Duration delay = std::max(retry_after.value_or(Duration::zero()),
                                  FromSeconds(ToSeconds(total_time) * share));
  exchange_->SendResponse(
      503, context_.codec.encode_error_fields(request_.id, delay), "");
  context_.metrics.Add("gateway_refusals_total");
  Finish("refused", 503, reason);
}

void RelayTask::OnDeadline() {
  if (finished_) return;
  if (call_) call_->Cancel();
  call_.reset();
  const Time now = BootClock::now();
  if (placement_ && dispatch_ != 0) {
    context_.placer.OnFailure(now, placement_->upstream);
  }
  EndDispatch();
  ReleaseKvHandle();
  if (exchange_->response_started()) {
    exchange_->Abort();
    Finish("cut", 0, "time ran out");
    return;
  }
  if (possible_runs_ == 0) {
    Refuse("time ran out", std::nullopt);
    return;
  }
  exchange_->SendResponse(
      504, context_.codec.encode_error_fields(request_.id, {}), "");
  Finish("failed", 504, "time ran out");
}

void RelayTask::ArmStallTimer() {
  if (!route_.idempotent() || finished_) return;
  Duration limit = is_stream() ? kMinStreamStallTimeout : kMinStallTimeout;
  if (exchange_->response_started()) {
    limit = std::max(limit, 4 * route_.event_gap_objective.value_or(limit));
  } else {
    limit = std::max(limit, 2 * route_.objective) +
            FromSeconds(2 * std::max(0.0, placement_->predicted_ms) / 1000);
  }
  stall_timer_ = context_.loop.After(
      limit, [self = shared_from_this()] { self->OnStallTimeout(); });
}

void RelayTask::OnStallTimeout() {
  if (finished_ || !call_) return;
  // Reading from the upstream is paused because the client is slow.
  if (exchange_->PendingBytes() > 0) return;
  const Time now = BootClock::now();
  const UpstreamId stalled_upstream = placement_->upstream.id;
  excluded_.insert(stalled_upstream);
  const bool has_other = ChoosePlacement(now).placement.has_value();
  if (!has_other || !TryClaimRetry(now, Verdict::kMayHaveRun)) {
    // Without a retry, the request keeps waiting for this upstream.
    excluded_.erase(stalled_upstream);
    ArmStallTimer();
    return;
  }
  call_->Cancel();
  call_.reset();
  kv_handle_.reset();
  RetryOnOtherUpstream(now, Outcome::MayHaveRun("upstream stalled"), true);
}

void RelayTask::OnClientDisconnected() {
  if (finished_) return;
  if (call_) call_->Cancel();
  call_.reset();
  EndDispatch();
  ReleaseKvHandle();
  Finish("client_left", 0, "client closed the connection");
}

void RelayTask::EndDispatch() {
  if (dispatch_ == 0) return;
  context_.placer.OnEnd(BootClock::now(), *placement_, dispatch_);
  dispatch_ = 0;
}

void RelayTask::ReleaseKvHandle() {
  if (!kv_handle_) return;
  // The engine drops the handle by itself in time.
  if (context_.placer.notices().Blocks(BootClock::now(), kv_handle_->source)) {
    kv_handle_.reset();
    return;
  }
  const auto [method, target] =
      context_.codec.encode_release_kv_handle(kv_handle_->id);
  UpstreamRequest request;
  request.address = kv_handle_->source.address;
  request.method = method;
  request.target = target;
  kv_handle_.reset();
  context_.pool.Start(std::move(request), {});
}

void RelayTask::Finish(const char* result, int status,
                       const std::string& reason) {
  finished_ = true;
  deadline_timer_.Reset();
  stall_timer_.Reset();
  resume_timer_.Reset();
  exchange_->on_client_disconnected = nullptr;
  exchange_->on_drained = nullptr;
  const Time now = BootClock::now();
  const double elapsed_ms = ToMillis(now - exchange_->received_at());
  Log(LogLevel::kInfo, "request_done",
      {{"request", request_.id.value()},
       {"route", route_.id.value()},
       {"result", result},
       {"status", status},
       {"reason", reason},
       {"sends", sends_},
       {"runs", possible_runs_},
       {"elapsed_ms", elapsed_ms}});
  context_.metrics.Add("gateway_requests_total{result=\"" +
                       std::string(result) + "\"}");
  context_.metrics.Record("gateway_request_seconds", elapsed_ms / 1000);
}

}  // namespace corianderlink
