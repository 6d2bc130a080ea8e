// Forwards one client request to another gateway, which serves it.
#include "corianderlink/Gateway/forward_task.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Gateway/refusal_delay.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr Duration kConnectTimeout = milliseconds(250);
constexpr size_t kMaxConnections = 1000;
// An idle connection of this age may have been closed by the peer.
constexpr Duration kMaxIdle = seconds(5);
constexpr size_t kMaxPeers = 2;
// The peer answers at the deadline itself; its answer takes a moment.
constexpr Duration kDeadlineMargin = milliseconds(50);
constexpr size_t kMaxBufferedBytes = 256 * 1024;
constexpr size_t kMaxEventBytes = 1024 * 1024;
constexpr size_t kMaxPendingBytes = 1024 * 1024;
// Interval between rounds of peers for a stream that has begun; it doubles.
constexpr Duration kRetryInterval = milliseconds(50);
constexpr int kMaxRetryDoublings = 3;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

}  // namespace

ForwardTask::ForwardTask(ForwardContext& context, ForwardedRequest forwarded)
    : context_(context),
      forwarded_(std::move(forwarded)),
      held_(context.answer_memory) {}

void ForwardTask::Start() {
  const auto self = shared_from_this();
  const Time now = BootClock::now();
  forwarded_.exchange->on_client_disconnected = [self] {
    self->OnClientDisconnected();
  };
  forwarded_.exchange->on_process_ending = [self] { self->OnProcessEnding(); };
  deadline_timer_ = context_.loop.After(
      std::max(Duration::zero(), forwarded_.deadline + kDeadlineMargin - now),
      [self] { self->OnDeadline(); });
  SendToNextPeer();
}

bool ForwardTask::is_event_stream() const {
  return forwarded_.route.kind == RouteKind::kStream &&
         response_->status == 200 && response_info_.is_signed;
}

void ForwardTask::SendToNextPeer() {
  const Time now = BootClock::now();
  peer_.reset();
  if (tried_.size() < kMaxPeers) {
    peer_ = context_.choose_peer(now, forwarded_.service, tried_);
  }
  if (!peer_) {
    if (!WaitForPeers()) Fail("no peer can serve the request");
    return;
  }
  tried_.insert(*peer_);
  response_.reset();
  std::string().swap(buffered_);
  event_splitter_.Clear();
  UpdateHeldAnswer();
  context_.metrics.Add("gateway_forwarded_requests_total");
  context_.on_begin(*peer_);
  call_ = context_.pool.Start(BuildRequest(now), BuildHandlers());
  Log(LogLevel::kInfo, "request_forwarded",
      {{"request", forwarded_.request.id.value()},
       {"service", forwarded_.service.value()},
       {"peer", peer_->ToString()},
       {"left_ms", ToMillis(forwarded_.deadline - now)},
       {"may_have_run", forwarded_.may_have_run ? "yes" : "no"},
       {"send", static_cast<uint64_t>(tried_.size())},
       {"connection", call_->connection().number}});
}

bool ForwardTask::WaitForPeers() {
  const RouteSpec& route = forwarded_.route;
  const bool may_resume = forwarded_.exchange->response_started() &&
                          route.kind == RouteKind::kStream &&
                          route.idempotent() && forwarded_.state.runs_left > 0;
  if (!may_resume) return false;
  tried_.clear();
  const int doublings = std::min(refused_rounds_++, kMaxRetryDoublings);
  const auto retry = [self = shared_from_this()] {
    if (!self->finished_) self->SendToNextPeer();
  };
  retry_timer_ = context_.loop.After(kRetryInterval * (1 << doublings), retry);
  return true;
}

UpstreamRequest ForwardTask::BuildRequest(Time now) const {
  const ClientRequest& client = forwarded_.request;
  UpstreamRequestOptions options;
  options.time_left = std::max(Duration::zero(), forwarded_.deadline - now);
  options.forwarding = forwarded_.state;
  if (forwarded_.last_event_id) {
    options.resume_after_event_id = forwarded_.last_event_id;
    options.resumes = client.resumes.empty() ? client.id : client.resumes;
  }
  const InboundExchange& exchange = *forwarded_.exchange;
  UpstreamRequest request;
  request.address = *peer_;
  request.method = exchange.head().method;
  request.target = exchange.head().target;
  request.fields = context_.codec.encode_request(exchange.head(), options);
  request.body = exchange.body();
  request.max_idle = kMaxIdle;
  request.max_connections = kMaxConnections;
  request.connect_timeout = kConnectTimeout;
  request.id = client.id.value();
  request.named_request = context_.codec.named_request;
  return request;
}

