// Stand-in for a model engine.
#include "standin-engine/engine.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include "corianderlink/Support/prompt_pieces.h"

namespace corianderlink {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kReportInterval{50};
// How long a stream without a reader can be resumed.
constexpr seconds kRetention{20};

std::string PromptOf(const Json& body) {
  std::string prompt;
  for (const Json& message : body.at("messages")) {
    prompt +=
        message.value("role", "") + ":" + message.value("content", "") + "\n";
  }
  return prompt;
}

int PriorityOf(const Json& body) {
  const std::string name = body.value("priority", "chat");
  if (name == "urgent") return 0;
  return name == "bulk" ? 2 : 1;
}

void ReplyError(HttpExchange& exchange, int status, const std::string& reason) {
  exchange.Reply(status, "application/json", Json{{"error", reason}}.dump());
}

}  // namespace

StandinEngine::StandinEngine(EventLoop& loop, EngineOptions options)
    : loop_(loop),
      options_(std::move(options)),
      client_(loop),
      server_(loop, {}, [this](Exchange e) { OnRequest(e); }),
      cache_(options_.cache_pieces),
      boot_id_(random_.HexId()) {
  step_timer_ = loop_.Every(options_.step, [this] { Step(); });
  report_timer_ = loop_.Every(kReportInterval, [this] {
    reports_.push_back({BootClock::now(), CurrentReport()});
    ++report_sequence_;
  });
  reports_.push_back({BootClock::now(), CurrentReport()});
}

bool StandinEngine::Listen() { return server_.Listen(options_.listen); }

void StandinEngine::OnRequest(const Exchange& exchange) {
  const std::string& path = exchange->path();
  const std::string requests = "/v1/requests/";
  if (path == "/v1/chat/completions") return OnChat(exchange);
  if (path == "/v1/state") return OnState(exchange);
  if (path == "/v1/orders") return OnOrder(exchange);
  if (path == "/faults") return OnFaults(exchange);
  if (path == "/record") {
    exchange->Reply(
        200, "application/json",
        Json{{"orders", record_}, {"streams_cut", streams_cut_}}.dump());
    return;
  }
  if (path == "/v1/cache_events") {
    const std::string after = exchange->QueryParameter("after").value_or("0");
    const uint64_t sequence = std::strtoull(after.c_str(), nullptr, 10);
    const Json events = cache_.EventsAfter(sequence, faults_.event_gap_every);
    exchange->Reply(200, "application/json", Json{{"events", events}}.dump());
    return;
  }
  if (path.rfind(requests, 0) == 0) {
    const std::string rest = path.substr(requests.size());
    const size_t slash = rest.find('/');
    const std::string id = rest.substr(0, slash);
    const std::string verb =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (verb == "resume") return OnResume(exchange, id);
    if (verb == "cancel") return OnCancel(exchange, id);
    if (verb == "kv") return OnExport(exchange, id);
  }
  ReplyError(*exchange, 404, "no such path");
}

void StandinEngine::OnChat(const Exchange& exchange) {
  const Json body = Json::parse(exchange->body(), nullptr, false);
  try {
    StartChat(exchange, body);
  } catch (const Json::exception& error) {
    ReplyError(*exchange, 400, error.what());
  }
}

