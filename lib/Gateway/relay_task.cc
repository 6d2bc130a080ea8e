// Relays one client request to an upstream: placing, sending and ending it.
#include "corianderlink/Gateway/relay_task.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// A pooled connection that was idle for longer may have been closed by the
// upstream without notice, so it is not used for requests that must not run
// twice.
constexpr Duration kMaxIdleNonIdempotent = seconds(5);
constexpr Duration kMaxIdle = seconds(30);
constexpr Duration kConnectTimeout = milliseconds(250);
// A request that was denied so many permits goes to unlimited upstreams only.
constexpr int kMaxDeniedPermits = 4;
// Interval between searches for an upstream, while none can take the request.
constexpr Duration kPlacementPollInterval = milliseconds(50);
// The interval doubles so often while a started stream waits.
constexpr int kMaxResumeDoublings = 3;
// Priority of a request in the engine's queue, by work tier; 0 is the highest.
constexpr int kEnginePriorityByTier[kPriorityTiers] = {2, 4, 7};

}  // namespace

RelayTask::RelayTask(RelayContext& context, RelayedRequest relayed)
    : context_(context),
      exchange_(std::move(relayed.exchange)),
      route_(std::move(relayed.route)),
      service_(std::move(relayed.service)),
      request_(std::move(relayed.request)),
      config_version_(relayed.config_version),
      from_peer_(relayed.from_peer),
      is_counted_(relayed.is_counted),
      versions_(std::move(relayed.versions)),
      seed_(context.random.Bits()),
      arrivals_(context.retry_budget, service_.id, request_.id,
                from_peer_ && request_.forwarding
                    ? request_.forwarding->arrivals
                    : ArrivalCounts()),
      held_(context.answer_memory) {}

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
  exchange_->on_process_ending = [self] { self->OnProcessEnding(); };
  deadline_timer_ =
      context_.loop.After(std::max(Duration::zero(), deadline_ - now),
                          [self] { self->OnDeadline(); });
  context_.stop_admission.OnArrived(this, route_.id, request_.OutputTokens(),
                                    exchange_->received_at());
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
  // A client that resumes would lose what it has already received.
  query.resumed =
      exchange_->response_started() || versions_.required.has_value();
  query.first_attempt = sends_ == 0 && denied_permits_ == 0;
  query.single_engine_only = single_engine_only_;
  query.seed = seed_;
  query.excluded = &excluded_;
  query.versions = versions_;
  query.rate_limit = MakeRateLimitQuery();
  return query;
}

RateLimitQuery RelayTask::MakeRateLimitQuery() const {
  return {route_.priority, denied_permits_ >= kMaxDeniedPermits};
}

PlacementResult RelayTask::ChoosePlacement(Time now) const {
  return is_model_request()
             ? context_.placer.PlacePrompt(now, MakePlacementQuery(now))
             : context_.placer.PlacePlain(now, service_.id, excluded_,
                                          MakeRateLimitQuery(), versions_);
}

PlacementResult RelayTask::ChooseCoveredPlacement(Time now) {
  using Attempt = RequestArrivals::Attempt;
  PlacementResult result = ChoosePlacement(now);
  if (!result.placement) return result;
  if (result.placement->prefill_only) {
    if (arrivals_.TryCover(now, Attempt::kSplit)) return result;
    single_engine_only_ = true;
    result = ChoosePlacement(now);
    if (!result.placement) return result;
  }
  if (arrivals_.TryCover(now, Attempt::kOneCall)) return result;
  return {std::nullopt, "the retry budget is exhausted", {}};
}

void RelayTask::PlaceAndSend() {
  const Time now = BootClock::now();
  if (EndIfStopping(now)) return;
  if (EndIfQuarantined(now)) return;
  if (ForwardIfPartitioned(now)) return;
  if (AwaitTrial(now, &RelayTask::PlaceAndSend)) return;
  const PlacementResult result = ChooseCoveredPlacement(now);
  if (!result.placement) {
    if (ForwardForLackOfUpstreams(now)) return;
    if (exchange_->response_started()) {
      ScheduleResume();
      return;
    }
    if (!from_peer_ && context_.is_reachability_unknown(service_.id)) {
      PlaceLater(kPlacementPollInterval);
      return;
    }
    if (possible_runs_ > 0) {
      FailRequest(Outcome::MayHaveRun(result.reason));
      return;
    }
    const Placer::ServiceHealth health =
        context_.placer.HealthOf(now, service_.id);
    Log(LogLevel::kInfo, "no_placement",
        {{"request", request_.id.value()},
         {"reason", result.reason},
         {"service", service_.id.value()},
         {"usable", static_cast<uint64_t>(health.usable)},
         {"ejected", static_cast<uint64_t>(health.ejected)},
         {"prompt_tokens", PromptTokens()},
         {"objective_left_ms", ToMillis(objective_deadline_ - now)},
         {"left_ms", DeadlineLeftMs(now)},
         {"peers_age_ms", ToMillis(context_.placer.load().PeerAge(now))},
         {"config", config_version_}});
    if (HasVersionLeft()) {
      RefuseForGood("upstreams of the stream's software version have left");
      return;
    }
    Refuse(result.reason, result.retry_after);
    return;
  }
  SendWithPermit(*result.placement, &RelayTask::PlaceAndSend);
}

bool RelayTask::ForwardIfPartitioned(Time now) {
  if (from_peer_ || !context_.must_forward(now, service_.id)) return false;
  Forward();
  return true;
}

