// The gateway's promises to clients and upstreams, on real sockets.
#include <gtest/gtest.h>

#include "Gateway/gateway_world.h"

namespace corianderlink {
namespace {

using Exchange = FakeUpstream::Exchange;

void AnswerOk(const Exchange& exchange) {
  exchange->Answer(200, FakeUpstream::Signed(exchange), "ok");
}
void Shed(const Exchange& exchange) {
  exchange->Answer(503, {{"Not-Run", "1"}}, "");
}
std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}
void StartEvents(const Exchange& exchange) {
  exchange->StartAnswer(200, FakeUpstream::Signed(exchange), std::nullopt);
}
/// Sends the events up to `last` after the one that the client has.
void SendEvents(const Exchange& exchange, int last) {
  StartEvents(exchange);
  const std::string resume = FakeUpstream::Field(exchange, "Last-Event-Id");
  const int after = resume.empty() ? 0 : std::stoi(resume);
  for (int id = after + 1; id <= last; ++id) exchange->SendBody(Event(id));
}

class GatewayTest : public ::testing::Test {
 protected:
  GatewayTest() { world_.Configure(); }
  /// Settings of another gateway beside that of the world.
  GatewaySettings SecondSettings() {
    GatewaySettings settings = world_.Settings();
    settings.instance = "g2";
    settings.store = world_.store;
    settings.front = FreeAddress();
    settings.ready = FreeAddress();
    settings.directory = FreeAddress();
    settings.peer = FreeAddress();
    return settings;
  }
  GatewayWorld world_;
};

TEST_F(GatewayTest, RelaysARequestUnchanged) {
  FakeUpstream& shop = world_.AddUpstream("s1", "shop");
  shop.answer = AnswerOk;
  const auto result = world_.Send(
      "POST", "/unsafe/1?q=2",
      {{"Deadline-Ms", "900"}, {"X-Own", "kept"}, {"Kv-Hold", "stolen"}},
      "body");
  world_.Await(result);
  ASSERT_TRUE(result->complete);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(result->body, "ok");
  EXPECT_EQ(result->Field("Server-Stamp"), "1.2.3");
  ASSERT_EQ(shop.requests.size(), 1U);
  const Exchange& got = shop.requests[0];
  EXPECT_EQ(got->head().target, "/unsafe/1?q=2");
  EXPECT_EQ(got->body(), "body");
  EXPECT_EQ(FakeUpstream::Field(got, "X-Own"), "kept");
  EXPECT_EQ(FakeUpstream::Field(got, "Kv-Hold"), "");
  EXPECT_EQ(FakeUpstream::Field(got, "Expect-Instance"), "s1");
  EXPECT_LE(std::stoi(FakeUpstream::Field(got, "Deadline-Ms")), 900);
}

TEST_F(GatewayTest, RefusesTrulyWithoutAConfiguration) {
  GatewayWorld bare;
  const auto result = bare.Send("GET", "/safe/1");
  bare.Await(result);
  EXPECT_EQ(result->status, 503);
  EXPECT_NE(result->Field("Retry-After"), "");
  EXPECT_FALSE(bare.gateway().ready());
}

TEST_F(GatewayTest, UnknownRouteIsNotFound) {
  world_.AddUpstream("s1", "shop");
  const auto result = world_.Send("GET", "/none/1");
  world_.Await(result);
  EXPECT_EQ(result->status, 404);
}

TEST_F(GatewayTest, OlderConfigurationIsIgnored) {
  FakeUpstream& shop = world_.AddUpstream("s1", "shop");
  shop.answer = AnswerOk;
  world_.Configure(7);
  world_.gateway().OnConfigRecords(
      {{"config", R"({"version":6,"routes":[],"services":[]})", 9}});
  const auto result = world_.Send("GET", "/safe/1");
  world_.Await(result);
  EXPECT_EQ(result->status, 200);
}

TEST_F(GatewayTest, MalformedRecordsNameNoUpstream) {
  world_.gateway().OnAllUpstreams(
      {
          {"a", "not json", 1},
          {"b", R"({"service":"shop"})", 1},
          {"c",
           R"({"service":"shop","addr":"x","zone":"z","slots":1,)"
           R"("state":"ready"})",
           1},
          {"d",
           R"({"service":"shop","addr":"127.0.0.1:1","zone":"z",)"
           R"("slots":"many","state":"ready"})",
           1},
          {"e",
           R"({"service":"shop","addr":"127.0.0.1:1","zone":"z",)"
           R"("slots":1,"state":"dreaming"})",
           1},
          {"f", R"([1,2,3])", 1},
      },
      1);
  const auto result = world_.Send("GET", "/safe/1");
  world_.Await(result);
  EXPECT_EQ(result->status, 503);
}

TEST_F(GatewayTest, IdempotentRequestIsRepeatedAfterAFailure) {
  FakeUpstream& a = world_.AddUpstream("s1", "shop");
  FakeUpstream& b = world_.AddUpstream("s2", "shop");
  const auto fail_first = [&](const Exchange& exchange) {
    if (a.requests.size() + b.requests.size() == 1) {
      exchange->Answer(500, FakeUpstream::Signed(exchange), "");
    } else {
      AnswerOk(exchange);
    }
  };
  a.answer = fail_first;
  b.answer = fail_first;
  const auto result = world_.Send("GET", "/safe/1");
  world_.Await(result);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(a.requests.size(), 1U);
  EXPECT_EQ(b.requests.size(), 1U);
}

TEST_F(GatewayTest, NonIdempotentRequestIsNotRepeatedOnceItMayHaveRun) {
  FakeUpstream& a = world_.AddUpstream("s1", "shop");
  FakeUpstream& b = world_.AddUpstream("s2", "shop");
  const auto hang_up = [](const Exchange& exchange) { exchange->Abort(); };
  a.answer = hang_up;
  b.answer = hang_up;
  const auto result = world_.Send("POST", "/unsafe/1", {}, "b");
  world_.Await(result);
  EXPECT_EQ(result->status, 502);
  EXPECT_EQ(result->Field("Server-Stamp"), "");
  EXPECT_EQ(a.requests.size() + b.requests.size(), 1U);
}

TEST_F(GatewayTest, NonIdempotentRequestGoesOnAfterAPromise) {
  FakeUpstream& a = world_.AddUpstream("s1", "shop");
  FakeUpstream& b = world_.AddUpstream("s2", "shop");
  const auto shed_first = [&](const Exchange& exchange) {
    if (a.requests.size() + b.requests.size() == 1) {
      Shed(exchange);
    } else {
      AnswerOk(exchange);
    }
  };
  a.answer = shed_first;
  b.answer = shed_first;
  const auto result = world_.Send("POST", "/unsafe/1", {}, "b");
  world_.Await(result);
  EXPECT_EQ(result->status, 200);
}

TEST_F(GatewayTest, AllShedIsATrueRefusalWithATimeToComeBack) {
  world_.AddUpstream("s1", "shop").answer = Shed;
  world_.AddUpstream("s2", "shop").answer = Shed;
  const auto result = world_.Send("POST", "/unsafe/1", {}, "b");
  world_.Await(result);
  EXPECT_EQ(result->status, 503);
  EXPECT_NE(result->Field("Retry-After"), "");
  EXPECT_EQ(result->Field("Server-Stamp"), "");
}

TEST_F(GatewayTest, SuccessWithoutASignatureIsNotPassedOn) {
  world_.AddUpstream("s1", "shop").answer = [](const Exchange& exchange) {
    exchange->Answer(200, {{"Request-Id", "r1"}}, "forged");
  };
  const auto result = world_.Send("POST", "/unsafe/1", {}, "b");
  world_.Await(result);
  EXPECT_EQ(result->status, 502);
}

TEST_F(GatewayTest, AnswerToAnotherRequestIsNotPassedOn) {
  world_.AddUpstream("s1", "shop").answer = [](const Exchange& exchange) {
    exchange->Answer(200, {{"Request-Id", "other"}, {"Server-Stamp", "1"}},
                     "not yours");
  };
  world_.Configure(2, 300);
  const auto result = world_.Send("POST", "/unsafe/1", {}, "b");
  world_.Await(result);
  EXPECT_EQ(result->status, 504);
  EXPECT_EQ(result->body, "");
}

TEST_F(GatewayTest, RouteTimeoutEndsTheRequestAndTheUpstreamsWork) {
  FakeUpstream& shop = world_.AddUpstream("s1", "shop");
  bool left = false;
  shop.answer = [&](const Exchange& exchange) {
    exchange->on_client_left = [&] { left = true; };
  };
  world_.Configure(2, 200);
  const auto result = world_.Send("POST", "/unsafe/1", {}, "b");
  world_.Await(result);
  EXPECT_EQ(result->status, 504);
  world_.RunFor(milliseconds(50));
  EXPECT_TRUE(left);
}

TEST_F(GatewayTest, LeavingClientFreesTheUpstream) {
  FakeUpstream& shop = world_.AddUpstream("s1", "shop");
  bool left = false;
  shop.answer = [&](const Exchange& exchange) {
    exchange->on_client_left = [&] { left = true; };
  };
  world_.Send("POST", "/unsafe/1", {}, "b");
  world_.RunFor(milliseconds(100));
  ASSERT_EQ(shop.requests.size(), 1U);
  world_.call->Cancel();
  world_.RunFor(milliseconds(100));
  EXPECT_TRUE(left);
}

TEST_F(GatewayTest, StreamGoesOnAtAnotherUpstreamAfterACutWithinAnEvent) {
  FakeUpstream& a = world_.AddUpstream("c1", "chat");
  FakeUpstream& b = world_.AddUpstream("c2", "chat");
  const auto cut_first = [&](const Exchange& exchange) {
    if (a.requests.size() + b.requests.size() > 1) {
      SendEvents(exchange, 4);
      exchange->FinishAnswer();
      return;
    }
    SendEvents(exchange, 2);
    exchange->SendBody("id: 3\nda");
    world_.loop.Post([exchange] { exchange->Abort(); });
  };
  a.answer = cut_first;
  b.answer = cut_first;
  const auto result = world_.Send("POST", "/chat/1", {}, "b");
  world_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, Event(1) + Event(2) + Event(3) + Event(4));
  EXPECT_EQ(a.requests.size() + b.requests.size(), 2U);
}

