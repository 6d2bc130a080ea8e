// Stand-in for the platform: table service, object store, instance list and
// weight store, all in memory.  Faults are switched by POST /faults with any
// of: down, slow_ms, lose_answers (count of commits whose answer is lost after
// the write), list_lag_ms.
#include <CLI/CLI.hpp>
#include <csignal>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_server.h"
#include "corianderlink/Platform/table_codec.h"

namespace corianderlink {
namespace {

using Json = nlohmann::json;
using Exchange = std::shared_ptr<HttpExchange>;

// Weight store: sustained loads per second and burst.
constexpr double kWeightLoadsPerSecond = 4;
constexpr double kWeightBurst = 2;

class StandinPlatform {
 public:
  StandinPlatform(EventLoop& loop, Json instances)
      : loop_(loop), server_(loop, {}, [this](Exchange e) { OnRequest(e); }) {
    instance_history_.push_back({BootClock::now(), std::move(instances)});
  }

  bool Listen(const Address& address) { return server_.Listen(address); }

 private:
  struct Listed {
    Time since;
    Json instances;
  };

  void OnRequest(const Exchange& exchange) {
    if (exchange->path() == "/faults") {
      SetFaults(*exchange);
      return;
    }
    if (exchange->path() == "/instances/set") {
      instance_history_.push_back(
          {BootClock::now(), Json::parse(exchange->body(), nullptr, false)});
      exchange->Reply(200, "application/json", "{}");
      return;
    }
    if (down_) {
      exchange->Reply(503, "text/plain", "down");
      return;
    }
    if (slow_.count() == 0) {
      Serve(exchange);
      return;
    }
    auto timer = std::make_shared<EventHandle>();
    *timer = loop_.After(slow_, [this, exchange, timer] {
      Serve(exchange);
      timer->Reset();
    });
  }

  void SetFaults(HttpExchange& exchange) {
    const Json json = Json::parse(exchange.body(), nullptr, false);
    if (!json.is_object()) {
      exchange.Reply(400, "text/plain", "expected an object");
      return;
    }
    down_ = json.value("down", down_);
    slow_ = milliseconds(json.value("slow_ms", slow_.count()));
    lose_answers_ = json.value("lose_answers", lose_answers_);
    list_lag_ = milliseconds(json.value("list_lag_ms", list_lag_.count()));
    exchange.Reply(200, "application/json", "{}");
  }

  void Serve(const Exchange& exchange) {
    const std::string& path = exchange->path();
    if (path == "/v1/table/transactions") return Commit(*exchange);
    if (path == "/v1/table/rows") return Read(*exchange);
    if (path == "/v1/instances") return List(*exchange);
    if (path.rfind("/v1/objects/", 0) == 0) return Object(*exchange);
    if (path.rfind("/v1/weights/", 0) == 0) return Weights(*exchange);
    exchange->Reply(404, "text/plain", "no such path");
  }

  void Commit(HttpExchange& exchange) {
    const auto txn = DecodeTransaction(exchange.body());
    if (!txn) {
      exchange.Reply(400, "text/plain", "malformed transaction");
      return;
    }
    const CommitResult result = Apply(*txn);
    if (lose_answers_ > 0) {
      --lose_answers_;
      exchange.Abort();
      return;
    }
    exchange.Reply(200, "application/json", EncodeCommitResult(result));
  }

  CommitResult Apply(const TableTransaction& txn) {
    CommitResult result;
    for (const TableCondition& condition : txn.conditions) {
      const auto it = rows_.find(condition.key);
      const RowVersion present = it == rows_.end() ? 0 : it->second.version;
      if (present == condition.version) continue;
      result.conflicts.push_back(
          it == rows_.end() ? TableRow{condition.key, 0, ""} : it->second);
    }
    if (!result.conflicts.empty()) {
      result.status = CommitStatus::kConflict;
      return result;
    }
    result.version = ++last_version_;
    result.status = CommitStatus::kCommitted;
    for (const TableWrite& write : txn.writes) {
      if (write.value) {
        rows_[write.key] = {write.key, result.version, *write.value};
      } else {
        rows_.erase(write.key);
      }
    }
    return result;
  }

  void Read(HttpExchange& exchange) {
    const std::string prefix = exchange.QueryParameter("prefix").value_or("");
    std::vector<TableRow> found;
    for (auto it = rows_.lower_bound(prefix); it != rows_.end(); ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0) break;
      found.push_back(it->second);
    }
    exchange.Reply(200, "application/json", EncodeRows(found));
  }

  void List(HttpExchange& exchange) {
    const Time cutoff = BootClock::now() - list_lag_;
    while (instance_history_.size() > 1 &&
           instance_history_[1].since <= cutoff) {
      instance_history_.pop_front();
    }
    exchange.Reply(200, "application/json",
                   instance_history_.front().instances.dump());
  }

  void Object(HttpExchange& exchange) {
    const std::string key = exchange.path().substr(12);
    if (exchange.method() == "PUT") {
      objects_[key] = exchange.body();
      exchange.Reply(200, "application/json", "{}");
      return;
    }
    const auto it = objects_.find(key);
    if (it == objects_.end()) {
      exchange.Reply(404, "text/plain", "no such object");
      return;
    }
    exchange.Reply(200, "application/octet-stream", it->second);
  }

  void Weights(HttpExchange& exchange) {
    const Time now = BootClock::now();
    weight_tokens_ =
        std::min(kWeightBurst, weight_tokens_ + ToSeconds(now - weight_time_) *
                                                    kWeightLoadsPerSecond);
    weight_time_ = now;
    if (weight_tokens_ < 1) {
      exchange.Reply(429, "text/plain", "rate limit", {{"Retry-After", "1"}});
      return;
    }
    weight_tokens_ -= 1;
    exchange.Reply(200, "application/octet-stream", "weights");
  }

  EventLoop& loop_;
  HttpServer server_;
  std::map<std::string, TableRow> rows_;
  std::map<std::string, std::string> objects_;
  std::deque<Listed> instance_history_;
  RowVersion last_version_ = 0;
  bool down_ = false;
  milliseconds slow_{0};
  milliseconds list_lag_{0};
  int lose_answers_ = 0;
  double weight_tokens_ = kWeightBurst;
  Time weight_time_ = BootClock::now();
};

int Main(int argc, char** argv) {
  CLI::App app("Stand-in for the platform's services, in memory.");
  std::string listen;
  std::string instances_file;
  app.add_option("--listen", listen, "ip:port to serve on")->required();
  app.add_option("--instances", instances_file,
                 "JSON file with the list of instances")
      ->required();
  CLI11_PARSE(app, argc, argv);
  std::ifstream file(instances_file);
  std::stringstream text;
  text << file.rdbuf();
  Json instances = Json::parse(text.str(), nullptr, false, true);
  const auto address = Address::Parse(listen);
  if (!instances.is_object() || !address) {
    std::cerr << "standin-platform: bad --instances file or --listen address\n";
    return 2;
  }
  EventLoop loop;
  StandinPlatform platform(loop, std::move(instances));
  if (!platform.Listen(*address)) {
    std::cerr << "standin-platform: cannot bind " << listen << "\n";
    return 2;
  }
  const EventHandle stop = loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace corianderlink

int main(int argc, char** argv) { return corianderlink::Main(argc, argv); }