void StandinEngine::StartChat(const Exchange& exchange, const Json& body) {
  const std::string model = body.at("model").get<std::string>();
  if (away_) return ReplyError(*exchange, 503, "engine is being reconfigured");
  if (std::find(models_.begin(), models_.end(), model) == models_.end()) {
    return ReplyError(*exchange, 409, "model not loaded");
  }
  if (InFlight() >= static_cast<size_t>(options_.max_batch) +
                        static_cast<size_t>(options_.max_queue)) {
    return ReplyError(*exchange, 429, "queue full");
  }
  auto stream = std::make_shared<Stream>();
  stream->request_id = body.at("request_id").get<std::string>();
  stream->model = model;
  stream->prompt = PromptOf(body);
  stream->text = TokenText(stream->prompt);
  stream->priority = PriorityOf(body);
  stream->prompt_tokens = EstimateTokens(stream->prompt);
  stream->max_tokens = body.value("max_tokens", uint64_t{16});
  const uint64_t offset = body.value("continue_at", uint64_t{0});
  stream->produced = offset;
  const std::string so_far = stream->text.First(offset);
  if (body.value("continue_text", so_far) != so_far) {
    return ReplyError(*exchange, 400, "continue_text is not the answer so far");
  }
  const auto pieces = PieceHashes(model, stream->prompt);
  const uint64_t cached = cache_.Hits(pieces) * kPieceTokens;
  stream->prefill_left = static_cast<double>(
      stream->prompt_tokens + offset - std::min(cached, stream->prompt_tokens));
  streams_[stream->request_id] = stream;
  arrival_order_.push_back(stream);
  if (body.contains("kv_source")) {
    ImportKv(stream, body["kv_source"].get<std::string>());
  }
  exchange->StartStream(200, "text/event-stream");
  Attach(stream, exchange, offset);
}

void StandinEngine::ImportKv(const StreamPtr& stream,
                             const std::string& source) {
  const auto address = Address::Parse(source);
  if (!address) return;
  HttpRequest request;
  request.address = *address;
  request.target = "/v1/requests/" + stream->request_id + "/kv";
  client_.Start(request, [stream](const HttpResponse& response) {
    // Computed already: nothing is left to prefill.
    if (response.ok()) stream->prefill_left = 0;
  });
}

void StandinEngine::Attach(const StreamPtr& stream, const Exchange& exchange,
                           uint64_t from) {
  stream->exchange = exchange;
  stream->sent = from;
  exchange->signal_client_disconnected.connect([stream] {
    stream->exchange = nullptr;
    stream->detached_at = BootClock::now();
  });
  while (stream->sent < stream->produced) SendToken(*stream, stream->sent);
  if (stream->done) FinishStream(*stream);
}

void StandinEngine::SendToken(Stream& stream, uint64_t index) {
  const Json data = {{"id", stream.request_id},
                     {"object", "chat.completion.chunk"},
                     {"created", std::time(nullptr)},
                     {"model", stream.model},
                     {"choices",
                      {{{"index", 0},
                        {"delta", {{"content", stream.text.At(index)}}},
                        {"finish_reason", nullptr}}}}};
  stream.sent = index + 1;
  stream.exchange->SendChunk("id: " + std::to_string(index) +
                             "\ndata: " + data.dump() + "\n\n");
}

void StandinEngine::FinishStream(Stream& stream) {
  const Json data = {{"id", stream.request_id},
                     {"object", "chat.completion.chunk"},
                     {"created", std::time(nullptr)},
                     {"model", stream.model},
                     {"choices",
                      {{{"index", 0},
                        {"delta", Json::object()},
                        {"finish_reason", "length"}}}},
                     {"usage",
                      {{"prompt_tokens", stream.prompt_tokens},
                       {"completion_tokens", stream.produced}}}};
  stream.exchange->SendChunk("data: " + data.dump() + "\n\ndata: [DONE]\n\n");
  const Exchange exchange = std::exchange(stream.exchange, nullptr);
  exchange->EndStream();
  stream.detached_at = BootClock::now();
}

void StandinEngine::OnResume(const Exchange& exchange, const std::string& id) {
  const auto it = streams_.find(id);
  const std::string text = exchange->QueryParameter("offset").value_or("");
  const uint64_t offset = std::strtoull(text.c_str(), nullptr, 10);
  if (it == streams_.end()) {
    return ReplyError(*exchange, 404, "no such request");
  }
  const StreamPtr& stream = it->second;
  if (offset > stream->produced) {
    return ReplyError(*exchange, 416, "offset beyond what was generated");
  }
  if (stream->attached()) stream->exchange->Abort();
  exchange->StartStream(200, "text/event-stream");
  Attach(stream, exchange, offset);
}

