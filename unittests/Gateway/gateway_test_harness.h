// Test harness that runs a gateway, fake upstreams and a client on loopback
// sockets in one event loop.
#ifndef CORIANDERLINK_UNITTESTS_GATEWAY_GATEWAY_TEST_HARNESS_H_
#define CORIANDERLINK_UNITTESTS_GATEWAY_GATEWAY_TEST_HARNESS_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/free_address.h"
#include "corianderlink/Gateway/gateway.h"
#include "corianderlink/Http/inbound_server.h"
#include "corianderlink/Http1/upstream_pool.h"
#include "platform/codecs.h"

namespace corianderlink {

/// An upstream that records its requests and leaves the responses to the test.
class FakeUpstream {
 public:
  using Exchange = std::shared_ptr<InboundExchange>;

  FakeUpstream(EventLoop& loop, std::string id_text)
      : id(std::move(id_text)),
        address(FreeAddress()),
        server_(loop, 1000, [this](const Exchange& exchange) {
          requests.push_back(exchange);
          if (on_request) on_request(exchange);
        }) {
    server_.Listen(address);
  }

  /// Header fields of a signed response to `exchange`.
  static HeaderFields Signed(const Exchange& exchange) {
    const std::string* request_id =
        FindField(exchange->head().fields, "Request-Id");
    return {{"Request-Id", request_id == nullptr ? "" : *request_id},
            {"Server-Stamp", "1.2.3"}};
  }
  /// Value of a header field of the request; empty if absent.
  static std::string Field(const Exchange& exchange, const char* name) {
    const std::string* value = FindField(exchange->head().fields, name);
    return value == nullptr ? "" : *value;
  }

  const std::string id;
  const Address address;
  /// Handles a request.  If not set, the upstream does not respond.
  std::function<void(const Exchange&)> on_request;
  /// All requests received so far.
  std::vector<Exchange> requests;

 private:
  InboundServer server_;
};

/// The response as the client received it.
struct ClientResult {
  int status = 0;
  std::string body;
  HeaderFields fields;
  /// The response was received to its end.
  bool complete = false;
  /// The connection failed before the end of the response.
  bool failed = false;
  std::string Field(const char* name) const {
    const std::string* value = FindField(fields, name);
    return value == nullptr ? "" : *value;
  }
};

/// A gateway with its client and upstreams.
class GatewayTestHarness {
 public:
  GatewayTestHarness()
      : gateway_(loop, MakeSettings(), platform::MakeCodecs()) {
    std::string reason;
    started = gateway_.Start(reason);
    // No other gateways.
    gateway_.OnGatewayRecords({gateway_.OwnRecord()});
  }

