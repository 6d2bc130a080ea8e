// Lifecycle of one model request, from admission to the end of its response.
#ifndef CORIANDERLINK_SERVING_CHAT_TASK_H_
#define CORIANDERLINK_SERVING_CHAT_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_client.h"
#include "corianderlink/Routing/admission_queue.h"
#include "corianderlink/Routing/engine_router.h"
#include "corianderlink/Serving/chat_request.h"
#include "corianderlink/Serving/response_assembler.h"
#include "corianderlink/Serving/resume_marker.h"
#include "corianderlink/Serving/sse_parser.h"
#include "corianderlink/Support/attempt_history.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

class ChatScheduler;

/// How a model request ended.
struct ChatResult {
  /// kRan if and only if the whole response was delivered.
  Outcome outcome;
  int status = 200;
  std::string title;
  std::optional<Duration> retry_after;
};

/// Receivers of the response.
struct ChatCallbacks {
  /// Called for each event of the response, in order, with the marker to resume
  /// after this event and the JSON that the engine sent.
  std::function<void(const std::string& marker, const std::string& data)>
      on_event;
  /// Called exactly once, after the last event, unless the request is
  /// cancelled.
  std::function<void(const ChatResult&)> on_end;
};

/// Runs attempts on engines, one at a time.  Generation is idempotent, so after
/// a failed attempt another engine continues after the last delivered token.
class ChatTask : public std::enable_shared_from_this<ChatTask> {
 public:
  struct Options {
    RequestId id;
    AccountId account;
    double account_weight = 1;
    ChatRequest request;
    /// Offset of the first token to deliver.
    uint64_t start_offset = 0;
    /// Stream to resume, if the client sent a marker.
    std::optional<ResumeMarker> resume;
    Time arrived{};
    /// Latest time to be dispatched to an engine.
    Time deadline{};
  };

  ChatTask(ChatScheduler& scheduler, Options options, ChatCallbacks callbacks);

  /// Resumes the stream if there is a marker; queues the request otherwise.
  void Start();
  /// Sends the request to the chosen engine.  Called by the scheduler.
  void Dispatch(const RouteChoice& choice);
  /// Ends the request with an error while no attempt is running.
  void Refuse(int status, const std::string& title, const std::string& reason,
              std::optional<Duration> retry_after);
  /// Stops the request after the client disconnected; no callback is called.
  void Cancel();
  /// Cancels the running attempt, to free its slot for an urgent request, and
  /// queues the request again.
  void Preempt();
  /// Continues on another engine, because a hold was announced for the present
  /// one.  The new engine fetches the KV cache from it.  Does nothing if no
  /// other engine has capacity.
  void Migrate();

  const RequestId& id() const { return options_.id; }
  const ChatRequest& request() const { return options_.request; }
  PendingRequest Pending() const;
  const RouteQuery& query() const { return query_; }
  bool running() const { return attempt_.call != nullptr; }
  const EngineId& engine() const { return attempt_.choice.engine; }
  /// Offset of the next token to deliver.
  uint64_t delivered_tokens() const { return assembler_.next_offset(); }
  bool ended() const { return ended_; }
  bool has_first_token() const { return delivered_first_token_; }

 private:
  /// The attempt in progress.
  struct Attempt {
    AttemptNumber number = 0;
    RouteChoice choice;
    std::shared_ptr<HttpCall> call;
    SseParser parser;
    bool first_token = false;
    bool received_done = false;
    /// Engine that still has the KV cache of a migrated stream; unset after the
    /// first token.
    Address kv_source;
  };

  /// Does nothing if no other engine has capacity, or if `to_decode` is set and
  /// the best one is a prefill engine.
  void MigrateStream(bool to_decode);
  void Resume(const ResumeMarker& marker);
  void StartAttempt(const RouteChoice& choice, const HttpRequest& request);
  HttpRequest BuildRequest(const RouteChoice& choice) const;
  void OnBytes(AttemptNumber number, std::string bytes);
  void OnEvent(const SseEvent& event);
  void OnToken(const std::string& data);
  void OnAttemptDone(AttemptNumber number, const HttpResponse& response);
  /// `engine_failed` is false if the engine rejected the request before
  /// starting it.
  void RetryOrFail(const Outcome& outcome, bool engine_failed);
  /// Waits for the retry budget if the stream has started.
  void RetryWithinBudget(const Outcome& outcome);
  void RequeueLater();
  /// True if a refusal is no reason to end the request: the client already has
  /// a part of the response.
  bool CanWait(Time now) const;
  void Fail(const Outcome& outcome);
  void ReleaseEngine(bool failed);
  void CancelOnEngine(const Address& engine);
  void ArmIdleTimer();
  void Requeue();
  void Finish(const ChatResult& result);
  std::string DeliveredText() const;

  ChatScheduler& scheduler_;
  Options options_;
  ChatCallbacks callbacks_;
  RouteQuery query_;
  ResponseAssembler assembler_;
  Attempt attempt_;
  EventHandle idle_timer_;
  // The delivered part of the response, to continue it on another engine: text,
  // followed by the events that were not yet reduced to text, one a line.
  std::string delivered_text_;
  std::string unparsed_events_;
  std::string final_event_;
  AttemptHistory history_;
  int attempts_ = 0;
  int failures_ = 0;
  // Since the last token.
  int rejections_ = 0;
  bool delivered_first_token_ = false;
  // Last token or start of an attempt.
  Time last_token_{};
  Time last_delivery_{};
  bool ended_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CHAT_TASK_H_