UpstreamHandlers ForwardTask::BuildHandlers() {
  const auto self = shared_from_this();
  UpstreamHandlers handlers;
  handlers.on_head = [self](const ResponseHead& head) { self->OnHead(head); };
  handlers.on_body = [self](std::string data) {
    self->OnBody(std::move(data));
  };
  handlers.on_end = [self] { self->OnEnd(); };
  handlers.on_fail = [self](const Outcome& outcome) {
    self->OnFailure(outcome);
  };
  return handlers;
}

void ForwardTask::OnPeerReached() {
  forwarded_.state.arrivals = ArrivalCounts::NothingFree();
}

void ForwardTask::OnHead(const ResponseHead& head) {
  OnPeerReached();
  response_ = head;
  response_info_ = context_.codec.decode_response(head, UpstreamId());
}

void ForwardTask::OnBody(std::string data) {
  if (finished_) return;
  if (is_event_stream()) {
    event_splitter_.Feed(data);
    SendEvents();
    if (!finished_) UpdateHeldAnswer();
    return;
  }
  InboundExchange& exchange = *forwarded_.exchange;
  // This body does not continue the stream that has started.
  const bool is_foreign = exchange.response_started() &&
                          forwarded_.route.kind == RouteKind::kStream;
  if (is_foreign) return;
  buffered_ += data;
  UpdateHeldAnswer();
  if (buffered_.size() <= held_.LimitFor(kMaxBufferedBytes)) return;
  if (!exchange.response_started()) {
    exchange.StartResponse(response_->status, EndToEndFields(response_->fields),
                           response_->content_length);
  }
  exchange.SendBody(std::exchange(buffered_, {}));
  PauseReadingForSlowClient();
}

void ForwardTask::UpdateHeldAnswer() {
  held_.Set(buffered_.size() + event_splitter_.rest().size() +
            forwarded_.exchange->PendingBytes());
}

void ForwardTask::SendEvents() {
  InboundExchange& exchange = *forwarded_.exchange;
  std::optional<uint64_t>& last_id = forwarded_.last_event_id;
  while (std::optional<RawEvent> event = event_splitter_.Next()) {
    if (event->id && last_id && *event->id <= *last_id) continue;
    if (event->id) last_id = event->id;
    if (!exchange.response_started()) {
      exchange.StartResponse(response_->status,
                             EndToEndFields(response_->fields), std::nullopt);
    }
    exchange.SendBody(event->bytes);
    PauseReadingForSlowClient();
  }
  const size_t limit = held_.LimitFor(kMaxEventBytes);
  if (event_splitter_.rest().size() <= limit) return;
  call_->Cancel();
  OnFailure(Outcome::MayHaveRun("event is longer than any valid one"));
}

void ForwardTask::PauseReadingForSlowClient() {
  InboundExchange& exchange = *forwarded_.exchange;
  const size_t pending = exchange.PendingBytes();
  if (pending == 0 || !call_) return;
  exchange.on_drained = [self = shared_from_this(), call = call_] {
    call->ResumeReading();
    if (!self->finished_) self->UpdateHeldAnswer();
  };
  if (pending > held_.LimitFor(kMaxPendingBytes)) call_->PauseReading();
}

void ForwardTask::OnEnd() {
  if (finished_) return;
  // Gateways frame every answer; this one may have been cut anywhere.
  if (response_->ends_with_connection) {
    OnFailure(Outcome::MayHaveRun("peer's answer has neither length nor end"));
    return;
  }
  EndCall();
  InboundExchange& exchange = *forwarded_.exchange;
  if (is_event_stream()) {
    if (!event_splitter_.rest().empty()) {
      OnFailure(Outcome::MayHaveRun("stream ended within an event"));
      return;
    }
    if (!exchange.response_started()) {
      exchange.StartResponse(response_->status,
                             EndToEndFields(response_->fields), std::nullopt);
    }
    exchange.CompleteResponse();
    Finish("answered", response_->status, "");
    return;
  }
  const bool refused =
      !response_info_.is_signed &&
      (response_->status == kUnavailable || response_->status == kNotFound);
  // The peer may just have lost its own links, or be behind in its
  // configuration.
  if (refused && tried_.size() < kMaxPeers) {
    SendToNextPeer();
    return;
  }
  // A refusal for good names no time to come back.
  if (refused && response_info_.pause && WaitForPeers()) return;
  if (refused && response_->status == kNotFound) {
    Fail("peer has no such route");
    return;
  }
  SendBufferedResponse();
}

