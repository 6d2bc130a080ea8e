// The entry process: HTTP API for clients.
#include "corianderlink/Serving/entry_server.h"

#include <algorithm>
#include <utility>

#include "chat_reply.h"
#include "corianderlink/Authority/engine_report.h"
#include "corianderlink/Membership/entry_directory.h"
#include "corianderlink/Serving/engine_events.h"
#include "corianderlink/Support/json_reader.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Added to the time for which clients may cache a directory response.
constexpr seconds kDirectoryCacheMargin{1};
constexpr milliseconds kStopPollInterval{100};
// Maximum time for which a stop waits for clients to read their answers and to
// send the rest of their requests.
constexpr seconds kMaxClientTime{30};
constexpr milliseconds kCacheEventPollInterval{500};

HttpServerLimits MakeHttpServerLimits(const NodeSettings& settings) {
  HttpServerLimits limits;
  limits.max_header_bytes =
      static_cast<size_t>(settings.limits.max_header_bytes);
  limits.max_body_bytes = static_cast<size_t>(settings.limits.max_body_bytes);
  return limits;
}

Duration DefaultDeadline(const RequestSettings& settings, PriorityClass cls) {
  switch (cls) {
    case PriorityClass::kUrgent:
      return settings.urgent_deadline;
    case PriorityClass::kChat:
      return settings.chat_deadline;
    case PriorityClass::kBulk:
      return settings.bulk_deadline;
  }
  return settings.chat_deadline;
}

}  // namespace

EntryServer::EntryServer(Node& node)
    : node_(node),
      problems_(node.metrics()),
      scheduler_(node),
      dispatcher_(node),
      jobs_(node, scheduler_),
      job_api_(node, scheduler_, jobs_, problems_),
      service_api_(node, dispatcher_, problems_),
      report_poller_(node.loop(), node.client(),
                     node.settings().timing.engine_poll,
                     [this](const Address& engine, Time requested_at,
                            const std::string& body) {
                       OnEngineReport(engine, requested_at, body);
                     }),
      cache_event_poller_(
          node.loop(), node.client(), kCacheEventPollInterval,
          [this](const Address& engine, Time, const std::string& body) {
            OnCacheEvents(engine, body);
          }),
      server_(
          node.loop(), MakeHttpServerLimits(node.settings()),
          [this](Exchange e) { OnRequest(e); }, node.client_connections()) {
  node_.signal_state_changed.connect(
      sigc::mem_fun(*this, &EntryServer::OnRelease));
  node_.signal_heartbeat.connect(
      [this](const ProcessId& peer, const wire::Heartbeat& heartbeat) {
        scheduler_.OnPeerHeartbeat(peer, heartbeat);
      });
  node_.fill_heartbeat = [this](wire::Heartbeat& heartbeat) {
    scheduler_.FillHeartbeat(heartbeat);
  };
  node_.fill_dump = [this](Json& dump) {
    scheduler_.FillDump(dump);
    dump["jobs_running"] = jobs_.running();
    dump["service_calls"] = dispatcher_.in_flight();
    dump["claims_remembered"] = dispatcher_.ledger().size();
  };
  node_.handle_admin = [this](const Exchange& e) { return OnAdmin(e); };
}

bool EntryServer::Start() {
  return server_.Listen(node_.settings().entry.listen);
}

void EntryServer::OnRelease() {
  std::map<Address, std::string> state_targets;
  std::map<Address, std::string> event_targets;
  engine_by_address_.clear();
  for (const auto& [id, spec] : node_.state().items.engines) {
    engine_by_address_[spec.address] = id;
    state_targets[spec.address] = "/v1/state";
    event_targets[spec.address] = "/v1/cache_events?after=0";
  }
  scheduler_.OnRelease();
  report_poller_.SetTargets(std::move(state_targets));
  cache_event_poller_.SetTargets(std::move(event_targets));
}

void EntryServer::OnEngineReport(const Address& engine, Time requested_at,
                                 const std::string& body) {
  const auto it = engine_by_address_.find(engine);
  if (it == engine_by_address_.end()) return;
  std::string reason;
  const auto report = ParseEngineReport(body, reason);
  if (!report) {
    Log(LogLevel::kWarning, "engine_report_refused",
        {{"engine", it->second.value()}, {"reason", reason}});
    return;
  }
  scheduler_.router().OnReport(requested_at, it->second, *report);
  scheduler_.ScheduleDispatch();
}

