// Relays one client request to an upstream and forwards the response.
//
// Chooses the upstreams, retries failed attempts, resumes event streams and
// enforces the request's deadline.
#ifndef CORIANDERLINK_GATEWAY_RELAY_TASK_H_
#define CORIANDERLINK_GATEWAY_RELAY_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "corianderlink/Gateway/answer_memory.h"
#include "corianderlink/Gateway/crash_quarantine.h"
#include "corianderlink/Gateway/event_splitter.h"
#include "corianderlink/Gateway/forward_task.h"
#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/placer.h"
#include "corianderlink/Gateway/relay_codec.h"
#include "corianderlink/Gateway/request_arrivals.h"
#include "corianderlink/Gateway/stop_admission.h"
#include "corianderlink/Gateway/stream_origins.h"
#include "corianderlink/Gateway/upstream_probe.h"
#include "corianderlink/Gateway/version_constraint.h"
#include "corianderlink/Http/inbound_exchange.h"
#include "corianderlink/Http1/upstream_pool.h"
#include "corianderlink/Support/metrics.h"
#include "corianderlink/Support/random.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

/// Dependencies shared by all relay tasks of a gateway.
struct RelayContext {
  EventLoop& loop;
  UpstreamPool& pool;
  Placer& placer;
  const RelayCodec& codec;
  Metrics& metrics;
  RandomSource& random;
  CrashQuarantine& quarantine;
  UpstreamProbe& upstream_probe;
  FleetRetryBudget& retry_budget;
  AnswerMemory& answer_memory;
  /// How long requests take, and what this gateway begins while it stops.
  StopAdmission& stop_admission;
  /// An attempt at an upstream has failed or stalled.
  std::function<void(Time, const UpstreamRecord&, const Outcome&)>
      on_suspect_failure = {};
  /// An upstream has responded.
  std::function<void(Time, const ServiceId&)> on_upstream_response = {};
  /// The upstream of a request has ended before it answered.
  std::function<void(const ServiceId&, const RequestSuspects&,
                     const UpstreamCrash&)>
      report_crash = {};
  /// True until it is found out whether this gateway can reach the service.
  std::function<bool(const ServiceId&)> is_reachability_unknown = {};
  /// True if the service can be served by a peer only.
  std::function<bool(Time, const ServiceId&)> must_forward = {};
  /// True if a peer reaches more upstreams of the service.
  std::function<bool(Time, const ServiceId&)> can_peer_serve_better = {};
  /// Hands a request over to a peer.
  std::function<void(ForwardedRequest)> forward = {};
  /// Remembers at which version a stream has begun.
  std::function<void(const StreamOrigin&)> on_stream_begun = {};
  /// True if an upstream of that version is registered.
  std::function<bool(const ServiceId&, const SoftwareVersion&)>
      is_version_registered = {};
  /// Estimates how long a client waited in earlier attempts at the same
  /// request, given the timeout of the present attempt.  The timeout is added
  /// to the history of the route.
  std::function<Duration(const RouteSpec&, Duration)> estimate_prior_wait = {};
};

/// A client's request, and how it is to be served.
struct RelayedRequest {
  std::shared_ptr<InboundExchange> exchange;
  RouteSpec route;
  ServicePoolSpec service;
  ClientRequest request;
  VersionConstraint versions;
  /// A peer has forwarded the request; it is not forwarded again.
  bool from_peer = false;
  /// The request is counted in this gateway's retry budget.
  bool is_counted = true;
  /// Version of the configuration that has the route.
  uint64_t config_version = 0;
};

/// Handles a request from its arrival to the end of its response.  A request
/// that is not idempotent is retried only if the upstream declared that it did
/// not run, or if it certainly did not reach the upstream.
class RelayTask : public std::enable_shared_from_this<RelayTask> {
 public:
  RelayTask(RelayContext& context, RelayedRequest relayed);

  /// Arms the deadline and sends the request to the first upstream, or refuses
  /// it.  The task keeps itself alive until the response has ended.
  void Start();

 private:
  // Events of an attempt that show that the engine survives the prompt.
  static constexpr int kAnsweringEvents = 3;

  bool is_stream() const { return route_.kind == RouteKind::kStream; }
  /// True if the service runs model engines and the request has a prompt.
  bool is_model_request() const {
    return service_.engine.has_value() && request_.prompt.has_value();
  }
  double DeadlineLeftMs(Time now) const;
  /// 0 if the request has no prompt.
  uint64_t PromptTokens() const;
  PlacementQuery MakePlacementQuery(Time now) const;
  RateLimitQuery MakeRateLimitQuery() const;