void StandinEngine::OnCancel(const Exchange& exchange, const std::string& id) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) {
    return ReplyError(*exchange, 404, "no such request");
  }
  const StreamPtr stream = it->second;
  streams_.erase(it);
  std::erase(arrival_order_, stream);
  if (stream->attached()) stream->exchange->Abort();
  exchange->Reply(200, "application/json",
                  Json{{"produced", stream->produced}}.dump());
}

void StandinEngine::OnExport(const Exchange& exchange, const std::string& id) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) {
    return ReplyError(*exchange, 404, "no such request");
  }
  exchange->Reply(200, "application/octet-stream", "kv");
}

void StandinEngine::OnState(const Exchange& exchange) {
  const Time cutoff = BootClock::now() - faults_.report_lag;
  while (reports_.size() > 1 && reports_[1].at <= cutoff) reports_.pop_front();
  exchange->Reply(200, "application/json",
                  (faults_.report_lag.count() == 0 ? CurrentReport()
                                                   : reports_.front().json)
                      .dump());
}

size_t StandinEngine::InFlight() const {
  return static_cast<size_t>(
      std::count_if(arrival_order_.begin(), arrival_order_.end(),
                    [](const StreamPtr& s) { return !s->done; }));
}

Json StandinEngine::CurrentReport() const {
  double queued_tokens = 0;
  size_t running = 0;
  for (const StreamPtr& stream : arrival_order_) {
    if (stream->done) continue;
    queued_tokens += stream->prefill_left;
    if (stream->prefill_left <= 0) ++running;
  }
  return {{"boot_id", boot_id_},
          {"report_sequence", report_sequence_},
          {"role", role_},
          {"models", models_},
          {"adapters", adapters_},
          {"away", away_},
          {"in_flight", InFlight()},
          {"running", running},
          {"queued_prefill_tokens", queued_tokens},
          {"max_batch", options_.max_batch},
          {"prefill_tokens_per_s", options_.prefill_tokens_per_s},
          {"step_ms", options_.step.count()},
          {"order_sequence", order_.sequence},
          {"order_fencing", order_.fencing},
          {"order_state", order_.state},
          {"order_reason", order_.reason},
          {"order_config", order_.config}};
}

void StandinEngine::OnOrder(const Exchange& exchange) {
  const Json body = Json::parse(exchange->body(), nullptr, false);
  if (!body.is_object() || !body.contains("sequence") ||
      !body.contains("fencing") || !body.contains("config")) {
    return ReplyError(*exchange, 400, "malformed order");
  }
  const auto sequence = body["sequence"].get<uint64_t>();
  const auto fencing = body["fencing"].get<uint64_t>();
  record_.push_back({{"sequence", sequence},
                     {"fencing", fencing},
                     {"config", body["config"]},
                     {"while_running", order_.state == "running"}});
  if (options_.check_fencing && fencing < order_.fencing) {
    return ReplyError(*exchange, 409, "fencing number is old");
  }
  if (sequence == order_.sequence && order_.state != "failed") {
    order_.fencing = std::max(order_.fencing, fencing);
    exchange->Reply(200, "application/json",
                    Json{{"state", order_.state}}.dump());
    return;
  }
  if (options_.check_fencing && sequence < order_.sequence) {
    return ReplyError(*exchange, 409, "sequence is old");
  }
  order_ = {sequence, fencing, "running", "", body["config"]};
  exchange->Reply(200, "application/json", Json{{"state", "running"}}.dump());
  ApplyOrder(order_.config);
}

bool StandinEngine::NeedsPause(const Json& config) const {
  return config.value("role", role_) != role_ ||
         config.value("models", models_) != models_;
}

void StandinEngine::ApplyOrder(const Json& config) {
  const bool role_changes = config.value("role", role_) != role_;
  if (NeedsPause(config)) {
    away_ = true;
    for (const StreamPtr& stream : arrival_order_) {
      if (stream->done) continue;
      ++streams_cut_;
      if (stream->attached()) stream->exchange->Abort();
    }
    arrival_order_.clear();
    streams_.clear();
    cache_.Clear();
  }
  if (faults_.crash_in_change) {
    faults_.crash_in_change = false;
    order_timer_ = loop_.After(options_.load_time / 2, [this] { Reboot(); });
    return;
  }
  const milliseconds duration =
      options_.load_time +
      (role_changes ? options_.role_time : milliseconds(0));
  order_timer_ = loop_.After(duration, [this] { LoadWeights(); });
}