// The failure of the upstream that should go on was passed on as the rest of
// the stream, with its end.
TEST_F(GatewayTest, FailureOfTheSecondUpstreamIsNotTheEndOfAStream) {
  FakeUpstream& a = world_.AddUpstream("c1", "chat");
  FakeUpstream& b = world_.AddUpstream("c2", "chat");
  EventHandle later;
  const auto cut_then_fail = [&](const Exchange& exchange) {
    if (a.requests.size() + b.requests.size() > 1) {
      exchange->Answer(500, FakeUpstream::Signed(exchange), "oops");
      return;
    }
    SendEvents(exchange, 2);
    later =
        world_.loop.After(milliseconds(30), [exchange] { exchange->Abort(); });
  };
  a.answer = cut_then_fail;
  b.answer = cut_then_fail;
  const auto result = world_.Send("POST", "/chat/1", {}, "b");
  world_.Await(result);
  EXPECT_FALSE(result->complete);
  EXPECT_EQ(result->body, Event(1) + Event(2));
}

// A stalled stream was cut although no other upstream could go on with it.
TEST_F(GatewayTest, StalledStreamIsNotCutWhileNoOtherUpstreamCanGoOn) {
  FakeUpstream& only = world_.AddUpstream("c1", "chat");
  EventHandle later;
  only.answer = [&](const Exchange& exchange) {
    SendEvents(exchange, 1);
    later = world_.loop.After(milliseconds(1500), [exchange] {
      exchange->SendBody(Event(2));
      exchange->FinishAnswer();
    });
  };
  const auto result = world_.Send("POST", "/chat/1", {}, "b");
  world_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, Event(1) + Event(2));
  EXPECT_EQ(only.requests.size(), 1U);
}