  PlacementResult ChoosePlacement(Time now) const;
  /// Like ChoosePlacement, within the retry budget: a repeat that the budget
  /// allows one call only goes to a single engine.
  PlacementResult ChooseCoveredPlacement(Time now);
  /// Chooses an upstream and sends the request to it.  Without an upstream the
  /// request is refused or failed, or, if its stream has started, tried again
  /// later.
  void PlaceAndSend();
  /// Calls PlaceAndSend after `delay`.
  void PlaceLater(Duration delay);
  /// Hands the request over to a peer if this gateway cannot serve it.
  bool ForwardIfPartitioned(Time now);
  /// Schedules another search for an upstream that can resume a started stream,
  /// or ends the stream if none is left.
  void ScheduleResume();
  /// Sends the request to the upstream once it has a permit, if the upstream
  /// has a rate limit.  Without one, calls `place_again`.
  void SendWithPermit(const Placement& placement,
                      void (RelayTask::*place_again)());
  void SendTo(const Placement& placement);
  /// Hands a request that finds no upstream over to a peer that reaches more of
  /// them; false if there is no such peer.
  bool ForwardForLackOfUpstreams(Time now);
  /// Hands the request over to a peer, which ends this task.
  void Forward();
  /// Sends a prefilled prompt to a decode engine.
  void SendDecodeStage();
  UpstreamRequest BuildUpstreamRequest(Time now, const Placement& placement);
  UpstreamHandlers BuildHandlers();

  void OnResponseHead(const ResponseHead& head);
  void OnResponseBody(std::string data);
  void OnResponseEnd();
  void OnUpstreamFailure(const Outcome& outcome);
  void OnPrefillDone();
  /// Sends the complete events received so far to the client.
  void ForwardEvents();
  /// Ends the event stream.  A stream that ends within an event counts as a
  /// failed attempt.
  void FinishStream();
  /// Sends the buffered body, which is all of the response or its last part.
  void FinishBufferedResponse();
  /// Reports once per attempt that the upstream has produced output, which for
  /// a model request means that the prompt is computed.
  void ReportFirstOutput();
  /// An event of the stream is about to be sent to the client.
  void RecordEventGap();
  /// The first event is about to be sent: binds the stream to the version of
  /// its upstream.
  void BindToVersion(Time now);
  /// True if the upstreams of the only version that may answer have all left.
  bool HasVersionLeft() const;
  /// Passes on what the upstream said about itself in its response head.
  void ApplyNotices();
  /// Passes on the rate limit that the response head names, or its end.
  void ApplyRateLimit(Time now);
  /// Counts what is kept of the response and what its client has yet to read.
  void UpdateHeldAnswer();
  /// Gives up an attempt whose response exceeds every bound.
  void AbandonEndlessResponse();
  void PauseReadingForSlowClient();

