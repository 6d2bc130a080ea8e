// Carries one request of a client to an upstream and the answer back.
#ifndef CORIANDERLINK_GATEWAY_RELAY_TASK_H_
#define CORIANDERLINK_GATEWAY_RELAY_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "corianderlink/Gateway/event_splitter.h"
#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/placer.h"
#include "corianderlink/Gateway/relay_codec.h"
#include "corianderlink/Http1/inbound_exchange.h"
#include "corianderlink/Http1/upstream_pool.h"
#include "corianderlink/Support/metrics.h"
#include "corianderlink/Support/random.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

/// What all relays of a gateway share.
struct RelayContext {
  EventLoop& loop;
  UpstreamPool& pool;
  Placer& placer;
  const RelayCodec& codec;
  Metrics& metrics;
  RandomSource& random;
  /// Takes one retry out of a service's budget, if there is one.
  std::function<bool(Time, const ServiceId&)> take_retry;
  /// Takes the time that a client waits from now on, and returns how long it
  /// has waited before.
  std::function<Duration(const RouteSpec&, Duration)> waited_before;
};

/// Lives from the arrival of a request to the end of its answer.  A request
/// that may not be repeated is sent again only after an upstream's promise, or
/// certain knowledge, that it did not run.
class RelayTask : public std::enable_shared_from_this<RelayTask> {
 public:
  RelayTask(RelayContext& context, std::shared_ptr<InboundExchange> exchange,
            RouteSpec route, ServicePoolSpec service, ClientRequest request,
            uint64_t config_version);

  void Start();

 private:
  bool is_stream() const { return route_.kind == RouteKind::kStream; }
  bool is_model_request() const {
    return service_.engine.has_value() && request_.prompt.has_value();
  }
  double DeadlineLeftMs(Time now) const;
  PlacementQuery Query(Time now) const;

  PlacementResult Choose(Time now) const;
  void ChooseAndSend();
  void AwaitResumption();
  void SendTo(const Placement& placement);
  void SendGeneration();
  UpstreamRequest BuildRequest(Time now, const Placement& placement) const;
  UpstreamHandlers BuildHandlers();

  void OnReplyHead(const ResponseHead& head);
  void OnReplyBody(std::string data);
  void OnReplyEnd();
  void OnReplyFailed(const Outcome& outcome);
  void OnPrefillDone();
  void ForwardEvents();
  void EndStream();
  void AnswerBuffered();
  void NoteComputed();

  /// The present attempt is over without an answer for the client.
  void AttemptFailed(const Outcome& outcome, bool upstream_failed);
  void EndAttempt(Time now, const Outcome& outcome, bool upstream_failed,
                  const char* retry);
  void RetryElsewhere(Time now, const Outcome& outcome, bool upstream_failed);
  bool RetryAllowed(Time now, Verdict verdict) const;
  bool MayRetry(Time now, Verdict verdict);
  void GiveUp(const Outcome& outcome);
  void Refuse(const std::string& reason, std::optional<Duration> retry_after);
  void OnDeadline();
  void OnStall();
  void OnClientLeft();
  void ArmStallTimer();
  void EndDispatch();
  void FreeHandle();
  void Finish(const char* result, int status, const std::string& reason);

  RelayContext& context_;
  std::shared_ptr<InboundExchange> exchange_;
  const RouteSpec route_;
  const ServicePoolSpec service_;
  const ClientRequest request_;
  const uint64_t config_version_;
  // Spreads choices that look alike.
  const uint64_t seed_;
  Time deadline_{};
  Time objective_at_{};

  std::set<UpstreamId> excluded_;
  int sends_ = 0;
  // Sends after which the request may have run.
  int runs_ = 0;
  bool finished_ = false;
  // The prompt is not computed apart from the answer.
  bool whole_only_ = false;

  // The present attempt.
  std::shared_ptr<UpstreamCall> call_;
  std::optional<Placement> placement_;
  DispatchId dispatch_ = 0;
  Time sent_at_{};
  bool computed_ = false;
  // False once it is known that no byte reached the upstream.
  bool arrived_ = true;
  Time computed_at_{};
  bool forwarding_ = false;
  std::optional<ResponseHead> reply_;
  UpstreamReply reply_info_;
  std::string buffered_;
  EventSplitter events_;
  std::optional<PromptHandle> handle_;

  std::optional<uint64_t> last_event_;
  EventHandle deadline_timer_;
  EventHandle stall_timer_;
  EventHandle resume_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RELAY_TASK_H_