TEST_F(GatewayTest, StalledStreamGoesOnAtAnotherUpstream) {
  FakeUpstream& a = world_.AddUpstream("c1", "chat");
  FakeUpstream& b = world_.AddUpstream("c2", "chat");
  const auto stall_first = [&](const Exchange& exchange) {
    SendEvents(exchange, a.requests.size() + b.requests.size() > 1 ? 3 : 1);
    if (a.requests.size() + b.requests.size() > 1) exchange->FinishAnswer();
  };
  a.answer = stall_first;
  b.answer = stall_first;
  const auto result = world_.Send("POST", "/chat/1", {}, "b");
  world_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, Event(1) + Event(2) + Event(3));
}

TEST_F(GatewayTest, StreamThatMayNotBeResumedLooksCut) {
  EventHandle later;
  world_.AddUpstream("m1", "model", "decode").answer =
      [&](const Exchange& exchange) {
        SendEvents(exchange, 1);
        later = world_.loop.After(milliseconds(30),
                                  [exchange] { exchange->Abort(); });
      };
  const auto result =
      world_.Send("POST", "/model/1", {{"Token-Count", "100,10"}}, "b");
  world_.Await(result);
  EXPECT_TRUE(result->failed);
  EXPECT_FALSE(result->complete);
}

class TwoStageTest : public GatewayTest {
 protected:
  TwoStageTest() {
    prefill_.answer = [this](const Exchange& exchange) {
      if (exchange->head().method == "DELETE") {
        freed_ = exchange->head().target;
        exchange->Answer(200, {}, "");
        return;
      }
      HeaderFields fields = FakeUpstream::Signed(exchange);
      exchange->Answer(200, fields,
                       R"({"handle":"h7","tokens":9,"version":1})");
    };
  }
  std::shared_ptr<ClientResult> SendPrompt() {
    return world_.Send(
        "POST", "/model/1",
        {{"Token-Count", "6000,10"}, {"Prompt-Prefix", "a1:2000,b2:4000"}},
        "b");
  }