void EntryServer::OnCacheEvents(const Address& engine,
                                const std::string& body) {
  const auto it = engine_by_address_.find(engine);
  if (it == engine_by_address_.end()) return;
  const Time now = BootClock::now();
  for (const CacheEvent& event : ParseCacheEvents(body)) {
    scheduler_.router().OnCacheEvent(now, it->second, event);
  }
  const PrefixIndex* index = scheduler_.router().FindPrefixIndex(it->second);
  if (index == nullptr) return;
  cache_event_poller_.SetTarget(
      engine,
      "/v1/cache_events?after=" + std::to_string(index->last_sequence()));
}

std::optional<ClientAccount> EntryServer::Admit(const Exchange& exchange) {
  if (stop_began_ != Time{} && HasAddressExpired(BootClock::now())) {
    problems_.Reply(*exchange, 503, "Stopping",
                    Outcome::NotRun("this entry stops; use another entry"),
                    Duration::zero());
    return std::nullopt;
  }
  if (!node_.MayServe(BootClock::now())) {
    problems_.Reply(
        *exchange, 503, "Not in touch",
        Outcome::NotRun("this entry is cut off from its peers and the table "
                        "service; use another entry"),
        seconds(2));
    return std::nullopt;
  }
  auto account = FindAccount(node_.state().items.accounts,
                             exchange->Header("Authorization"));
  if (!account) {
    problems_.Reply(*exchange, 401, "Unauthorized",
                    Outcome::NotRun("wrong or missing account key"));
  }
  return account;
}

void EntryServer::OnRequest(const Exchange& exchange) {
  const std::string& path = exchange->path();
  node_.metrics().Add("requests_total");
  if (path == "/v1/entries") return OnEntries(exchange);
  if (path == "/health") return exchange->Reply(200, "text/plain", "ok\n");
  const auto account = Admit(exchange);
  if (!account) return;
  if (path == "/v1/models") return OnModels(exchange);
  if (path == "/v1/chat/completions" && exchange->method() == "POST") {
    return OnChat(exchange, *account);
  }
  if (path == "/v1/jobs" || path.rfind("/v1/jobs/", 0) == 0) {
    return job_api_.OnRequest(exchange, *account);
  }
  if (path.rfind("/v1/services/", 0) == 0) {
    return service_api_.OnRequest(exchange, *account);
  }
  problems_.Reply(*exchange, 404, "Not found",
                  Outcome::NotRun("no such path or method"));
}

void EntryServer::OnEntries(const Exchange& exchange) {
  const Time now = BootClock::now();
  const LocalEntry self{node_.settings().entry.listen.ToString(),
                        node_.settings().zone.value(), node_.leaving(),
                        static_cast<uint32_t>(scheduler_.in_flight())};
  Json entries = Json::array();
  for (const DirectoryEntry& entry : ListEntries(now, node_.peers(), self)) {
    entries.push_back({{"address", entry.address},
                       {"zone", entry.zone},
                       {"weight", entry.weight}});
  }
  const auto keep_s = std::chrono::duration_cast<seconds>(
                          node_.settings().timing.directory_keep)
                          .count();
  exchange->Reply(200, "application/json",
                  Json{{"entries", entries}, {"keep_s", keep_s}}.dump(),
                  {{"Cache-Control", "max-age=" + std::to_string(keep_s)}});
}

void EntryServer::OnModels(const Exchange& exchange) {
  Json models = Json::array();
  for (const auto& [id, spec] : node_.state().items.models) {
    models.push_back({{"id", id.value()},
                      {"object", "model"},
                      {"created", 0},
                      {"owned_by", node_.settings().deployment}});
  }
  exchange->Reply(200, "application/json",
                  Json{{"object", "list"}, {"data", models}}.dump());
}

void EntryServer::OnChat(const Exchange& exchange,
                         const ClientAccount& account) {
  std::vector<JsonError> errors;
  auto request = ParseChatRequest(exchange->body(), errors);
  if (!request) {
    return problems_.Reply(*exchange, 400, "Invalid request",
                           Outcome::NotRun(JoinErrors(errors)));
  }
  if (!scheduler_.router().Serves(request->model, request->adapter)) {
    return problems_.Reply(
        *exchange, 404, "Unknown model",
        Outcome::NotRun("no engine carries this model and adapter"));
  }
  const bool over_limit = scheduler_.InFlightOf(account.id) >=
                          static_cast<size_t>(account.spec.max_in_flight);
  if (over_limit) {
    return problems_.Reply(*exchange, 429, "Account limit",
                           Outcome::NotRun("too many requests of this account"),
                           seconds(1) + FromSeconds(node_.random().Uniform()));
  }
  ChatTask::Options options =
      MakeOptions(*exchange, account, std::move(*request));
  ChatCallbacks callbacks = MakeCallbacks(exchange, options);
  const auto task = scheduler_.Start(std::move(options), std::move(callbacks));
  const std::weak_ptr<ChatTask> weak = task;
  exchange->signal_client_disconnected.connect([weak] {
    if (const auto running = weak.lock()) running->Cancel();
  });
}

