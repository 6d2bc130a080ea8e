// Relays one request.
#include "corianderlink/Gateway/relay_task.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Bounds of the time until a refused client returns, as a share of its wait.
constexpr double kLeastRetryShare = 0.15;
constexpr double kMostRetryShare = 0.32;
// Upstreams that one request is sent to, refusals included.
constexpr int kMaxSends = 4;
// Bytes of an answer that are held back, so that an attempt whose answer is cut
// can be repeated.
constexpr size_t kMaxBufferedBytes = 256 * 1024;
// Answer bytes that wait for a slow client before the upstream is paused.
constexpr size_t kMaxPendingBytes = 1024 * 1024;
// A kept connection that idled longer may have been dropped by the upstream
// unnoticed; it does not carry requests that must not run twice.
constexpr Duration kMaxIdleNonIdempotent = seconds(5);
constexpr Duration kMaxIdle = seconds(30);
constexpr Duration kConnectTimeout = milliseconds(250);
// With less time left a further attempt is pointless.
constexpr double kShortestAttemptMs = 20;
// Without news for this long, an idempotent request is sent elsewhere.
constexpr Duration kShortestStall = milliseconds(400);
constexpr Duration kStreamStall = milliseconds(1000);
// Between searches for an upstream that goes on with a stream.
constexpr Duration kResumeInterval = milliseconds(50);
// Priorities at an engine, by work tier; 0 goes first.
constexpr int kTierPriority[kPriorityTiers] = {2, 4, 7};

// True if the upstream signed its answer to just this request.
bool IsTrusted(const UpstreamReply& reply, const RequestId& request) {
  return reply.is_signed && reply.request == request;
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
  const Duration wait = request_.time_left.value_or(route_.timeout);
  deadline_ = exchange_->received() + std::min(wait, route_.timeout);
  // A client that was refused before has waited for part of its time already.
  const Duration waited = context_.waited_before(route_, wait);
  objective_at_ = exchange_->received() + route_.objective - waited;
  exchange_->on_client_left = [self] { self->OnClientLeft(); };
  deadline_timer_ =
      context_.loop.After(std::max(Duration::zero(), deadline_ - now),
                          [self] { self->OnDeadline(); });
  ChooseAndSend();
}

double RelayTask::DeadlineLeftMs(Time now) const {
  return ToMillis(deadline_ - now);
}

PlacementQuery RelayTask::Query(Time now) const {
  PlacementQuery query;
  query.service = service_.id;
  query.engine = &*service_.engine;
  query.prompt = &*request_.prompt;
  query.objective_left_ms = ToMillis(objective_at_ - now);
  query.deadline_left_ms = DeadlineLeftMs(now);
  query.resumed = exchange_->started();
  query.single_engine_only = whole_only_;
  query.seed = seed_;
  query.excluded = &excluded_;
  return query;
}

PlacementResult RelayTask::Choose(Time now) const {
  return is_model_request()
             ? context_.placer.PlacePrompt(now, Query(now))
             : context_.placer.PlacePlain(now, service_.id, excluded_);
}

void RelayTask::ChooseAndSend() {
  const Time now = BootClock::now();
  const PlacementResult result = Choose(now);
  if (!result.placement) {
    if (exchange_->started()) {
      AwaitResumption();
      return;
    }
    if (runs_ > 0) {
      GiveUp(Outcome::MayHaveRun(result.reason));
      return;
    }
    Log(LogLevel::kInfo, "no_placement",
        {{"request", request_.id.value()},
         {"reason", result.reason},
         {"predicted_ms", result.best_predicted_ms},
         {"objective_left_ms", ToMillis(objective_at_ - now)},
         {"left_ms", DeadlineLeftMs(now)},
         {"peers_age_ms", ToMillis(context_.placer.load().PeerAge(now))},
         {"config", config_version_}});
    Refuse(result.reason, result.retry_after);
    return;
  }
  SendTo(*result.placement);
}

void RelayTask::AwaitResumption() {
  // Part of the answer was delivered, so any upstream will do, also one that
  // failed this request before.
  excluded_.clear();
  resume_timer_ =
      context_.loop.After(kResumeInterval, [self = shared_from_this()] {
        if (!self->finished_) self->ChooseAndSend();
      });
}

void RelayTask::SendTo(const Placement& placement) {
  const Time now = BootClock::now();
  placement_ = placement;
  sent_at_ = now;
  computed_ = false;
  arrived_ = true;
  reply_.reset();
  buffered_.clear();
  events_.Clear();
  ++sends_;
  if (!placement.prefill_only) ++runs_;
  if (is_model_request()) {
    const PlacementQuery query = Query(now);
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
       {"predicted_ms", placement.predicted_ms},
       {"cost_ms", placement.cost_ms},
       {"objective_left_ms", ToMillis(objective_at_ - now)},
       {"left_ms", DeadlineLeftMs(now)},
       {"peers_age_ms", ToMillis(context_.placer.load().PeerAge(now))},
       {"config", config_version_},
       {"send", sends_}});
  call_ = context_.pool.Start(BuildRequest(now, placement), BuildHandlers());
  ArmStallTimer();
}