void StandinEngine::LoadWeights() {
  if (!options_.platform) return FinishOrder();
  HttpRequest request;
  request.address = *options_.platform;
  request.target = "/v1/weights/config";
  client_.Start(request, [this](const HttpResponse& response) {
    if (response.ok()) return FinishOrder();
    // The rate limit or an outage only delays the load.
    order_timer_ = loop_.After(milliseconds(200), [this] { LoadWeights(); });
  });
}

void StandinEngine::FinishOrder() {
  role_ = order_.config.value("role", role_);
  models_ = order_.config.value("models", models_);
  adapters_ = order_.config.value("adapters", adapters_);
  order_.state = "done";
  away_ = false;
}

void StandinEngine::Reboot() {
  for (const StreamPtr& stream : arrival_order_) {
    if (stream->attached()) stream->exchange->Abort();
  }
  arrival_order_.clear();
  streams_.clear();
  cache_.Clear();
  order_ = {};
  role_ = "mixed";
  models_.clear();
  adapters_.clear();
  away_ = false;
  boot_id_ = random_.HexId();
}

std::vector<StandinEngine::StreamPtr> StandinEngine::Batch() {
  std::vector<StreamPtr> batch;
  for (const StreamPtr& stream : arrival_order_) {
    if (!stream->done) batch.push_back(stream);
  }
  std::stable_sort(batch.begin(), batch.end(),
                   [](const StreamPtr& a, const StreamPtr& b) {
                     return a->priority < b->priority;
                   });
  const auto limit = static_cast<size_t>(options_.max_batch);
  if (batch.size() > limit) batch.resize(limit);
  return batch;
}

void StandinEngine::Prefill(const std::vector<StreamPtr>& batch) {
  double budget = options_.prefill_tokens_per_s *
                  std::chrono::duration<double>(options_.step).count() /
                  faults_.slow_factor;
  for (const StreamPtr& stream : batch) {
    if (budget <= 0) return;
    const double used = std::min(budget, stream->prefill_left);
    stream->prefill_left -= used;
    budget -= used;
    if (used > 0 && stream->prefill_left <= 0) {
      cache_.Insert(PieceHashes(stream->model, stream->prompt));
    }
  }
}

void StandinEngine::Step() {
  const std::vector<StreamPtr> batch = Batch();
  Prefill(batch);
  for (const StreamPtr& stream : batch) {
    if (stream->prefill_left > 0) continue;
    if (stream->produced < stream->max_tokens) {
      ++stream->produced;
      if (stream->attached()) SendToken(*stream, stream->produced - 1);
    }
    if (stream->produced < stream->max_tokens) continue;
    stream->done = true;
    if (stream->attached()) FinishStream(*stream);
  }
  DropOldStreams(BootClock::now());
}

void StandinEngine::DropOldStreams(Time now) {
  std::erase_if(arrival_order_, [](const StreamPtr& s) { return s->done; });
  std::erase_if(streams_, [now](const auto& entry) {
    const StreamPtr& stream = entry.second;
    return stream->done && !stream->attached() &&
           now - stream->detached_at > kRetention;
  });
}

void StandinEngine::OnFaults(const Exchange& exchange) {
  const Json json = Json::parse(exchange->body(), nullptr, false);
  if (!json.is_object()) {
    return ReplyError(*exchange, 400, "expected an object");
  }
  faults_.report_lag =
      milliseconds(json.value("report_lag_ms", faults_.report_lag.count()));
  faults_.event_gap_every =
      json.value("event_gap_every", faults_.event_gap_every);
  faults_.crash_in_change =
      json.value("crash_in_change", faults_.crash_in_change);
  faults_.slow_factor = json.value("slow_factor", faults_.slow_factor);
  if (json.value("reboot", false)) Reboot();
  exchange->Reply(200, "application/json", "{}");
}

}  // namespace corianderlink