ChatTask::Options EntryServer::MakeOptions(const HttpExchange& exchange,
                                           const ClientAccount& account,
                                           ChatRequest request) {
  ChatTask::Options options;
  options.account = account.id;
  options.account_weight = account.spec.weight;
  options.arrived = BootClock::now();
  options.deadline =
      options.arrived + request.deadline.value_or(DefaultDeadline(
                            node_.settings().requests, request.cls));
  options.id = MakeRequestId(node_.random().HexId().substr(0, 16), account.id,
                             exchange.body());
  options.request = std::move(request);
  const auto marker = DecodeResumeMarker(exchange.Header("Last-Event-ID"));
  if (!marker) return options;
  options.start_offset = marker->next_offset;
  // If the marker is bound to another account or body, only its offset is used.
  if (!IsBoundTo(marker->request, account.id, exchange.body())) return options;
  options.resume = marker;
  options.id = marker->request;
  return options;
}

ChatCallbacks EntryServer::MakeCallbacks(const Exchange& exchange,
                                         const ChatTask::Options& options) {
  const auto reply = std::make_shared<ChatReply>(
      exchange, options.id, options.request,
      static_cast<size_t>(node_.settings().limits.max_stream_backlog_bytes));
  ChatCallbacks callbacks;
  callbacks.on_event = [this, reply, exchange](const std::string& marker,
                                               const std::string& data) {
    if (reply->OnEvent(marker, data)) return;
    // Deferred to the event loop, because ending the task destroys this
    // callback.
    node_.loop().Post([exchange] {
      exchange->Abort();
      exchange->signal_client_disconnected.emit();
    });
  };
  const std::string id = options.id.value();
  const std::string cls = ToString(options.request.cls);
  const Time arrived = options.arrived;
  callbacks.on_end = [this, reply, id, cls, arrived](const ChatResult& result) {
    reply->OnEnd(result);
    node_.metrics().Add("chats_total{class=\"" + cls + "\",status=\"" +
                        std::to_string(result.status) + "\"}");
    Log(LogLevel::kInfo, "chat_ended",
        {{"request", id},
         {"class", cls},
         {"status", result.status},
         {"verdict", ToString(result.outcome.verdict)},
         {"reason", result.outcome.reason},
         {"ms", ToMillis(BootClock::now() - arrived)}});
  };
  return callbacks;
}

bool EntryServer::OnAdmin(const Exchange& exchange) {
  if (exchange->path() != "/v1/drain" || exchange->method() != "POST") {
    return false;
  }
  BeginStop();
  exchange->Reply(202, "application/json", Json{{"draining", true}}.dump());
  return true;
}

void EntryServer::BeginStop() {
  if (stop_began_ != Time{}) return;
  stop_began_ = BootClock::now();
  Log(LogLevel::kInfo, "stop_began",
      {{"in_flight", uint64_t{scheduler_.in_flight()}}});
  node_.SetLeaving();
  // A client must not send its next request on a connection that this process
  // is about to close.
  server_.CloseAfterAnswers();
  jobs_.Drain();
  stop_timer_ =
      node_.loop().Every(kStopPollInterval, [this] { StopIfDrained(); });
}

bool EntryServer::HasAddressExpired(Time now) const {
  const Duration cache_time =
      node_.settings().timing.directory_keep + kDirectoryCacheMargin;
  return now - stop_began_ >= cache_time;
}

void EntryServer::StopIfDrained() {
  const Time now = BootClock::now();
  if (!HasAddressExpired(now)) return;
  const size_t in_flight = scheduler_.in_flight() + dispatcher_.in_flight() +
                           jobs_.running() + server_.unanswered_requests();
  if (in_flight > 0 || drained_ == Time{}) drained_ = now;
  if (in_flight > 0) return;
  const bool clients_use_connections =
      server_.unsent_answers() > 0 || server_.incomplete_requests() > 0;
  if (clients_use_connections && now - drained_ < kMaxClientTime) return;
  Log(LogLevel::kInfo, "stop_finished",
      {{"ms", ToMillis(BootClock::now() - stop_began_)}});
  node_.loop().Stop();
}

}  // namespace corianderlink
