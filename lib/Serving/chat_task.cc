// Lifecycle of one model request, from admission to the end of its response.
#include "corianderlink/Serving/chat_task.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "corianderlink/Serving/chat_scheduler.h"
#include "corianderlink/Serving/engine_events.h"
#include "corianderlink/Support/log.h"
#include "corianderlink/Support/prompt_pieces.h"

namespace corianderlink {
namespace {

// Maximum number of failed attempts of one request, and of attempts that
// engines rejected before it started.
constexpr int kMaxFailures = 8;
constexpr int kMaxRejections = 8;
// Timeout for the first token, after which the engine counts as failed, as a
// multiple of the idle timeout between tokens.
constexpr int kFirstTokenIdleFactor = 6;
constexpr milliseconds kRequeueDelay{50};
// Time for which a request waits for another engine than those that failed it.
constexpr seconds kExclusionTime{1};
// Delay of a started stream after kMaxRejections in a row.
constexpr milliseconds kLongRequeueDelay{500};
// Maximum time that a started stream waits without a token while it is refused.
constexpr std::chrono::minutes kMaxRefusedTime{10};
constexpr seconds kMaxAttemptDuration{3600};
constexpr seconds kCancelTimeout{2};
// Delivered events are buffered unparsed up to this size and then reduced to
// their text, which is much smaller.
constexpr size_t kMaxUnparsedEventBytes = 128 * 1024;
constexpr char kDoneEvent[] = "[DONE]";

// Status codes that mean, by the engine API, that the request was not started.
bool IsRejectionStatus(int status) {
  return status == 404 || status == 409 || status == 416 || status == 429 ||
         status == 503;
}

bool HasFinishReason(const std::string& data) {
  return data.find("\"finish_reason\":null") == std::string::npos;
}

}  // namespace

ChatTask::ChatTask(ChatScheduler& scheduler, Options options,
                   ChatCallbacks callbacks)
    : scheduler_(scheduler),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      assembler_(options_.start_offset) {
  const ChatRequest& request = options_.request;
  query_.model = request.model;
  query_.adapter = request.adapter;
  query_.cls = request.cls;
  query_.prompt_tokens = EstimateTokens(request.prompt);
  query_.max_tokens = request.max_tokens;
  query_.pieces = PieceHashes(request.model.value(), request.prompt);
}

PendingRequest ChatTask::Pending() const {
  PendingRequest pending;
  pending.id = options_.id;
  pending.account = options_.account;
  pending.account_weight = options_.account_weight;
  pending.model = options_.request.model;
  pending.cls = options_.request.cls;
  pending.deadline = options_.deadline;
  pending.cost_tokens =
      static_cast<double>(query_.prompt_tokens + options_.request.max_tokens);
  return pending;
}

void ChatTask::Start() {
  if (options_.resume) return Resume(*options_.resume);
  Requeue();
}

void ChatTask::Requeue() {
  const bool first_time = attempts_ == 0;
  const auto refusal = scheduler_.Enqueue(shared_from_this(), first_time);
  if (refusal && CanWait(BootClock::now())) return RequeueLater();
  if (refusal) {
    return Refuse(429, "Too many requests", refusal->reason,
                  refusal->retry_after);
  }
  if (query_.excluded.empty()) return;
  // An engine that was silent or failed may work again, and be the only one.
  idle_timer_ = scheduler_.node().loop().After(kExclusionTime, [this] {
    query_.excluded.clear();
    scheduler_.ScheduleDispatch();
  });
}

void ChatTask::Resume(const ResumeMarker& marker) {
  const EngineSpec* spec = scheduler_.router().FindEngine(marker.engine);
  if (spec == nullptr) return Requeue();
  HttpRequest request;
  request.address = spec->address;
  request.method = "POST";
  request.target = "/v1/requests/" + marker.request.value() +
                   "/resume?offset=" + std::to_string(marker.next_offset);
  request.timeout = kMaxAttemptDuration;
  RouteChoice choice;
  choice.engine = marker.engine;
  choice.address = spec->address;
  scheduler_.node().metrics().Add("resumes_total");
  StartAttempt(choice, request);
}

void ChatTask::Dispatch(const RouteChoice& choice) {
  StartAttempt(choice, BuildRequest(choice));
}

HttpRequest ChatTask::BuildRequest(const RouteChoice& choice) const {
  Json body = options_.request.body;
  body["stream"] = true;
  body["request_id"] = options_.id.value();
  body["priority"] = ToString(options_.request.cls);
  body["max_tokens"] = options_.request.max_tokens;
  const uint64_t offset = assembler_.next_offset();
  if (offset > 0) {
    body["continue_at"] = offset;
    // After a resume, this entry does not have the text before the offset; only
    // the client does.
    if (options_.start_offset == 0) body["continue_text"] = DeliveredText();
  }
  const bool migrated = attempt_.kv_source.port != 0;
  if (migrated) body["kv_source"] = attempt_.kv_source.ToString();
  HttpRequest request;
  request.address = choice.address;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = {{"Content-Type", "application/json"},
                     {"X-Request-Id", options_.id.value()}};
  request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  request.timeout = kMaxAttemptDuration;
  return request;
}

// Returns the text of all delivered events.  Parses the buffered events, which
// is needed only to continue on another engine and when the buffer is full.
std::string ChatTask::DeliveredText() const {
  std::string text = delivered_text_;
  size_t at = 0;
  while (at < unparsed_events_.size()) {
    const size_t end = unparsed_events_.find('\n', at);
    text += EventText(ParseJson(unparsed_events_.substr(at, end - at)));
    at = end == std::string::npos ? unparsed_events_.size() : end + 1;
  }
  return text;
}

void ChatTask::StartAttempt(const RouteChoice& choice,
                            const HttpRequest& request) {
  ++attempts_;
  const Time now = BootClock::now();
  const Address kv_source = attempt_.kv_source;
  attempt_ = Attempt{};
  attempt_.kv_source = kv_source;
  attempt_.number = assembler_.StartAttempt();
  attempt_.choice = choice;
  scheduler_.router().OnDispatch(now, choice, query_);
  const auto self = shared_from_this();
  const AttemptNumber number = attempt_.number;
  attempt_.call = scheduler_.node().client().Start(
      request,
      [self, number](const HttpResponse& response) {
        self->OnAttemptDone(number, response);
      },
      [self, number](int, std::string bytes) {
        self->OnBytes(number, std::move(bytes));
      });
  last_token_ = now;
  ArmIdleTimer();
}

// Checks `last_token_` on expiry and re-arms itself, so that receiving a
// token needs no timer operation.
void ChatTask::ArmIdleTimer() {
  const Duration idle = scheduler_.node().settings().requests.stream_idle;
  const Duration limit =
      attempt_.first_token ? idle : idle * kFirstTokenIdleFactor;
  const Duration left = last_token_ + limit - BootClock::now();
  idle_timer_ = scheduler_.node().loop().After(
      std::max<Duration>(left, milliseconds(1)), [this] {
        const auto keep_alive = shared_from_this();
        const Duration idle_now =
            scheduler_.node().settings().requests.stream_idle;
        const Duration limit_now =
            attempt_.first_token ? idle_now : idle_now * kFirstTokenIdleFactor;
        if (BootClock::now() - last_token_ < limit_now) return ArmIdleTimer();
        CancelOnEngine(attempt_.choice.address);
        ReleaseEngine(/*failed=*/true);
        RetryOrFail(Outcome::MayHaveRun("engine sent nothing for too long"),
                    /*engine_failed=*/true);
      });
}

void ChatTask::OnBytes(AttemptNumber number, std::string bytes) {
  if (ended_ || number != attempt_.number) return;
  const auto keep_alive = shared_from_this();
  if (!attempt_.parser.Feed(bytes)) {
    CancelOnEngine(attempt_.choice.address);
    ReleaseEngine(/*failed=*/true);
    return RetryOrFail(Outcome::MayHaveRun("engine sent an oversized event"),
                       /*engine_failed=*/true);
  }
  while (auto event = attempt_.parser.Next()) {
    OnEvent(*event);
    if (ended_ || number != attempt_.number || !attempt_.call) return;
  }
}

void ChatTask::OnEvent(const SseEvent& event) {
  if (event.data == kDoneEvent) {
    attempt_.received_done = true;
    return;
  }
  if (event.id.empty()) {
    // An event without an id carries no token; it is the final one, with the
    // finish reason.
    final_event_ = event.data;
    assembler_.OnEnd(attempt_.number, assembler_.next_offset());
    return;
  }
  const uint64_t offset = std::strtoull(event.id.c_str(), nullptr, 10);
  const std::vector<std::string> ready =
      assembler_.OnChunk(attempt_.number, offset, event.data);
  const bool first = !ready.empty() && !attempt_.first_token;
  for (const std::string& data : ready) OnToken(data);
  const bool prefilled =
      first && scheduler_.router().RoleOf(attempt_.choice.engine) ==
                   EngineRole::kPrefill;
  // After its first token, a stream on a prefill engine moves to an engine of
  // another role, which fetches the KV cache.
  if (prefilled) MigrateStream(/*to_decode=*/true);
}

void ChatTask::Migrate() { MigrateStream(/*to_decode=*/false); }

void ChatTask::OnToken(const std::string& data) {
  const Time now = BootClock::now();
  Metrics& metrics = scheduler_.node().metrics();
  if (!attempt_.first_token) {
    attempt_.first_token = true;
    scheduler_.router().OnFirstToken(now, attempt_.choice.engine,
                                     attempt_.choice.uncached_tokens);
    if (attempt_.kv_source.port != 0) CancelOnEngine(attempt_.kv_source);
    attempt_.kv_source = {};
  }
  if (!delivered_first_token_) {
    delivered_first_token_ = true;
    history_.Add(Verdict::kMayHaveRun);
    metrics.Record(
        std::string("first_token_seconds_") + ToString(options_.request.cls),
        ToSeconds(now - options_.arrived));
  }
  query_.phase = RoutePhase::kContinue;
  last_token_ = now;
  last_delivery_ = now;
  rejections_ = 0;
  unparsed_events_ += data;
  unparsed_events_ += '\n';
  if (unparsed_events_.size() > kMaxUnparsedEventBytes) {
    delivered_text_ = DeliveredText();
    unparsed_events_.clear();
  }
  const ResumeMarker marker{attempt_.choice.engine, options_.id,
                            assembler_.next_offset()};
  callbacks_.on_event(EncodeResumeMarker(marker), data);
}

void ChatTask::OnAttemptDone(AttemptNumber number,
                             const HttpResponse& response) {
  if (ended_ || number != attempt_.number) return;
  const auto keep_alive = shared_from_this();
  if (response.ok() && attempt_.received_done && assembler_.complete()) {
    ReleaseEngine(/*failed=*/false);
    scheduler_.retry_budget().OnSuccess();
    if (!final_event_.empty() && HasFinishReason(final_event_)) {
      const ResumeMarker marker{attempt_.choice.engine, options_.id,
                                assembler_.next_offset()};
      callbacks_.on_event(EncodeResumeMarker(marker), final_event_);
    }
    return Finish({Outcome::Ran(), 200, "", std::nullopt});
  }
  if (response.outcome.ran() && IsRejectionStatus(response.status)) {
    ReleaseEngine(/*failed=*/false);
    const std::string reason =
        "engine refused with status " + std::to_string(response.status);
    return RetryOrFail(Outcome::NotRun(reason), /*engine_failed=*/false);
  }
  if (response.outcome.ran() && response.status >= 400) {
    ReleaseEngine(/*failed=*/false);
    const std::string reason = "engine answered: " + response.body;
    ChatResult result;
    result.outcome = history_.CombinedOutcome(
        response.status < 500 ? Outcome::NotRun(reason)
                              : Outcome::MayHaveRun(reason));
    result.status = response.status < 500 ? response.status : 502;
    result.title = "Engine refused the request";
    return Finish(result);
  }
  ReleaseEngine(/*failed=*/true);
  const std::string reason = response.outcome.ran()
                                 ? "answer ended without its end mark"
                                 : response.outcome.reason;
  RetryOrFail(
      {response.outcome.verdict == Verdict::kNotRun ? Verdict::kNotRun
                                                    : Verdict::kMayHaveRun,
       reason},
      /*engine_failed=*/true);
}

void ChatTask::RetryOrFail(const Outcome& outcome, bool engine_failed) {
  Log(LogLevel::kInfo, "attempt_failed",
      {{"request", options_.id.value()},
       {"engine", attempt_.choice.engine.value()},
       {"verdict", ToString(outcome.verdict)},
       {"reason", outcome.reason},
       {"offset", assembler_.next_offset()}});
  history_.Add(outcome.verdict);
  query_.excluded.insert(attempt_.choice.address);
  if (engine_failed) {
    if (++failures_ >= kMaxFailures) return Fail(outcome);
    return RetryWithinBudget(outcome);
  }
  // A rejected request costs the engine almost nothing, so retrying it does not
  // count against the retry budget.
  ++rejections_;
  if (rejections_ >= kMaxRejections && !CanWait(BootClock::now())) {
    return Fail(outcome);
  }
  query_.excluded.clear();
  RequeueLater();
}

void ChatTask::RetryWithinBudget(const Outcome& outcome) {
  if (scheduler_.retry_budget().TryRetry()) return RequeueLater();
  if (!CanWait(BootClock::now())) return Fail(outcome);
  idle_timer_ = scheduler_.node().loop().After(
      kLongRequeueDelay, [this, outcome] { RetryWithinBudget(outcome); });
}

void ChatTask::RequeueLater() {
  scheduler_.node().metrics().Add("retries_total");
  const milliseconds delay =
      rejections_ < kMaxRejections ? kRequeueDelay : kLongRequeueDelay;
  idle_timer_ = scheduler_.node().loop().After(delay, [this] { Requeue(); });
}

bool ChatTask::CanWait(Time now) const {
  return delivered_first_token_ && now - last_delivery_ < kMaxRefusedTime;
}

void ChatTask::Fail(const Outcome& outcome) {
  ChatResult result;
  result.outcome = history_.CombinedOutcome(outcome);
  result.status = 502;
  result.title = "Upstream failed";
  result.retry_after = seconds(1);
  Finish(result);
}

void ChatTask::ReleaseEngine(bool failed) {
  if (attempt_.call == nullptr) return;
  attempt_.call->Cancel();
  attempt_.call = nullptr;
  idle_timer_.Reset();
  scheduler_.router().OnEnd(BootClock::now(), attempt_.choice.engine,
                            attempt_.choice.uncached_tokens,
                            attempt_.first_token, failed);
  scheduler_.ScheduleDispatch();
}

void ChatTask::CancelOnEngine(const Address& engine) {
  HttpRequest request;
  request.address = engine;
  request.method = "POST";
  request.target = "/v1/requests/" + options_.id.value() + "/cancel";
  request.timeout = kCancelTimeout;
  scheduler_.node().client().Start(request, nullptr);
}

void ChatTask::Refuse(int status, const std::string& title,
                      const std::string& reason,
                      std::optional<Duration> retry_after) {
  Finish({history_.CombinedOutcome(Outcome::NotRun(reason)), status, title,
          retry_after});
}

void ChatTask::Cancel() {
  if (ended_) return;
  callbacks_ = {};
  if (running()) {
    CancelOnEngine(attempt_.choice.address);
    ReleaseEngine(/*failed=*/false);
  }
  scheduler_.node().metrics().Add("cancelled_total");
  Finish({Outcome::MayHaveRun("caller left"), 499, "", std::nullopt});
}

void ChatTask::Preempt() {
  assert(running());
  scheduler_.node().metrics().Add("parked_total");
  if (attempt_.call->bytes_sent()) history_.Add(Verdict::kMayHaveRun);
  CancelOnEngine(attempt_.choice.address);
  ReleaseEngine(/*failed=*/false);
  Requeue();
}

void ChatTask::MigrateStream(bool to_decode) {
  if (!running()) return;
  EngineRouter& router = scheduler_.router();
  RouteQuery query = query_;
  query.excluded.insert(attempt_.choice.address);
  const auto choice = router.Choose(BootClock::now(), query);
  if (!choice) return;
  if (to_decode && router.RoleOf(choice->engine) == EngineRole::kPrefill) {
    return;
  }
  scheduler_.node().metrics().Add("moved_total");
  Log(LogLevel::kInfo, "stream_moved",
      {{"request", options_.id.value()},
       {"from", attempt_.choice.engine.value()},
       {"to", choice->engine.value()},
       {"offset", assembler_.next_offset()}});
  const Address source = attempt_.choice.address;
  if (attempt_.call->bytes_sent()) history_.Add(Verdict::kMayHaveRun);
  ReleaseEngine(/*failed=*/false);
  attempt_.kv_source = source;
  Dispatch(*choice);
}

void ChatTask::Finish(const ChatResult& result) {
  if (ended_) return;
  ended_ = true;
  const auto keep_alive = shared_from_this();
  idle_timer_.Reset();
  if (attempt_.call != nullptr) ReleaseEngine(/*failed=*/false);
  scheduler_.OnTaskEnded(keep_alive);
  if (callbacks_.on_end) callbacks_.on_end(result);
  callbacks_ = {};
}

}  // namespace corianderlink