  /// Applies a configuration with a route of each kind, all of which have the
  /// same timeout.
  void Configure(int version = 1, int timeout_ms = 3000) {
    const std::string timeout = std::to_string(timeout_ms);
    const auto route = [&](const char* name, const char* kind,
                           const char* service, const char* extra_fields) {
      return std::string(R"({"name":")") + name +
             R"(","host":"h.example","prefix":"/)" + name + R"(/","kind":")" +
             kind + R"(","timeout_ms":)" + timeout +
             R"(,"slo_ms":100,"priority":1,"service":")" + service + "\"" +
             extra_fields + "}";
    };
    const std::string config =
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
        route("safe", "safe", "shop", R"(,"attempts":2)") + "," +
        route("unsafe", "unsafe", "shop", R"(,"attempts":1)") + "," +
        route("chat", "stream", "chat",
              R"(,"attempts":3,"resumable":true,"gap_aim_ms":50)") +
        "," +
        route("model", "stream", "model", R"(,"attempts":1,"sticky":true)") +
        "," +
        route("long", "stream", "model",
              R"(,"attempts":3,"resumable":true,"gap_aim_ms":50)") +
        R"(],"services":[{"name":"shop","max_conns":10},)"
        R"({"name":"chat","max_conns":10},)"
        R"({"name":"model","max_conns":10,"engine":{"slots":4,)"
        R"("kv_capacity":100000,"kv_token_bytes":1000,"link_mbps":1000000}}]})";
    gateway_.OnConfigRecords({{"config", config, 1}});
  }

  /// Starts an upstream and adds it to the gateway's list.  `phase` is the role
  /// of a model engine.
  FakeUpstream& AddUpstream(const std::string& id, const std::string& service,
                            const std::string& phase = "") {
    upstreams_.push_back(std::make_unique<FakeUpstream>(loop, id));
    RegisterUpstream(id, service, phase, upstreams_.back()->address);
    return *upstreams_.back();
  }

  /// Adds an upstream at `address` to the gateway's list.
  void RegisterUpstream(const std::string& id, const std::string& service,
                        const std::string& phase, const Address& address) {
    const std::string record =
        R"({"service":")" + service + R"(","addr":")" + address.ToString() +
        R"(","zone":"z","slots":4,"state":"ready")" +
        (phase.empty() ? "" : R"(,"phase":")" + phase + "\"") + "}";
    gateway_.OnAllUpstreams(records_, {1, ++store_version_});
    records_.push_back({id, record, 1});
    gateway_.OnAllUpstreams(records_, {1, ++store_version_});
  }

  /// Sends a request of the client; the result is filled in as it arrives.
  std::shared_ptr<ClientResult> Send(const std::string& method,
                                     const std::string& target,
                                     HeaderFields fields = {},
                                     const std::string& body = "",
                                     const std::string& request_id = "r1") {
    auto result = std::make_shared<ClientResult>();
    UpstreamRequest request;
    request.address = front;
    request.method = method;
    request.target = target;
    fields.push_back({"Host", "h.example"});
    fields.push_back({"Request-Id", request_id});
    request.fields = std::move(fields);
    request.body = body;
    // Any response on a kept connection counts, whatever it names.
    request.id = std::to_string(++requests_);
    request.named_request = [id = request.id](const ResponseHead&) {
      return id;
    };
    UpstreamHandlers handlers;
    handlers.on_head = [result](const ResponseHead& head) {
      result->status = head.status;
      result->fields = head.fields;
    };
    handlers.on_body = [result](const std::string& data) {
      result->body += data;
    };
    handlers.on_end = [result] { result->complete = true; };
    handlers.on_fail = [result](const Outcome&) { result->failed = true; };
    call = client_.Start(std::move(request), std::move(handlers));
    return result;
  }

  void RunFor(Duration time) {
    const EventHandle stop = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
  /// Runs the loop until the result is final, for at most three seconds.
  void Await(const std::shared_ptr<ClientResult>& result) {
    for (int i = 0; i < 300 && !result->complete && !result->failed; ++i) {
      RunFor(milliseconds(10));
    }
  }

  /// Settings of the gateway.
  GatewaySettings MakeSettings() {
    GatewaySettings settings;
    settings.instance = "g1";
    settings.zone = ZoneId("z");
    settings.front = front;
    settings.ready = ready;
    settings.directory = directory;
    settings.peer = FreeAddress();
    settings.admin = FreeAddress();
    settings.store = store;
    settings.max_descriptors = 4000;
    settings.memory_bytes = size_t{64} * 1024 * 1024;
    settings.stop_grace = seconds(2);
    settings.retries = {0.2, 50, seconds(10)};
    return settings;
  }

  Gateway& gateway() { return gateway_; }

  EventLoop loop;
  Address front = FreeAddress();
  Address ready = FreeAddress();
  Address directory = FreeAddress();
  Address store = FreeAddress();
  bool started = false;
  /// The client's latest request.
  std::shared_ptr<UpstreamCall> call;

 private:
  Gateway gateway_;
  UpstreamPool client_{loop};
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::vector<StoreRecord> records_;
  uint64_t store_version_ = 0;
  // Requests of the client.
  int requests_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_GATEWAY_GATEWAY_TEST_HARNESS_H_