UpstreamRequest RelayTask::BuildRequest(Time now,
                                        const Placement& placement) const {
  UpstreamDirections directions;
  directions.expected = placement.upstream.id;
  if (request_.time_left) {
    directions.time_left = std::chrono::duration_cast<Duration>(
        std::max(Duration::zero(), deadline_ - now));
  }
  if (is_model_request()) {
    directions.priority = kTierPriority[static_cast<size_t>(placement.tier)];
  }
  directions.prefill_only = placement.prefill_only;
  if (!placement.prefill_only) directions.prompt_from = handle_;
  directions.resume_after = last_event_;
  UpstreamRequest request;
  request.address = placement.upstream.address;
  request.method = exchange_->head().method;
  request.target = exchange_->head().target;
  request.fields = context_.codec.encode_request(exchange_->head(), directions);
  request.body = exchange_->body();
  request.max_idle = route_.idempotent() ? kMaxIdle : kMaxIdleNonIdempotent;
  request.max_connections = context_.placer.ConnectionQuota(service_.id);
  request.connect_timeout = kConnectTimeout;
  request.answers = [codec = &context_.codec, id = request_.id,
                     upstream =
                         placement.upstream.id](const ResponseHead& head) {
    const UpstreamReply reply = codec->decode_reply(head, upstream);
    return reply.request.empty() || reply.request == id;
  };
  return request;
}

UpstreamHandlers RelayTask::BuildHandlers() {
  const auto self = shared_from_this();
  UpstreamHandlers handlers;
  handlers.on_head = [self](const ResponseHead& head) {
    self->OnReplyHead(head);
  };
  handlers.on_body = [self](std::string data) {
    self->OnReplyBody(std::move(data));
  };
  handlers.on_end = [self] { self->OnReplyEnd(); };
  handlers.on_fail = [self](const Outcome& outcome) {
    self->OnReplyFailed(outcome);
  };
  return handlers;
}

void RelayTask::OnReplyHead(const ResponseHead& head) {
  reply_ = head;
  reply_info_ = context_.codec.decode_reply(head, placement_->upstream.id);
  const bool is_event_stream =
      is_stream() && head.status == 200 && IsTrusted(reply_info_, request_.id);
  forwarding_ = is_event_stream && !placement_->prefill_only;
}

void RelayTask::OnReplyBody(std::string data) {
  if (finished_) return;
  if (forwarding_) {
    events_.Feed(data);
    ForwardEvents();
    return;
  }
  buffered_ += data;
  const bool passes = !placement_->prefill_only && reply_info_.is_signed &&
                      !reply_info_.not_run && !is_stream();
  if (!passes || buffered_.size() <= kMaxBufferedBytes) return;
  if (!exchange_->started()) {
    exchange_->StartAnswer(reply_->status, EndToEndFields(reply_->fields),
                           reply_->content_length);
  }
  exchange_->SendBody(std::exchange(buffered_, {}));
}

void RelayTask::ForwardEvents() {
  while (std::optional<RawEvent> event = events_.Next()) {
    NoteComputed();
    if (event->id && last_event_ && *event->id <= *last_event_) continue;
    if (event->id) last_event_ = event->id;
    if (!exchange_->started()) {
      // The prompt was fetched: its handle is used up.
      handle_.reset();
      exchange_->StartAnswer(reply_->status, EndToEndFields(reply_->fields),
                             std::nullopt);
    }
    exchange_->SendBody(event->bytes);
    if (exchange_->PendingBytes() > kMaxPendingBytes && call_) {
      call_->PauseReading();
      exchange_->on_drained = [call = call_] { call->ResumeReading(); };
    }
  }
  ArmStallTimer();
}

void RelayTask::NoteComputed() {
  if (computed_) return;
  computed_ = true;
  const Time now = BootClock::now();
  computed_at_ = now;
  context_.placer.OnPrefillComplete(now, *placement_, dispatch_,
                                    ToMillis(now - sent_at_));
}