  /// Ends an attempt that has no response for the client; retries the request
  /// or fails it.  `upstream_failed` counts the failure against the health of
  /// the upstream.
  void OnAttemptFailed(const Outcome& outcome, bool upstream_failed);
  /// Logs a failed attempt and excludes its upstream from further attempts.
  /// `retry` is the logged value: whether a retry follows.
  void RecordFailedAttempt(Time now, const Outcome& outcome,
                           bool upstream_failed, const char* retry);
  /// Ends the request if it or a part of its prompt crashes upstreams.
  bool EndIfQuarantined(Time now);
  /// After a quarantine, claims the trial, waits for the claim to reach the
  /// peers and calls `place_again`; false if the request may be sent now.
  bool AwaitTrial(Time now, void (RelayTask::*place_again)());
  /// Counts a failed attempt against the request and the parts of its prompt if
  /// the upstream has crashed before it answered.
  void CheckForCrash(const Outcome& outcome);
  /// The upstream has answered enough to clear the request and its parts.
  void ReportAnswered();
  /// What the request has that may crash upstreams.
  RequestSuspects Suspects();
  /// Identifies the request among all that clients repeat: digest of its
  /// method, target, credentials and body.
  uint64_t RequestDigest();
  /// Ids of the prompt's shared parts, for the log.
  std::string SharedPartsText() const;
  void RetryOnOtherUpstream(Time now, const Outcome& outcome,
                            bool upstream_failed);
  /// True if the deadline, the limit of runs and idempotence permit another
  /// attempt.
  bool IsRunAllowed(Time now, Verdict verdict);
  /// Like IsRunAllowed, within the limit of attempts.
  bool IsRetryAllowed(Time now, Verdict verdict);
  /// True if a started stream may wait for an upstream that resumes it.
  bool CanResumeLater(Time now, Verdict verdict);
  /// True if another upstream, or a peer, can take the request now.
  bool HasAlternative(Time now);
  /// Like IsRetryAllowed, and reserves the retry in the retry budget.
  bool TryReserveRetry(Time now, Verdict verdict);
  /// Ends the request after its last attempt: truncates a started response,
  /// refuses a request that certainly did not run, and otherwise responds 502.
  void FailRequest(const Outcome& outcome);
  /// Responds 503 and tells the client when to retry.  The request did not run.
  void Refuse(const std::string& reason, std::optional<Duration> retry_after);
  /// Responds 503 to a request that has not run and never can.
  void RefuseForGood(const std::string& reason);
  void OnDeadline();
  void OnProcessEnding();
  /// True if an attempt that begins now ends before this gateway's stop does,
  /// or continues a response that has begun.  `done` of the time that such
  /// requests take is behind it.
  bool FitsStop(Time now, Duration done = {}) const;
  /// Refuses or fails a request, unless its response has begun, for which an
  /// attempt that begins now would be cut by this gateway's stop.
  bool EndIfStopping(Time now, Duration done = {});
  /// Refuses a request that another gateway may serve.
  void RefuseForStop(const char* reason);
  /// Ends a request that its upstream has not answered in time.
  void EndUnanswered(const std::string& reason);
  /// Moves an idempotent request whose upstream makes no progress to another
  /// upstream.  A stream is moved only once its upstream is known to work or to
  /// be gone.
  void OnStallTimeout();
  /// True if the present attempt must not be repeated while it may go on.
  bool MustNotOverlap() const {
    return is_stream() && !placement_->prefill_only;
  }
  /// Checks whether the upstream of a stalled stream responds; false if it
  /// cannot be checked.
  bool ProbeStalledUpstream();
  /// Checks again after kProgressTime.
  void ProbeLater();
  void OnStalledUpstreamProbed(ProbeResult result);
  /// True if the upstream's host acknowledges the connection of the attempt.
  bool IsAcknowledged() const;
  /// Cancels a stalled attempt and sends the request to another upstream, if
  /// that is permitted.
  void MoveStalledRequest();
  void OnClientDisconnected();
  void ArmStallTimer();
  /// Ends the load accounting of the present attempt.
  void EndDispatch();
  /// Tells the prefill engine that its KV cache will not be fetched.
  void ReleaseKvHandle();
  /// Stops all timers and gives up the exchange.
  void Detach();
  /// Detaches, then logs and counts the result.
  void Finish(const char* result, int status, const std::string& reason);

  RelayContext& context_;
  std::shared_ptr<InboundExchange> exchange_;
  const RouteSpec route_;
  const ServicePoolSpec service_;
  const ClientRequest request_;
  const uint64_t config_version_;
  const bool from_peer_;
  const bool is_counted_;
  // Once a stream has begun, only the version that began it is permitted.
  VersionConstraint versions_;
  // Breaks ties between upstreams that are predicted to be equally fast.
  const uint64_t seed_;
  Time deadline_{};
  // When the response, or a stream's first event, is due by the objective.
  Time objective_deadline_{};

  // Upstreams that failed or refused this request.
  std::set<UpstreamId> excluded_;
  // Attempts; prefill and decode together count as one.
  int sends_ = 0;
  // All calls of these attempts, for the retry budget.
  RequestArrivals arrivals_;
  // Permits for rate-limited upstreams that were denied.
  int denied_permits_ = 0;
  // Attempts in which the request may have run.
  int possible_runs_ = 0;
  bool finished_ = false;
  // Searches for an upstream that resumes the stream, since the last event.
  int resume_searches_ = 0;
  // Prefill and decode have to run on the same engine.
  bool single_engine_only_ = false;

  // State of the present attempt.
  std::shared_ptr<UpstreamCall> call_;
  UpstreamConnectionInfo connection_;
  std::optional<Placement> placement_;
  DispatchId dispatch_ = 0;
  Time sent_at_{};
  bool first_output_seen_ = false;
  // Complete events of the present attempt.
  int events_received_ = 0;
  // False if the request certainly did not reach the upstream.
  bool reached_upstream_ = true;
  Time first_output_at_{};
  std::optional<Time> last_event_at_;
  Duration longest_event_gap_{};
  // The response is an event stream that goes to the client.
  bool forwarding_events_ = false;
  // Head of the upstream's response; empty until it arrives.
  std::optional<ResponseHead> response_;
  UpstreamResponseInfo response_info_;
  // Body bytes that were received and not forwarded.
  std::string buffered_;
  EventSplitter event_splitter_;
  HeldAnswer held_;
  // KV cache that the prefill engine holds for this request.
  std::optional<KvHandle> kv_handle_;

  // The trial that this request is, after a quarantine; 0 if it is none.
  TrialId trial_ = 0;

  // Computed when it is needed.
  std::optional<uint64_t> request_digest_;
  // Id of the last event sent to the client.
  std::optional<uint64_t> last_event_id_;
  EventHandle deadline_timer_;
  EventHandle stall_timer_;
  EventHandle placement_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RELAY_TASK_H_