void ForwardTask::SendBufferedResponse() {
  InboundExchange& exchange = *forwarded_.exchange;
  if (exchange.response_started() &&
      forwarded_.route.kind == RouteKind::kStream) {
    exchange.Abort();
    Finish("cut", 0, "peer could not resume the stream");
    return;
  }
  if (exchange.response_started()) {
    exchange.SendBody(buffered_);
    exchange.CompleteResponse();
    Finish("answered", response_->status, "");
    return;
  }
  // "Not run" holds for the peer only.
  const bool refused =
      !response_info_.is_signed && response_->status == kUnavailable;
  if (refused && forwarded_.may_have_run) {
    Fail("refused by the peer, and may have run before");
    return;
  }
  exchange.SendResponse(response_->status, EndToEndFields(response_->fields),
                        buffered_);
  Finish(refused ? "refused" : "answered", response_->status,
         "answered by a peer");
}

void ForwardTask::OnFailure(const Outcome& outcome) {
  if (finished_) return;
  EndCall();
  if (outcome.verdict != Verdict::kNotRun) {
    forwarded_.may_have_run = true;
    --forwarded_.state.runs_left;
    OnPeerReached();
  }
  const InboundExchange& exchange = *forwarded_.exchange;
  const Time now = BootClock::now();
  const RouteSpec& route = forwarded_.route;
  const bool has_time = now < forwarded_.deadline;
  const bool may_repeat =
      !forwarded_.may_have_run ||
      (route.idempotent() && forwarded_.state.runs_left > 0);
  const bool partial_body =
      exchange.response_started() && route.kind != RouteKind::kStream;
  Log(LogLevel::kInfo, "forward_failed",
      {{"request", forwarded_.request.id.value()},
       {"verdict", ToString(outcome.verdict)},
       {"reason", outcome.reason},
       {"retry", has_time && may_repeat && !partial_body ? "yes" : "no"}});
  if (has_time && may_repeat && !partial_body) {
    SendToNextPeer();
    return;
  }
  Fail(outcome.reason);
}

void ForwardTask::Fail(const std::string& reason) {
  InboundExchange& exchange = *forwarded_.exchange;
  if (exchange.response_started()) {
    exchange.Abort();
    Finish("cut", 0, reason);
    return;
  }
  const RequestId& id = forwarded_.request.id;
  if (!forwarded_.may_have_run) {
    const Duration delay =
        RefusalDelay(forwarded_.deadline - exchange.received_at(),
                     Duration::zero(), context_.random);
    exchange.SendResponse(kUnavailable,
                          context_.codec.encode_error_fields(id, delay), "");
    context_.metrics.Add("gateway_refusals_total");
    Finish("refused", kUnavailable, reason);
    return;
  }
  exchange.SendResponse(502, context_.codec.encode_error_fields(id, {}), "");
  Finish("failed", 502, reason);
}

void ForwardTask::OnDeadline() {
  if (!finished_) EndUnanswered("time ran out");
}

void ForwardTask::OnProcessEnding() {
  if (!finished_) EndUnanswered("the gateway stops");
}

void ForwardTask::EndUnanswered(const std::string& reason) {
  if (call_) call_->Cancel();
  EndCall();
  forwarded_.may_have_run = true;
  Fail(reason);
}

void ForwardTask::OnClientDisconnected() {
  if (finished_) return;
  if (call_) call_->Cancel();
  EndCall();
  Finish("client_left", 0, "client closed the connection");
}

void ForwardTask::EndCall() {
  if (call_) context_.on_end(*peer_);
  call_.reset();
}

void ForwardTask::Finish(const char* result, int status,
                         const std::string& reason) {
  finished_ = true;
  held_.Set(0);
  deadline_timer_.Reset();
  retry_timer_.Reset();
  InboundExchange& exchange = *forwarded_.exchange;
  exchange.on_client_disconnected = nullptr;
  exchange.on_process_ending = nullptr;
  exchange.on_drained = nullptr;
  const double elapsed_ms = ToMillis(BootClock::now() - exchange.received_at());
  Log(LogLevel::kInfo, "request_done",
      {{"request", forwarded_.request.id.value()},
       {"route", forwarded_.route.id.value()},
       {"result", result},
       {"status", status},
       {"reason", reason},
       {"peers", static_cast<uint64_t>(tried_.size())},
       {"elapsed_ms", elapsed_ms}});
  context_.metrics.Add("gateway_requests_total{result=\"" +
                       std::string(result) + "\"}");
  context_.metrics.Record("gateway_request_seconds", elapsed_ms / 1000);
}

}  // namespace corianderlink
