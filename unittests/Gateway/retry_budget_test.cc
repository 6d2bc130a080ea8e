// The retry budget against the upstreams' own record: each arrival beyond a
// request's free ones is charged, on each path of a request.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "Gateway/gateway_fleet.h"

namespace corianderlink {
namespace {

using Exchange = FakeUpstream::Exchange;

/// What an upstream does with a request.
enum class Reaction {
  kAnswer,
  /// Says that it did not run the request.
  kRefuse,
  /// Resets the connection.
  kReset,
  kError,
  /// Answers without a signature.
  kUnsigned,
  /// Sends two events and resets the connection.
  kBreak,
  kSilence,
};

/// The record of all upstreams of a service: what has arrived of each request.
class ArrivalRecord {
 public:
  void Add(const Exchange& exchange, Reaction reaction) {
    Arrivals& arrivals =
        by_request_[FakeUpstream::Field(exchange, "Request-Id")];
    ++arrivals.count;
    const bool is_prefill = FakeUpstream::Field(exchange, "Stage") == "prefill";
    if (is_prefill && reaction != Reaction::kRefuse) arrivals.prefilled = true;
  }
  /// Arrivals beyond the first of each request, where the first prefill that an
  /// upstream has accepted does not count.
  int Extra() const {
    int extra = 0;
    for (const auto& [request, arrivals] : by_request_) {
      const int counted = arrivals.count - (arrivals.prefilled ? 1 : 0);
      extra += std::max(0, counted - 1);
    }
    return extra;
  }

 private:
  struct Arrivals {
    int count = 0;
    bool prefilled = false;
  };
  std::map<std::string, Arrivals> by_request_;
};

/// Upstreams that react in turn as a test says, and then answer.
class ScriptedUpstreams {
 public:
  explicit ScriptedUpstreams(EventLoop& loop) : loop_(loop) {}

  void Serve(const Exchange& exchange) {
    if (exchange->head().method != "POST") {
      exchange->SendResponse(200, {}, "{}");
      return;
    }
    const bool is_prefill = FakeUpstream::Field(exchange, "Stage") == "prefill";
    const Reaction reaction = Next(is_prefill ? prefills : runs);
    record.Add(exchange, reaction);
    switch (reaction) {
      case Reaction::kAnswer:
        Answer(exchange, is_prefill);
        break;
      case Reaction::kRefuse:
        exchange->SendResponse(503, {{"Not-Run", "1"}}, "");
        break;
      case Reaction::kReset:
        exchange->Abort();
        break;
      case Reaction::kError:
        exchange->SendResponse(500, FakeUpstream::Signed(exchange), "");
        break;
      case Reaction::kUnsigned:
        exchange->SendResponse(200, {}, "x");
        break;
      case Reaction::kBreak:
        SendEvents(exchange, 2);
        timers_.push_back(
            loop_.After(milliseconds(30), [exchange] { exchange->Abort(); }));
        break;
      case Reaction::kSilence:
        break;
    }
  }

  /// Reactions to calls that only have the prompt read, and to all others.
  std::deque<Reaction> prefills;
  std::deque<Reaction> runs;
  /// All that comes after these.
  Reaction last = Reaction::kAnswer;
  ArrivalRecord record;

 private:
  Reaction Next(std::deque<Reaction>& reactions) {
    if (reactions.empty()) return last;
    const Reaction reaction = reactions.front();
    reactions.pop_front();
    return reaction;
  }
  void Answer(const Exchange& exchange, bool is_prefill) {
    if (is_prefill) {
      exchange->SendResponse(200, FakeUpstream::Signed(exchange),
                             R"({"handle":"h7","tokens":9,"version":1})");
      return;
    }
    const bool is_stream = exchange->head().target.find("/safe/") != 0;
    if (!is_stream) {
      exchange->SendResponse(200, FakeUpstream::Signed(exchange), "ok");
      return;
    }
    SendEvents(exchange, 5);
    exchange->CompleteResponse();
  }
  static void SendEvents(const Exchange& exchange, int last_event) {
    const std::string after = FakeUpstream::Field(exchange, "Last-Event-Id");
    exchange->StartResponse(200, FakeUpstream::Signed(exchange), std::nullopt);
    for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= last_event;
         ++id) {
      exchange->SendBody("id: " + std::to_string(id) + "\ndata: x\n\n");
    }
  }