  FakeUpstream& prefill_ = world_.AddUpstream("p1", "model", "prefill");
  FakeUpstream& decode_ = world_.AddUpstream("d1", "model", "decode");
  std::string freed_;
};

TEST_F(TwoStageTest, PromptIsComputedApartAndTakenOver) {
  decode_.answer = [](const Exchange& exchange) {
    SendEvents(exchange, 2);
    exchange->FinishAnswer();
  };
  const auto result = SendPrompt();
  world_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, Event(1) + Event(2));
  ASSERT_EQ(prefill_.requests.size(), 1U);
  EXPECT_EQ(FakeUpstream::Field(prefill_.requests[0], "Stage"), "prefill");
  ASSERT_EQ(decode_.requests.size(), 1U);
  EXPECT_EQ(FakeUpstream::Field(decode_.requests[0], "Stage"), "");
  EXPECT_EQ(FakeUpstream::Field(decode_.requests[0], "Kv-From"),
            prefill_.address.ToString() + "/h7");
  EXPECT_EQ(freed_, "");
}

TEST_F(TwoStageTest, LeavingClientFreesTheComputedPrompt) {
  decode_.answer = [](const Exchange&) {};
  SendPrompt();
  world_.RunFor(milliseconds(100));
  ASSERT_EQ(decode_.requests.size(), 1U);
  world_.call->Cancel();
  world_.RunFor(milliseconds(100));
  EXPECT_EQ(freed_, "/kv-handle/h7");
}

