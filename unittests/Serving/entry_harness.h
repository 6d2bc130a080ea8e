// The parts of an entry process that run model requests and jobs, with scripted
// engines and an in-memory platform on real sockets.
#ifndef CORIANDERLINK_UNITTESTS_SERVING_ENTRY_HARNESS_H_
#define CORIANDERLINK_UNITTESTS_SERVING_ENTRY_HARNESS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/fake_platform.h"
#include "Common/free_address.h"
#include "corianderlink/Http/http_server.h"
#include "corianderlink/Serving/chat_scheduler.h"
#include "corianderlink/Serving/resume_marker.h"

namespace corianderlink {

/// Engine whose answer to each model request is given by a function.
class ScriptedEngine {
 public:
  using Script = std::function<void(const Node::Exchange&, const Json& body)>;

  ScriptedEngine(EventLoop& loop, Script script)
      : server_(
            loop, {},
            [this, script = std::move(script)](const Node::Exchange& exchange) {
              if (exchange->path() != "/v1/chat/completions") {
                return exchange->Reply(200, "application/json", "{}");
              }
              ++requests;
              exchange->signal_client_disconnected.connect([this] { ++cut; });
              script(exchange, Json::parse(exchange->body()));
            }) {
    server_.Listen(address);
  }

  /// Sends the tokens from `first` up to before `end`, in a stream that goes
  /// on.
  static void SendTokens(HttpExchange& exchange, uint64_t first, uint64_t end) {
    if (!exchange.streaming()) {
      exchange.StartStream(200, "text/event-stream");
    }
    for (uint64_t i = first; i < end; ++i) {
      const Json delta = {{"content", std::to_string(i) + " "}};
      const Json data = {
          {"choices", {{{"delta", delta}, {"finish_reason", nullptr}}}}};
      exchange.SendChunk("id: " + std::to_string(i) + "\ndata: " + data.dump() +
                         "\n\n");
    }
  }
  /// Sends all tokens that `body` asks for, and ends the stream.
  static void Complete(HttpExchange& exchange, const Json& body) {
    SendTokens(exchange, body.value("continue_at", uint64_t{0}),
               body["max_tokens"].get<uint64_t>());
    const Json data = {
        {"choices",
         {{{"delta", Json::object()}, {"finish_reason", "length"}}}}};
    exchange.SendChunk("data: " + data.dump() + "\n\ndata: [DONE]\n\n");
    exchange.EndStream();
  }
  static void Refuse(HttpExchange& exchange) {
    exchange.Reply(503, "application/json", "{}");
  }
  /// The text of the first `tokens` tokens.
  static std::string Text(uint64_t tokens) {
    std::string text;
    for (uint64_t i = 0; i < tokens; ++i) text += std::to_string(i) + " ";
    return text;
  }

  const Address address = FreeAddress();
  /// Model requests received, and those whose connection was closed before the
  /// end of their answer.
  int requests = 0;
  int cut = 0;

 private:
  HttpServer server_;
};

/// What a client received.
struct ClientView {
  std::string text;
  std::optional<ChatResult> result;
};

/// Node and scheduler of an entry; the engines in force carry the model "m".
class EntryHarness {
 public:
  explicit EntryHarness(RequestSettings requests = {},
                        LimitSettings limits = {}, TimingSettings timing = {},
                        Duration platform_timeout = milliseconds(1000))
      : platform(loop),
        node(loop,
             MakeSettings(platform.address, requests, limits, timing,
                          platform_timeout),
             NodeKind::kEntry, std::nullopt, "token") {
    std::string reason;
    node.Start(reason);
    RunUntil(seconds(5), [this] {
      return !node.peers().instances().empty() &&
             node.MayServe(BootClock::now());
    });
    // A scheduler sends nothing before it has heard the instances' holds.
    wire::Heartbeat heartbeat;
    heartbeat.set_instance("i0");
    heartbeat.set_kind("fleet");
    scheduler.OnPeerHeartbeat(ProcessId("fleet-i0"), heartbeat);
  }

  ScriptedEngine& AddEngine(ScriptedEngine::Script script,
                            uint64_t max_batch = 64) {
    engines_.push_back(
        std::make_unique<ScriptedEngine>(loop, std::move(script)));
    EngineSpec spec;
    spec.address = engines_.back()->address;
    spec.models = {ModelId("m")};
    const EngineId id("e" + std::to_string(engines_.size() - 1));
    specs_[id] = spec;
    scheduler.router().SetEngines(specs_);
    EngineReport report;
    report.config.role = "mixed";
    report.config.models = spec.models;
    report.max_batch = max_batch;
    report.prefill_tokens_per_s = 10000;
    scheduler.router().OnReport(BootClock::now(), id, report);
    return *engines_.back();
  }

  static std::string Body(uint64_t max_tokens) {
    return Json{{"model", "m"},
                {"max_tokens", max_tokens},
                {"messages", {{{"role", "user"}, {"content", "x"}}}}}
        .dump();
  }

  /// Starts a model request; `view` is filled as its answer arrives.
  std::shared_ptr<ChatTask> StartChat(ClientView& view, uint64_t max_tokens) {
    std::vector<JsonError> errors;
    ChatTask::Options options;
    options.account = AccountId("a");
    options.id = MakeRequestId(node.random().HexId().substr(0, 16),
                               options.account, "body");
    options.request = ParseChatRequest(Body(max_tokens), errors).value();
    options.arrived = BootClock::now();
    options.deadline = options.arrived + seconds(2);
    ChatCallbacks callbacks;
    callbacks.on_event = [&view](const std::string&, const std::string& data) {
      const Json event = Json::parse(data);
      view.text += event["choices"][0]["delta"].value("content", "");
    };
    callbacks.on_end = [&view](const ChatResult& r) { view.result = r; };
    return scheduler.Start(std::move(options), std::move(callbacks));
  }

  /// Runs the loop until `condition` holds; false if it does not in time.
  bool RunUntil(Duration limit, const std::function<bool()>& condition) {
    const Time end = BootClock::now() + limit;
    const EventHandle poll = loop.Every(milliseconds(2), [&] {
      if (condition() || BootClock::now() >= end) loop.Stop();
    });
    loop.Run();
    return condition();
  }

  EventLoop loop;
  FakePlatform platform;
  Node node;
  ChatScheduler scheduler{node};

 private:
  static NodeSettings MakeSettings(const Address& platform,
                                   const RequestSettings& requests,
                                   const LimitSettings& limits,
                                   TimingSettings timing,
                                   Duration platform_timeout) {
    NodeSettings settings;
    settings.deployment = "test";
    settings.instance = "i0";
    settings.platform = platform;
    settings.platform_timeout = platform_timeout;
    settings.entry = {FreeAddress(), FreeAddress(), FreeAddress()};
    timing.instance_poll = milliseconds(20);
    timing.store_poll = milliseconds(20);
    settings.timing = timing;
    settings.requests = requests;
    settings.limits = limits;
    return settings;
  }

  std::map<EngineId, EngineSpec> specs_;
  std::vector<std::unique_ptr<ScriptedEngine>> engines_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_SERVING_ENTRY_HARNESS_H_
