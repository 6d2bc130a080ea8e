// Load with a mix of classes; prints one JSON line with goodput and latencies.
#include <CLI/CLI.hpp>
#include <deque>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <sstream>

#include "common/token_text.h"
#include "corianderlink-load/load_stats.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_client.h"

namespace corianderlink {
namespace {

using Json = nlohmann::json;

constexpr double kFirstTokenTargetMs = 2000;
constexpr double kGapTargetMs = 64;
// Share of a request's gaps that may exceed the target.
constexpr double kLateGapShare = 0.05;

struct Options {
  std::vector<std::string> entries;
  std::string model = "model";
  std::string key;
  /// Sends engines' own requests, without an entry between.
  bool direct = false;
  double rate = 10;
  double duration_s = 5;
  uint64_t max_tokens = 50;
  uint64_t prompt_bytes = 400;
  double urgent = 0.2;
  double bulk = 0.1;
  uint64_t seed = 1;
  double grace_s = 30;
};

/// One streamed request.
struct Request {
  std::string cls;
  std::string prompt;
  Time sent{};
  Time last{};
  std::string buffer;
  uint64_t tokens = 0;
  uint64_t slow_gaps = 0;
  double first_ms = 0;
  std::string text;
  bool done = false;
};

class Load {
 public:
  Load(EventLoop& loop, Options options)
      : loop_(loop),
        options_(std::move(options)),
        client_(loop),
        random_(options_.seed) {
    for (const std::string& text : options_.entries) {
      const auto address = Address::Parse(text);
      if (address) addresses_.push_back(*address);
    }
  }

  bool valid() const { return !addresses_.empty(); }

  void Start() {
    end_ = BootClock::now() + FromSeconds(options_.duration_s);
    next_ = BootClock::now();
    timer_ = loop_.Every(milliseconds(1), [this] { Tick(); });
  }

  Json Result() const {
    Json classes = Json::object();
    ClassStats all;
    for (const auto& [name, stats] : stats_) {
      classes[name] = ToJson(stats, options_.duration_s);
      all.sent += stats.sent;
      all.served += stats.served;
      all.refused += stats.refused;
      all.failed += stats.failed;
      all.late += stats.late;
      all.wrong += stats.wrong;
      all.tokens += stats.tokens;
      all.first_token_ms.insert(all.first_token_ms.end(),
                                stats.first_token_ms.begin(),
                                stats.first_token_ms.end());
      all.gap_ms.insert(all.gap_ms.end(), stats.gap_ms.begin(),
                        stats.gap_ms.end());
    }
    Json result = ToJson(all, options_.duration_s);
    result["classes"] = classes;
    result["seed"] = options_.seed;
    result["unfinished"] = open_;
    return result;
  }

 private:
  void Tick() {
    const Time now = BootClock::now();
    std::exponential_distribution<double> gap(options_.rate);
    while (next_ <= now && next_ < end_) {
      Send();
      next_ += FromSeconds(gap(random_));
    }
    const bool over = now >= end_ && open_ == 0;
    const bool given_up = now >= end_ + FromSeconds(options_.grace_s);
    if (over || given_up) loop_.Stop();
  }

  std::string ChooseClass() {
    const double x = std::uniform_real_distribution<double>(0, 1)(random_);
    if (x < options_.urgent) return "urgent";
    return x < options_.urgent + options_.bulk ? "bulk" : "chat";
  }

  void Send() {
    auto request = std::make_shared<Request>();
    request->cls = ChooseClass();
    request->prompt = std::to_string(random_());
    request->prompt.resize(options_.prompt_bytes, 'x');
    Json body = {
        {"model", options_.model},
        {"stream", true},
        {"priority", request->cls},
        {"max_tokens", options_.max_tokens},
        {"messages", {{{"role", "user"}, {"content", request->prompt}}}}};
    if (options_.direct) body["request_id"] = std::to_string(random_());
    HttpRequest http;
    http.address = addresses_[next_address_++ % addresses_.size()];
    http.method = "POST";
    http.target = "/v1/chat/completions";
    http.headers = {{"Content-Type", "application/json"}};
    if (!options_.key.empty()) {
      http.headers.emplace_back("Authorization", "Bearer " + options_.key);
    }
    http.body = body.dump();
    http.timeout = FromSeconds(options_.duration_s + options_.grace_s);
    request->sent = BootClock::now();
    ++stats_[request->cls].sent;
    ++open_;
    client_.Start(
        http,
        [this, request](const HttpResponse& response) {
          OnDone(*request, response);
        },
        [this, request](int, std::string bytes) { OnBytes(*request, bytes); });
  }

