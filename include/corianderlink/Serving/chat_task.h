// One model request from admission to the end of its answer.
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
struct ChatEnd {
  /// kRan exactly if the whole answer was delivered.
  Outcome outcome;
  int status = 200;
  std::string title;
  std::optional<Duration> retry_after;
};

/// Where the answer goes.
struct ChatCallbacks {
  /// One event of the answer in order: the marker for what follows it, and the
  /// engine's JSON.
  std::function<void(const std::string& marker, const std::string& data)>
      on_event;
  /// Called exactly once, last.
  std::function<void(const ChatEnd&)> on_end;
};

/// Runs attempts on engines one after another.  Generation is idempotent, so a
/// failed attempt is continued elsewhere behind what was delivered.
class ChatTask : public std::enable_shared_from_this<ChatTask> {
 public:
  struct Options {
    RequestId id;
    AccountId account;
    double account_weight = 1;
    ChatRequest request;
    /// The answer is wanted from here on.
    uint64_t start_offset = 0;
    /// Stream to continue, if the caller showed a marker.
    std::optional<ResumeMarker> resume;
    Time arrived{};
    /// By when an engine must have been found.
    Time deadline{};
  };

  ChatTask(ChatScheduler& scheduler, Options options, ChatCallbacks callbacks);

  /// Enters the queue, or resumes first if there is a marker.
  void Start();
  /// Sends the request to the chosen engine.  Called by the scheduler.
  void Dispatch(const RouteChoice& choice);
  /// Ends the request before it was dispatched.
  void Refuse(int status, const std::string& title, const std::string& reason,
              std::optional<Duration> retry_after);
  /// The caller left: stops everything without further callbacks.
  void Cancel();
  /// Frees the engine's slot for an urgent request and queues up again.
  void Park();
  /// Continues on another engine, taking the KV cache along, since the present
  /// one will be taken away.  Does nothing if no other engine has room.
  void MoveAway();

  const RequestId& id() const { return options_.id; }
  const ChatRequest& request() const { return options_.request; }
  PendingRequest Pending() const;
  const RouteQuery& query() const { return query_; }
  bool running() const { return attempt_.call != nullptr; }
  const EngineId& engine() const { return attempt_.choice.engine; }
  /// Offset of the next token to deliver.
  uint64_t delivered() const { return assembler_.next_offset(); }
  bool ended() const { return ended_; }
  bool has_token() const { return had_first_token_; }

 private:
  /// The attempt in progress.
  struct Attempt {
    AttemptNumber number = 0;
    RouteChoice choice;
    std::shared_ptr<HttpCall> call;
    SseParser parser;
    bool first_token = false;
    bool saw_done = false;
    Address kv_source;
  };

  void Move(bool to_decode);
  void Resume(const ResumeMarker& marker);
  void StartAttempt(const RouteChoice& choice, const HttpRequest& request);
  HttpRequest BuildRequest(const RouteChoice& choice) const;
  void OnBytes(AttemptNumber number, std::string bytes);
  void OnEvent(const SseEvent& event);
  void OnToken(const std::string& data);
  void OnAttemptDone(AttemptNumber number, const HttpResponse& response);
  void RetryOrFail(const Outcome& outcome, bool engine_to_blame);
  void ReleaseEngine(bool failed);
  void CancelOnEngine(const Address& engine);
  void ArmIdleTimer();
  void Requeue();
  void Finish(const ChatEnd& end);
  std::string DeliveredText() const;

  ChatScheduler& scheduler_;
  Options options_;
  ChatCallbacks callbacks_;
  RouteQuery query_;
  ResponseAssembler assembler_;
  Attempt attempt_;
  EventHandle idle_timer_;
  // What was delivered, for a continuation on another engine: text, and behind
  // it events that were not reduced to text yet.
  std::string delivered_text_;
  std::string delivered_events_;
  std::string last_data_;
  AttemptHistory history_;
  int attempts_ = 0;
  bool had_first_token_ = false;
  Time last_token_{};
  bool ended_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CHAT_TASK_H_