bool RelayTask::ForwardForLackOfUpstreams(Time now) {
  if (from_peer_ || !context_.can_peer_serve_better(now, service_.id)) {
    return false;
  }
  Forward();
  return true;
}

void RelayTask::Forward() {
  ReleaseKvHandle();
  const ArrivalCounts arrivals = arrivals_.HandOver(BootClock::now());
  Detach();
  context_.forward({exchange_,
                    route_,
                    service_.id,
                    request_,
                    deadline_,
                    possible_runs_ > 0,
                    {route_.max_runs - possible_runs_, is_counted_, arrivals},
                    last_event_id_});
}

void RelayTask::SendWithPermit(const Placement& placement,
                               void (RelayTask::*place_again)()) {
  const auto on_decision = [self = shared_from_this(), placement,
                            place_again](bool granted) {
    if (self->finished_) return;
    if (granted) {
      self->SendTo(placement);
      return;
    }
    ++self->denied_permits_;
    Log(LogLevel::kDebug, "permit_denied",
        {{"request", self->request_.id.value()},
         {"upstream", placement.upstream.id.value()},
         {"denied", self->denied_permits_}});
    (self.get()->*place_again)();
  };
  context_.placer.rate_limiter().Acquire(BootClock::now(), placement.upstream,
                                         route_.priority, on_decision);
}

bool RelayTask::HasVersionLeft() const {
  return versions_.required &&
         !context_.is_version_registered(service_.id, *versions_.required);
}

void RelayTask::ScheduleResume() {
  if (HasVersionLeft()) {
    FailRequest(Outcome::MayHaveRun(
        "upstreams of the stream's software version have left"));
    return;
  }
  // Part of the response was delivered, so any upstream may resume it, even one
  // that already failed this request; the last one if there is no other.
  const bool has_other = excluded_.size() > 1;
  excluded_.clear();
  if (has_other) excluded_.insert(placement_->upstream.id);
  const int doublings = std::min(resume_searches_++, kMaxResumeDoublings);
  PlaceLater(kPlacementPollInterval * (1 << doublings));
}

void RelayTask::PlaceLater(Duration delay) {
  placement_timer_ = context_.loop.After(delay, [self = shared_from_this()] {
    if (!self->finished_) self->PlaceAndSend();
  });
}

void RelayTask::SendTo(const Placement& placement) {
  const Time now = BootClock::now();
  placement_ = placement;
  sent_at_ = now;
  first_output_seen_ = false;
  events_received_ = 0;
  reached_upstream_ = true;
  response_.reset();
  std::string().swap(buffered_);
  event_splitter_.Clear();
  UpdateHeldAnswer();
  // Prefill and decode count as one attempt.
  if (!kv_handle_) ++sends_;
  arrivals_.OnSent(now);
  if (!placement.prefill_only) ++possible_runs_;
  if (trial_ != 0) context_.quarantine.OnTrialSent(now, trial_);
  if (is_model_request()) {
    const PlacementQuery query = MakePlacementQuery(now);
    dispatch_ = context_.placer.OnDispatch(now, placement, &query);
  } else {
    dispatch_ = context_.placer.OnDispatch(now, placement, nullptr);
  }
  call_ = context_.pool.Start(BuildUpstreamRequest(now, placement),
                              BuildHandlers());
  connection_ = call_->connection();
  Log(LogLevel::kInfo, "request_sent",
      {{"request", request_.id.value()},
       {"route", route_.id.value()},
       {"upstream", placement.upstream.id.value()},
       {"version", placement.upstream.version.value()},
       {"resumes", request_.resumes.value()},
       {"stage", placement.prefill_only ? "prefill" : "run"},
       {"tier", static_cast<int>(placement.tier)},
       {"prompt_tokens", PromptTokens()},
       {"predicted_ms", placement.predicted_ms},
       {"cost_ms", placement.cost_ms},
       {"objective_left_ms", ToMillis(objective_deadline_ - now)},
       {"left_ms", DeadlineLeftMs(now)},
       {"peers_age_ms", ToMillis(context_.placer.load().PeerAge(now))},
       {"config", config_version_},
       {"send", sends_},
       {"connection", connection_.number},
       {"earlier_requests", connection_.earlier_requests}});
  ArmStallTimer();
}

UpstreamRequest RelayTask::BuildUpstreamRequest(Time now,
                                                const Placement& placement) {
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
  request.id = request_.id.value();
  request.named_request = context_.codec.named_request;
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

void RelayTask::Detach() {
  finished_ = true;
  context_.stop_admission.OnEnded(this);
  arrivals_.Release();
  held_.Set(0);
  if (trial_ != 0) {
    context_.quarantine.OnTrialEnd(BootClock::now(), trial_,
                                   possible_runs_ > 0);
  }
  deadline_timer_.Reset();
  stall_timer_.Reset();
  placement_timer_.Reset();
  exchange_->on_client_disconnected = nullptr;
  exchange_->on_process_ending = nullptr;
  exchange_->on_drained = nullptr;
}

void RelayTask::Finish(const char* result, int status,
                       const std::string& reason) {
  Detach();
  const Time now = BootClock::now();
  const Duration taken = now - exchange_->received_at();
  const double elapsed_ms = ToMillis(taken);
  StopAdmission& admission = context_.stop_admission;
  const bool is_success = status >= 200 && status < 300;
  if (is_success) {
    admission.OnServed(now, route_.id, request_.OutputTokens(), taken);
  }
  if (!is_success && possible_runs_ > 0) {
    admission.OnBrokenOff(now, route_.id, request_.OutputTokens(), taken);
  }
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
