// Stand-in for a plain service that books slots.  POST /book counts one effect
// per received request and GET /stock reads.  GET /ledger lists each effect
// with its tag, which is how tests count double bookings.  Faults by POST
// /faults: down, slow_ms, close_before (requests whose connection is closed
// without effect), close_after (closed after the effect).
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_server.h"

namespace corianderlink {
namespace {

using Json = nlohmann::json;
using Exchange = std::shared_ptr<HttpExchange>;

class StandinService {
 public:
  explicit StandinService(EventLoop& loop)
      : loop_(loop), server_(loop, {}, [this](Exchange e) { OnRequest(e); }) {}

  bool Listen(const Address& address) { return server_.Listen(address); }

 private:
  void OnRequest(const Exchange& exchange) {
    if (exchange->path() == "/faults") {
      const Json json = Json::parse(exchange->body(), nullptr, false);
      if (json.is_object()) {
        down_ = json.value("down", down_);
        slow_ = milliseconds(json.value("slow_ms", slow_.count()));
        close_before_ = json.value("close_before", close_before_);
        close_after_ = json.value("close_after", close_after_);
      }
      exchange->Reply(200, "application/json", "{}");
      return;
    }
    if (exchange->path() != "/ledger") ++received_;
    if (exchange->path() == "/ledger") {
      exchange->Reply(
          200, "application/json",
          Json{{"ledger", ledger_}, {"received", received_}}.dump());
      return;
    }
    if (down_) {
      exchange->Reply(503, "text/plain", "down");
      return;
    }
    if (close_before_ > 0) {
      --close_before_;
      exchange->Abort();
      return;
    }
    if (slow_.count() == 0) return Serve(exchange);
    auto timer = std::make_shared<EventHandle>();
    *timer = loop_.After(slow_, [this, exchange, timer] {
      Serve(exchange);
      timer->Reset();
    });
  }

  void Serve(const Exchange& exchange) {
    if (exchange->method() != "POST") {
      exchange->Reply(200, "application/json", Json{{"stock", 7}}.dump());
      return;
    }
    ledger_.push_back({{"path", exchange->path()}, {"body", exchange->body()}});
    if (close_after_ > 0) {
      --close_after_;
      exchange->Abort();
      return;
    }
    exchange->Reply(200, "application/json",
                    Json{{"booked", ledger_.size()}}.dump());
  }

  EventLoop& loop_;
  HttpServer server_;
  Json ledger_ = Json::array();
  // Requests received, those broken off included.
  int received_ = 0;
  bool down_ = false;
  milliseconds slow_{0};
  int close_before_ = 0;
  int close_after_ = 0;
};

int Main(int argc, char** argv) {
  CLI::App app("Stand-in for a plain service.");
  std::string listen;
  app.add_option("--listen", listen, "ip:port to serve on")->required();
  CLI11_PARSE(app, argc, argv);
  const auto address = Address::Parse(listen);
  EventLoop loop;
  StandinService service(loop);
  if (!address || !service.Listen(*address)) {
    std::cerr << "standin-service: cannot bind " << listen << "\n";
    return 2;
  }
  const EventHandle stop = loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace corianderlink

int main(int argc, char** argv) { return corianderlink::Main(argc, argv); }