  EventLoop& loop_;
  std::vector<EventHandle> timers_;
};

/// Retries charged to the budget, less those that were given back.
int Charges(const Gateway& gateway) {
  const Metrics& metrics = gateway.metrics();
  return static_cast<int>(metrics.Value("gateway_retry_charges_total") -
                          metrics.Value("gateway_retry_refunds_total"));
}

HeaderFields PromptFields() {
  return {{"Token-Count", "6000,10"}, {"Prompt-Prefix", "a1:2000,b2:4000"}};
}

class SplitEnginesTest : public ::testing::Test {
 protected:
  SplitEnginesTest() {
    harness_.Configure();
    for (const char* id : {"p1", "p2", "p3"}) Add(id, "model", "prefill");
    for (const char* id : {"d1", "d2", "d3"}) Add(id, "model", "decode");
    for (const char* id : {"s1", "s2", "s3"}) Add(id, "shop", "");
  }
  void Add(const char* id, const char* service, const char* phase) {
    harness_.AddUpstream(id, service, phase).on_request =
        [this](const Exchange& exchange) { upstreams_.Serve(exchange); };
  }

  GatewayTestHarness harness_;
  ScriptedUpstreams upstreams_{harness_.loop};
};

// Guards against split prompts that are repeated with two calls for one charge.
TEST_F(SplitEnginesTest, RepeatsStayWithinTheRetryBudget) {
  constexpr int kRequests = 100;
  GatewaySettings settings = harness_.MakeSettings();
  settings.retries = {0.2, 5, seconds(10)};
  harness_.gateway().Reload(settings);
  std::vector<std::shared_ptr<ClientResult>> results;
  for (int i = 0; i < kRequests; ++i) {
    // Every second run is reset.
    upstreams_.runs = {Reaction::kReset, Reaction::kAnswer};
    results.push_back(harness_.Send("POST", "/long/1", PromptFields(),
                                    "b" + std::to_string(i),
                                    "r" + std::to_string(i)));
    harness_.Await(results.back());
  }
  EXPECT_LE(upstreams_.record.Extra(),
            settings.retries.ratio * kRequests + settings.retries.slack);
  // The budget is of use.
  EXPECT_GE(std::count_if(results.begin(), results.end(),
                          [](const auto& result) { return result->complete; }),
            5);
}

/// A way of one request, and the arrivals beyond its free ones.
struct Path {
  const char* name;
  const char* target;
  std::deque<Reaction> prefills;
  std::deque<Reaction> runs;
  /// The client gets a whole answer of an upstream.
  bool is_answered = true;
};

std::ostream& operator<<(std::ostream& out, const Path& path) {
  return out << path.name;
}

class ChargedPathTest : public SplitEnginesTest,
                        public ::testing::WithParamInterface<Path> {};

// Guards against arrivals that the retry budget does not know of.
TEST_P(ChargedPathTest, EachRepeatedArrivalIsCharged) {
  const Path& path = GetParam();
  upstreams_.prefills = path.prefills;
  upstreams_.runs = path.runs;
  const auto result = harness_.Send("POST", path.target, PromptFields(), "b");
  harness_.Await(result);
  const bool is_answered = result->complete && result->status == 200;
  EXPECT_EQ(is_answered, path.is_answered) << "status " << result->status;
  EXPECT_EQ(Charges(harness_.gateway()), upstreams_.record.Extra());
}

const Path kPaths[] = {
    {"FirstSend", "/safe/1", {}, {}},
    {"PlainReset", "/safe/1", {}, {Reaction::kReset}},
    {"PlainRefused", "/safe/1", {}, {Reaction::kRefuse}},
    {"PlainRefusedTwice",
     "/safe/1",
     {},
     {Reaction::kRefuse, Reaction::kRefuse}},
    {"PlainError", "/safe/1", {}, {Reaction::kError}},
    {"PlainUnsigned", "/safe/1", {}, {Reaction::kUnsigned}},
    {"PlainSilence", "/safe/1", {}, {Reaction::kSilence}},
    {"SplitFirstSend", "/long/1", {}, {}},
    {"PrefillRefused", "/long/1", {Reaction::kRefuse}, {}},
    {"PrefillReset", "/long/1", {Reaction::kReset}, {}},
    {"PrefillResetTwice", "/long/1", {Reaction::kReset, Reaction::kReset}, {}},
    {"PrefillSilent", "/long/1", {Reaction::kSilence}, {}},
    {"PrefillError", "/long/1", {Reaction::kError}, {}},
    {"DecodeReset", "/long/1", {}, {Reaction::kReset}},
    {"DecodeResetTwice", "/long/1", {}, {Reaction::kReset, Reaction::kReset}},
    {"DecodeRefused", "/long/1", {}, {Reaction::kRefuse}},
    {"DecodeRefusedAndReset",
     "/long/1",
     {},
     {Reaction::kRefuse, Reaction::kReset}},
    {"DecodeError", "/long/1", {}, {Reaction::kError}},
    {"DecodeUnsigned", "/long/1", {}, {Reaction::kUnsigned}},
    {"StreamBroken", "/long/1", {}, {Reaction::kBreak}},
    {"StreamBrokenTwice", "/long/1", {}, {Reaction::kBreak, Reaction::kReset}},
    {"PrefillRefusedAndDecodeReset",
     "/long/1",
     {Reaction::kRefuse},
     {Reaction::kReset}},
    {"SecondPrefillRefused",
     "/long/1",
     {Reaction::kAnswer, Reaction::kRefuse},
     {Reaction::kReset}},
    {"NotRepeatable", "/model/1", {}, {Reaction::kReset}, false},
};

INSTANTIATE_TEST_SUITE_P(Paths, ChargedPathTest, ::testing::ValuesIn(kPaths),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

constexpr char kFleetConfig[] =
    R"({"version":4,"routes":[{"name":"s","host":"h.example",)"
    R"("prefix":"/safe/","kind":"safe","timeout_ms":2500,"slo_ms":150,)"
    R"("priority":1,"service":"shop","attempts":3}],)"
    R"("services":[{"name":"shop","max_conns":50,"health_path":"/health"}]})";

// Guards against peers that take a request which is handed on to them as a
// first attempt, though a peer before them has sent it.
TEST(ForwardedRequestTest, RepeatsAtASecondPeerAreCharged) {
  constexpr size_t kGateways = 3;
  GatewayTestHarness harness;
  GatewayFleet fleet(harness, kFleetConfig);
  ScriptedUpstreams script(harness.loop);
  script.last = Reaction::kRefuse;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams;
  for (const char* id : {"s1", "s2", "s3"}) {
    upstreams.push_back(
        fleet.AddUpstream(id, R"("service":"shop","version":"v1","slots":8)"));
    upstreams.back()->on_request = [&script](const Exchange& exchange) {
      script.Serve(exchange);
    };
  }
  fleet.Start(kGateways);
  fleet.PartitionFromUpstreams(
      0, [](const std::string&) { return FreeAddress(); });
  harness.front = fleet.fronts()[0];
  for (int i = 0; i < 5; ++i) {
    harness.Await(harness.Send("POST", "/safe/1", {{"Deadline-Ms", "2500"}},
                               "b" + std::to_string(i),
                               "r" + std::to_string(i)));
  }
  int charges = 0;
  for (size_t i = 0; i < kGateways; ++i) charges += Charges(fleet.gateway(i));
  EXPECT_GT(script.record.Extra(), 10);
  EXPECT_GE(charges, script.record.Extra());
}

}  // namespace
}  // namespace corianderlink