void RelayTask::OnReplyEnd() {
  if (finished_) return;
  call_.reset();
  const Time now = BootClock::now();
  if (reply_info_.not_run) {
    if (reply_info_.replaced) {
      context_.placer.OnReplaced(placement_->upstream.id);
    }
    // A prompt that one engine cannot fetch is not sought elsewhere again.
    whole_only_ = handle_.has_value() && !reply_info_.replaced;
    if (whole_only_) handle_.reset();
    AttemptFailed(Outcome::NotRun("upstream refused: status " +
                                  std::to_string(reply_->status)),
                  false);
    return;
  }
  if (placement_->prefill_only) {
    OnPrefillDone();
    return;
  }
  if (!IsTrusted(reply_info_, request_.id)) {
    AttemptFailed(Outcome::MayHaveRun("response without a valid signature"),
                  true);
    return;
  }
  if (forwarding_) {
    EndStream();
    return;
  }
  if (is_stream() && exchange_->started()) {
    // Its body is not the rest of the stream that an upstream before began.
    AttemptFailed(Outcome::MayHaveRun("upstream answered " +
                                      std::to_string(reply_->status)),
                  true);
    return;
  }
  const bool failed = reply_->status >= 500;
  if (failed && !exchange_->started() && MayRetry(now, Verdict::kMayHaveRun)) {
    RetryElsewhere(now,
                   Outcome::MayHaveRun("upstream answered " +
                                       std::to_string(reply_->status)),
                   false);
    return;
  }
  AnswerBuffered();
}

void RelayTask::AnswerBuffered() {
  NoteComputed();
  EndDispatch();
  context_.placer.OnSuccess(placement_->upstream);
  if (exchange_->started()) {
    exchange_->SendBody(buffered_);
    exchange_->FinishAnswer();
  } else {
    exchange_->Answer(reply_->status, EndToEndFields(reply_->fields),
                      buffered_);
  }
  Finish("answered", reply_->status, "");
}

void RelayTask::EndStream() {
  if (!events_.rest().empty()) {
    AttemptFailed(Outcome::MayHaveRun("stream ended within an event"), true);
    return;
  }
  const Time now = BootClock::now();
  if (is_model_request() && computed_) {
    context_.placer.OnGenerationComplete(now, service_.id,
                                         ToMillis(now - computed_at_));
  }
  EndDispatch();
  context_.placer.OnSuccess(placement_->upstream);
  if (!exchange_->started()) {
    exchange_->StartAnswer(reply_->status, EndToEndFields(reply_->fields),
                           std::nullopt);
  }
  exchange_->FinishAnswer();
  Finish("answered", reply_->status, "");
}

void RelayTask::OnReplyFailed(const Outcome& outcome) {
  if (finished_) return;
  arrived_ = outcome.verdict != Verdict::kNotRun;
  call_.reset();
  AttemptFailed(outcome, true);
}

void RelayTask::OnPrefillDone() {
  std::optional<std::string> id;
  if (reply_->status == 200) id = context_.codec.decode_handle(buffered_);
  if (!id) {
    AttemptFailed(Outcome::NotRun("prompt not computed: status " +
                                  std::to_string(reply_->status)),
                  true);
    return;
  }
  NoteComputed();
  EndDispatch();
  context_.placer.OnSuccess(placement_->upstream);
  handle_ = PromptHandle{placement_->upstream, *id};
  SendGeneration();
}

void RelayTask::SendGeneration() {
  const Time now = BootClock::now();
  const PlacementResult result =
      context_.placer.PlaceGeneration(now, Query(now), handle_->source);
  if (!result.placement) {
    if (exchange_->started()) {
      FreeHandle();
      AwaitResumption();
      return;
    }
    GiveUp(Outcome::NotRun(result.reason));
    return;
  }
  // Both stages are one send.
  --sends_;
  SendTo(*result.placement);
}

void RelayTask::AttemptFailed(const Outcome& outcome, bool upstream_failed) {
  const Time now = BootClock::now();
  const bool not_run =
      placement_->prefill_only || outcome.verdict == Verdict::kNotRun;
  if (not_run && !placement_->prefill_only) --runs_;
  const Outcome verdict{not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
                        outcome.reason};
  if (MayRetry(now, verdict.verdict)) {
    RetryElsewhere(now, verdict, upstream_failed);
    return;
  }
  EndAttempt(now, verdict, upstream_failed, "no");
  GiveUp(verdict);
}