// The client of a started stream was left without an end when no decode engine
// was there to take the prompt over.
TEST_F(TwoStageTest, StartedStreamWaitsForADecodeEngine) {
  EventHandle later;
  decode_.answer = [&](const Exchange& exchange) {
    if (decode_.requests.size() > 1) {
      SendEvents(exchange, 3);
      exchange->FinishAnswer();
      return;
    }
    SendEvents(exchange, 1);
    later =
        world_.loop.After(milliseconds(30), [exchange] { exchange->Abort(); });
  };
  const auto result = world_.Send(
      "POST", "/long/1",
      {{"Token-Count", "6000,10"}, {"Prompt-Prefix", "a1:2000,b2:4000"}}, "b");
  world_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, Event(1) + Event(2) + Event(3));
}

TEST_F(TwoStageTest, LostHandleIsFollowedByAWholeRun) {
  decode_.answer = [&](const Exchange& exchange) {
    if (!FakeUpstream::Field(exchange, "Kv-From").empty()) {
      Shed(exchange);
      return;
    }
    SendEvents(exchange, 1);
    exchange->FinishAnswer();
  };
  FakeUpstream& other = world_.AddUpstream("d2", "model", "decode");
  other.answer = decode_.answer;
  const auto result = SendPrompt();
  world_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, Event(1));
}

// A gateway that starts while the store is away learns from its peer.
TEST_F(GatewayTest, StartsFromAPeerWithoutTheStore) {
  FakeUpstream& shop = world_.AddUpstream("s1", "shop");
  shop.answer = AnswerOk;
  const GatewaySettings settings = SecondSettings();
  Gateway second(world_.loop, settings, platform::MakeCodecs());
  std::string reason;
  ASSERT_TRUE(second.Start(reason)) << reason;
  EXPECT_FALSE(second.ready());
  second.OnGatewayRecords({world_.gateway().OwnRecord()});
  for (int i = 0; i < 200 && !second.ready(); ++i) {
    world_.RunFor(milliseconds(10));
  }
  EXPECT_TRUE(second.ready());
  // The peer hears of a draining upstream that the store does not tell of here.
  world_.gateway().OnUpstreamChanges(
      {{"s1",
        R"({"service":"shop","addr":")" + shop.address.ToString() +
            R"(","zone":"z","slots":4,"state":"draining"})",
        100}},
      100);
  world_.RunFor(milliseconds(900));
  world_.front = settings.front;
  const auto refused = world_.Send("GET", "/safe/1");
  world_.Await(refused);
  EXPECT_EQ(refused->status, 503);
}

TEST_F(GatewayTest, ServesAfterAStartFromAPeer) {
  FakeUpstream& shop = world_.AddUpstream("s1", "shop");
  shop.answer = AnswerOk;
  const GatewaySettings settings = SecondSettings();
  Gateway second(world_.loop, settings, platform::MakeCodecs());
  std::string reason;
  ASSERT_TRUE(second.Start(reason)) << reason;
  second.OnGatewayRecords({world_.gateway().OwnRecord()});
  for (int i = 0; i < 200 && !second.ready(); ++i) {
    world_.RunFor(milliseconds(10));
  }
  world_.front = settings.front;
  const auto result = world_.Send("GET", "/safe/1");
  world_.Await(result);
  EXPECT_EQ(result->status, 200);
}

TEST_F(GatewayTest, PlannedStopFinishesWhatWasBegun) {
  FakeUpstream& shop = world_.AddUpstream("s1", "shop");
  EventHandle later;
  shop.answer = [&](const Exchange& exchange) {
    later = world_.loop.After(milliseconds(300),
                              [exchange] { AnswerOk(exchange); });
  };
  const auto result = world_.Send("POST", "/unsafe/1", {}, "b");
  world_.RunFor(milliseconds(100));
  EXPECT_TRUE(world_.gateway().ready());
  world_.gateway().BeginShutdown();
  EXPECT_FALSE(world_.gateway().ready());
  world_.Await(result);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(result->Field("Connection"), "close");
}

}  // namespace
}  // namespace corianderlink
