// Relaying a request: attempts whose upstream makes no progress.
#include <algorithm>

#include "corianderlink/Gateway/relay_task.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

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

}  // namespace

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