void RelayTask::EndAttempt(Time now, const Outcome& outcome,
                           bool upstream_failed, const char* retry) {
  EndDispatch();
  if (!arrived_) {
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

void RelayTask::RetryElsewhere(Time now, const Outcome& outcome,
                               bool upstream_failed) {
  const bool was_prefill = placement_->prefill_only;
  EndAttempt(now, outcome, upstream_failed, "yes");
  context_.metrics.Add("gateway_retries_total");
  // A computed prompt whose transfer has not begun is still there.
  if (handle_ && outcome.verdict == Verdict::kNotRun && !was_prefill) {
    SendGeneration();
    return;
  }
  handle_.reset();
  ChooseAndSend();
}

bool RelayTask::RetryAllowed(Time now, Verdict verdict) const {
  if (sends_ >= kMaxSends) return false;
  if (DeadlineLeftMs(now) < kShortestAttemptMs) return false;
  if (verdict != Verdict::kNotRun) {
    if (!route_.idempotent() || runs_ >= route_.attempts) return false;
  }
  return true;
}

bool RelayTask::MayRetry(Time now, Verdict verdict) {
  if (!RetryAllowed(now, verdict)) return false;
  // A send that never arrived makes the next one the first arrival.
  if (!arrived_) return true;
  return context_.take_retry(now, service_.id);
}

void RelayTask::GiveUp(const Outcome& outcome) {
  if (exchange_->started()) {
    exchange_->Abort();
    Finish("cut", 0, outcome.reason);
    return;
  }
  if (outcome.verdict == Verdict::kNotRun && runs_ == 0) {
    Refuse(outcome.reason, std::nullopt);
    return;
  }
  exchange_->Answer(502, context_.codec.encode_refusal(request_.id, {}), "");
  Finish("failed", 502, outcome.reason);
}

void RelayTask::Refuse(const std::string& reason,
                       std::optional<Duration> retry_after) {
  FreeHandle();
  // A client that returns has missed its objective, so it is asked to stay
  // away for a good part of its time, spread over the clients.
  const Duration wait = deadline_ - exchange_->received();
  const double share = kLeastRetryShare + (kMostRetryShare - kLeastRetryShare) *
                                              context_.random.Uniform();
  const Duration spread = std::max(retry_after.value_or(Duration::zero()),
                                   FromSeconds(ToSeconds(wait) * share));
  exchange_->Answer(503, context_.codec.encode_refusal(request_.id, spread),
                    "");
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
  FreeHandle();
  if (exchange_->started()) {
    exchange_->Abort();
    Finish("cut", 0, "time ran out");
    return;
  }
  if (runs_ == 0) {
    Refuse("time ran out", std::nullopt);
    return;
  }
  exchange_->Answer(504, context_.codec.encode_refusal(request_.id, {}), "");
  Finish("failed", 504, "time ran out");
}

void RelayTask::ArmStallTimer() {
  if (!route_.idempotent() || finished_) return;
  Duration limit = is_stream() ? kStreamStall : kShortestStall;
  if (exchange_->started()) {
    limit = std::max(limit, 4 * route_.event_gap.value_or(limit));
  } else {
    limit = std::max(limit, 2 * route_.objective) +
            FromSeconds(2 * std::max(0.0, placement_->predicted_ms) / 1000);
  }
  stall_timer_ = context_.loop.After(
      limit, [self = shared_from_this()] { self->OnStall(); });
}

void RelayTask::OnStall() {
  if (finished_ || !call_) return;
  // A slow client has paused the upstream.
  if (exchange_->PendingBytes() > 0) return;
  const Time now = BootClock::now();
  const UpstreamId stalled = placement_->upstream.id;
  excluded_.insert(stalled);
  const bool has_other = Choose(now).placement.has_value();
  if (!has_other || !MayRetry(now, Verdict::kMayHaveRun)) {
    // Waiting on is better than giving up.
    excluded_.erase(stalled);
    ArmStallTimer();
    return;
  }
  call_->Cancel();
  call_.reset();
  handle_.reset();
  RetryElsewhere(now, Outcome::MayHaveRun("upstream stalled"), true);
}

void RelayTask::OnClientLeft() {
  if (finished_) return;
  if (call_) call_->Cancel();
  call_.reset();
  EndDispatch();
  FreeHandle();
  Finish("client_left", 0, "client closed the connection");
}

void RelayTask::EndDispatch() {
  if (dispatch_ == 0) return;
  context_.placer.OnEnd(BootClock::now(), *placement_, dispatch_);
  dispatch_ = 0;
}

void RelayTask::FreeHandle() {
  if (!handle_) return;
  const auto [method, target] = context_.codec.encode_free_handle(handle_->id);
  UpstreamRequest request;
  request.address = handle_->source.address;
  request.method = method;
  request.target = target;
  handle_.reset();
  context_.pool.Start(std::move(request), {});
}

void RelayTask::Finish(const char* result, int status,
                       const std::string& reason) {
  finished_ = true;
  deadline_timer_.Reset();
  stall_timer_.Reset();
  resume_timer_.Reset();
  exchange_->on_client_left = nullptr;
  exchange_->on_drained = nullptr;
  const Time now = BootClock::now();
  const double elapsed_ms = ToMillis(now - exchange_->received());
  Log(LogLevel::kInfo, "request_done",
      {{"request", request_.id.value()},
       {"route", route_.id.value()},
       {"result", result},
       {"status", status},
       {"reason", reason},
       {"sends", sends_},
       {"runs", runs_},
       {"elapsed_ms", elapsed_ms}});
  context_.metrics.Add("gateway_requests_total{result=\"" +
                       std::string(result) + "\"}");
  context_.metrics.Record("gateway_request_seconds", elapsed_ms / 1000);
}

}  // namespace corianderlink