  void OnBytes(Request& request, const std::string& bytes) {
    request.buffer += bytes;
    size_t end = 0;
    while ((end = request.buffer.find("\n\n")) != std::string::npos) {
      OnEvent(request, request.buffer.substr(0, end));
      request.buffer.erase(0, end + 2);
    }
  }

  void OnEvent(Request& request, const std::string& event) {
    const size_t at = event.find("data: ");
    if (at == std::string::npos) return;
    const std::string data = event.substr(at + 6);
    if (data == "[DONE]") {
      request.done = true;
      return;
    }
    const Json json = Json::parse(data, nullptr, false);
    if (!json.is_object() || !json.contains("choices")) return;
    const Json delta = json["choices"][0].value("delta", Json::object());
    if (!delta.contains("content")) return;
    request.text += delta["content"].get<std::string>();
    ++request.tokens;
    const Time now = BootClock::now();
    ClassStats& stats = stats_[request.cls];
    if (request.tokens == 1) {
      request.first_ms = ToMillis(now - request.sent);
      stats.first_token_ms.push_back(request.first_ms);
    } else {
      const double gap_ms = ToMillis(now - request.last);
      stats.gap_ms.push_back(gap_ms);
      if (gap_ms > kGapTargetMs) ++request.slow_gaps;
    }
    request.last = now;
    ++stats.tokens;
  }

  void OnDone(Request& request, const HttpResponse& response) {
    --open_;
    ClassStats& stats = stats_[request.cls];
    if (response.ok() && request.done) {
      ++stats.served;
      const TokenText expected("user:" + request.prompt + "\n");
      if (request.text != expected.First(options_.max_tokens)) ++stats.wrong;
      const bool slow_first =
          request.cls != "bulk" && request.first_ms > kFirstTokenTargetMs;
      const bool slow_gaps =
          static_cast<double>(request.slow_gaps) >
          kLateGapShare * static_cast<double>(request.tokens);
      if (slow_first || (slow_gaps && request.cls != "bulk")) ++stats.late;
      return;
    }
    const bool refused = response.outcome.ran() && response.status >= 400;
    ++(refused ? stats.refused : stats.failed);
  }

  EventLoop& loop_;
  const Options options_;
  HttpClient client_;
  std::mt19937_64 random_;
  std::vector<Address> addresses_;
  std::map<std::string, ClassStats> stats_;
  size_t next_address_ = 0;
  uint64_t open_ = 0;
  Time next_{};
  Time end_{};
  EventHandle timer_;
};

int Main(int argc, char** argv) {
  CLI::App app("Sends streamed model requests and prints one JSON line.");
  Options o;
  app.add_option("--entry", o.entries, "ip:port, may be repeated")->required();
  app.add_option("--model", o.model, "model name");
  app.add_option("--key", o.key, "account key");
  app.add_flag("--direct", o.direct, "the addresses are engines");
  app.add_option("--rate", o.rate, "requests per second");
  app.add_option("--duration-s", o.duration_s, "seconds of sending");
  app.add_option("--max-tokens", o.max_tokens, "tokens of each answer");
  app.add_option("--prompt-bytes", o.prompt_bytes, "bytes of each prompt");
  app.add_option("--urgent", o.urgent, "share of urgent requests");
  app.add_option("--bulk", o.bulk, "share of bulk requests");
  app.add_option("--seed", o.seed, "seed of the arrivals");
  app.footer(
      "Example:\n  corianderlink-load --entry 127.0.0.1:7101 --rate 20 "
      "--duration-s 10\nExit status: 0 if every answer was whole and "
      "right, 1 otherwise, 2 for bad arguments.");
  CLI11_PARSE(app, argc, argv);
  EventLoop loop;
  Load load(loop, o);
  if (!load.valid()) {
    std::cerr << "corianderlink-load: --entry: expected ip:port\n";
    return 2;
  }
  load.Start();
  loop.Run();
  const Json result = load.Result();
  std::cout << result.dump() << std::endl;
  const bool clean = result["failed"] == 0 && result["wrong"] == 0 &&
                     result["unfinished"] == 0;
  return clean ? 0 : 1;
}

}  // namespace
}  // namespace corianderlink

int main(int argc, char** argv) { return corianderlink::Main(argc, argv); }
