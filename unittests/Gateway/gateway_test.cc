// Tests the gateway over loopback sockets: forwarding, retries, streams,
// prefill and decode on separate engines, start without the store, and
// shutdown.
#include <gtest/gtest.h>

#include <thread>

#include "Common/hanging_address.h"
#include "Common/raw_tcp_server.h"
#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

using Exchange = FakeUpstream::Exchange;

void RespondOk(const Exchange& exchange) {
  exchange->SendResponse(200, FakeUpstream::Signed(exchange), "ok");
}
/// Responds that the request did not run.
void RefuseNotRun(const Exchange& exchange) {
  exchange->SendResponse(503, {{"Not-Run", "1"}}, "");
}
void WriteText(int fd, const std::string& text) {
  const ssize_t n = write(fd, text.data(), text.size());
  (void)n;
}
std::string MakeEvent(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}
void StartEventStream(const Exchange& exchange) {
  exchange->StartResponse(200, FakeUpstream::Signed(exchange), std::nullopt);
}
/// Starts a stream and sends the events after the last one that the client has
/// received, up to `last`.
void SendEvents(const Exchange& exchange, int last) {
  StartEventStream(exchange);
  const std::string resume = FakeUpstream::Field(exchange, "Last-Event-Id");
  const int after = resume.empty() ? 0 : std::stoi(resume);
  for (int id = after + 1; id <= last; ++id) exchange->SendBody(MakeEvent(id));
}

class GatewayTest : public ::testing::Test {
 protected:
  GatewayTest() { harness_.Configure(); }
  /// Settings of a second gateway that uses the same store.
  GatewaySettings MakeSecondSettings() {
    GatewaySettings settings = harness_.MakeSettings();
    settings.instance = "g2";
    settings.store = harness_.store;
    settings.front = FreeAddress();
    settings.ready = FreeAddress();
    settings.directory = FreeAddress();
    settings.peer = FreeAddress();
    return settings;
  }
  GatewayTestHarness harness_;
};

TEST_F(GatewayTest, ForwardsARequestUnchanged) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  upstream.on_request = RespondOk;
  const auto result = harness_.Send(
      "POST", "/unsafe/1?q=2",
      {{"Deadline-Ms", "900"}, {"X-Own", "kept"}, {"Kv-Hold", "stolen"}},
      "body");
  harness_.Await(result);
  ASSERT_TRUE(result->complete);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(result->body, "ok");
  EXPECT_EQ(result->Field("Server-Stamp"), "1.2.3");
  ASSERT_EQ(upstream.requests.size(), 1U);
  const Exchange& received = upstream.requests[0];
  EXPECT_EQ(received->head().target, "/unsafe/1?q=2");
  EXPECT_EQ(received->body(), "body");
  EXPECT_EQ(FakeUpstream::Field(received, "X-Own"), "kept");
  EXPECT_EQ(FakeUpstream::Field(received, "Kv-Hold"), "");
  EXPECT_EQ(FakeUpstream::Field(received, "Expect-Instance"), "s1");
  EXPECT_LE(std::stoi(FakeUpstream::Field(received, "Deadline-Ms")), 900);
}

TEST_F(GatewayTest, ServerErrorArrivesIfNoOtherUpstreamCanRun) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  upstream.on_request = [](const Exchange& exchange) {
    exchange->SendResponse(500, FakeUpstream::Signed(exchange), "why");
  };
  const auto result = harness_.Send("GET", "/safe/1");
  harness_.Await(result);
  EXPECT_EQ(result->status, 500);
  EXPECT_EQ(result->body, "why");
  EXPECT_EQ(result->Field("Server-Stamp"), "1.2.3");
}

TEST_F(GatewayTest, ClientCannotPassItsRequestOffAsForwarded) {
  FakeUpstream& first = harness_.AddUpstream("s1", "shop");
  FakeUpstream& second = harness_.AddUpstream("s2", "shop");
  const auto fail = [](const Exchange& exchange) {
    exchange->SendResponse(500, FakeUpstream::Signed(exchange), "");
  };
  first.on_request = fail;
  second.on_request = fail;
  harness_.Await(
      harness_.Send("POST", "/safe/1", {{"Gateway-Forwarding", "0"}}, "b"));
  ASSERT_EQ(first.requests.size() + second.requests.size(), 2U);
  EXPECT_EQ(FakeUpstream::Field(first.requests[0], "Gateway-Forwarding"), "");
}

TEST_F(GatewayTest, RefusesWithRetryAfterWithoutAConfiguration) {
  GatewayTestHarness unconfigured;
  const auto result = unconfigured.Send("GET", "/safe/1");
  unconfigured.Await(result);
  EXPECT_EQ(result->status, 503);
  EXPECT_NE(result->Field("Retry-After"), "");
  EXPECT_FALSE(unconfigured.gateway().ready());
}

TEST_F(GatewayTest, UnknownRouteGives404) {
  harness_.AddUpstream("s1", "shop");
  const auto result = harness_.Send("GET", "/none/1");
  harness_.Await(result);
  EXPECT_EQ(result->status, 404);
}

TEST_F(GatewayTest, OlderConfigurationIsIgnored) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  upstream.on_request = RespondOk;
  harness_.Configure(7);
  harness_.gateway().OnConfigRecords(
      {{"config", R"({"version":6,"routes":[],"services":[]})", 9}});
  const auto result = harness_.Send("GET", "/safe/1");
  harness_.Await(result);
  EXPECT_EQ(result->status, 200);
}

TEST_F(GatewayTest, MalformedUpstreamRecordsAreSkipped) {
  harness_.gateway().OnAllUpstreams(
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
      {1, 1});
  const auto result = harness_.Send("GET", "/safe/1");
  harness_.Await(result);
  EXPECT_EQ(result->status, 503);
}

TEST_F(GatewayTest, IdempotentRequestIsRetriedAfterAFailure) {
  FakeUpstream& a = harness_.AddUpstream("s1", "shop");
  FakeUpstream& b = harness_.AddUpstream("s2", "shop");
  const auto fail_first = [&](const Exchange& exchange) {
    if (a.requests.size() + b.requests.size() == 1) {
      exchange->SendResponse(500, FakeUpstream::Signed(exchange), "");
    } else {
      RespondOk(exchange);
    }
  };
  a.on_request = fail_first;
  b.on_request = fail_first;
  const auto result = harness_.Send("GET", "/safe/1");
  harness_.Await(result);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(a.requests.size(), 1U);
  EXPECT_EQ(b.requests.size(), 1U);
}

TEST_F(GatewayTest, NonIdempotentRequestIsNotRetriedIfItMayHaveRun) {
  FakeUpstream& a = harness_.AddUpstream("s1", "shop");
  FakeUpstream& b = harness_.AddUpstream("s2", "shop");
  const auto abort_connection = [](const Exchange& exchange) {
    exchange->Abort();
  };
  a.on_request = abort_connection;
  b.on_request = abort_connection;
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.Await(result);
  EXPECT_EQ(result->status, 502);
  EXPECT_EQ(result->Field("Server-Stamp"), "");
  EXPECT_EQ(a.requests.size() + b.requests.size(), 1U);
}

TEST_F(GatewayTest, NonIdempotentRequestIsRetriedIfItDidNotRun) {
  FakeUpstream& a = harness_.AddUpstream("s1", "shop");
  FakeUpstream& b = harness_.AddUpstream("s2", "shop");
  const auto refuse_first = [&](const Exchange& exchange) {
    if (a.requests.size() + b.requests.size() == 1) {
      RefuseNotRun(exchange);
    } else {
      RespondOk(exchange);
    }
  };
  a.on_request = refuse_first;
  b.on_request = refuse_first;
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.Await(result);
  EXPECT_EQ(result->status, 200);
}

TEST_F(GatewayTest, RefusalByAllUpstreamsGives503WithRetryAfter) {
  harness_.AddUpstream("s1", "shop").on_request = RefuseNotRun;
  harness_.AddUpstream("s2", "shop").on_request = RefuseNotRun;
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.Await(result);
  EXPECT_EQ(result->status, 503);
  EXPECT_NE(result->Field("Retry-After"), "");
  EXPECT_EQ(result->Field("Server-Stamp"), "");
}

TEST_F(GatewayTest, UnsignedResponseIsNotForwarded) {
  harness_.AddUpstream("s1", "shop").on_request = [](const Exchange& exchange) {
    exchange->SendResponse(200, {{"Request-Id", "r1"}}, "forged");
  };
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.Await(result);
  EXPECT_EQ(result->status, 502);
}

TEST_F(GatewayTest, ResponseToAnotherRequestIsNotForwarded) {
  harness_.AddUpstream("s1", "shop").on_request = [](const Exchange& exchange) {
    exchange->SendResponse(
        200, {{"Request-Id", "other"}, {"Server-Stamp", "1"}}, "not yours");
  };
  harness_.Configure(2, 300);
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.Await(result);
  EXPECT_EQ(result->status, 504);
  EXPECT_EQ(result->body, "");
}

TEST_F(GatewayTest, RouteTimeoutCancelsTheUpstreamRequest) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  bool disconnected = false;
  upstream.on_request = [&](const Exchange& exchange) {
    exchange->on_client_disconnected = [&] { disconnected = true; };
  };
  harness_.Configure(2, 200);
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.Await(result);
  EXPECT_EQ(result->status, 504);
  harness_.RunFor(milliseconds(50));
  EXPECT_TRUE(disconnected);
}

TEST_F(GatewayTest, ClientDisconnectCancelsTheUpstreamRequest) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  bool disconnected = false;
  upstream.on_request = [&](const Exchange& exchange) {
    exchange->on_client_disconnected = [&] { disconnected = true; };
  };
  harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.RunFor(milliseconds(100));
  ASSERT_EQ(upstream.requests.size(), 1U);
  harness_.call->Cancel();
  harness_.RunFor(milliseconds(100));
  EXPECT_TRUE(disconnected);
}

TEST_F(GatewayTest, StreamCutWithinAnEventResumesAtAnotherUpstream) {
  FakeUpstream& a = harness_.AddUpstream("c1", "chat");
  FakeUpstream& b = harness_.AddUpstream("c2", "chat");
  const auto abort_first = [&](const Exchange& exchange) {
    if (a.requests.size() + b.requests.size() > 1) {
      SendEvents(exchange, 4);
      exchange->CompleteResponse();
      return;
    }
    SendEvents(exchange, 2);
    exchange->SendBody("id: 3\nda");
    harness_.loop.Post([exchange] { exchange->Abort(); });
  };
  a.on_request = abort_first;
  b.on_request = abort_first;
  const auto result = harness_.Send("POST", "/chat/1", {}, "b");
  harness_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body,
            MakeEvent(1) + MakeEvent(2) + MakeEvent(3) + MakeEvent(4));
  EXPECT_EQ(a.requests.size() + b.requests.size(), 2U);
}

// The error response of the upstream that should resume a stream must not be
// forwarded as the rest of the stream, which then looks complete.
TEST_F(GatewayTest, FailedResumptionDoesNotCompleteAStream) {
  FakeUpstream& a = harness_.AddUpstream("c1", "chat");
  FakeUpstream& b = harness_.AddUpstream("c2", "chat");
  EventHandle timer;
  const auto abort_then_fail = [&](const Exchange& exchange) {
    if (a.requests.size() + b.requests.size() > 1) {
      exchange->SendResponse(500, FakeUpstream::Signed(exchange), "oops");
      return;
    }
    SendEvents(exchange, 2);
    timer = harness_.loop.After(milliseconds(30),
                                [exchange] { exchange->Abort(); });
  };
  a.on_request = abort_then_fail;
  b.on_request = abort_then_fail;
  const auto result = harness_.Send("POST", "/chat/1", {}, "b");
  harness_.Await(result);
  EXPECT_FALSE(result->complete);
  EXPECT_EQ(result->body, MakeEvent(1) + MakeEvent(2));
}

// A stalled stream must not be cancelled if no other upstream can resume it.
TEST_F(GatewayTest, StalledStreamIsKeptIfNoOtherUpstreamCanResumeIt) {
  FakeUpstream& upstream = harness_.AddUpstream("c1", "chat");
  EventHandle timer;
  upstream.on_request = [&](const Exchange& exchange) {
    SendEvents(exchange, 1);
    timer = harness_.loop.After(milliseconds(1500), [exchange] {
      exchange->SendBody(MakeEvent(2));
      exchange->CompleteResponse();
    });
  };
  const auto result = harness_.Send("POST", "/chat/1", {}, "b");
  harness_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, MakeEvent(1) + MakeEvent(2));
  EXPECT_EQ(upstream.requests.size(), 1U);
}

TEST_F(GatewayTest, StalledStreamResumesAtAnotherUpstream) {
  FakeUpstream& a = harness_.AddUpstream("c1", "chat");
  FakeUpstream& b = harness_.AddUpstream("c2", "chat");
  const auto stall_first = [&](const Exchange& exchange) {
    SendEvents(exchange, a.requests.size() + b.requests.size() > 1 ? 3 : 1);
    if (a.requests.size() + b.requests.size() > 1) exchange->CompleteResponse();
  };
  a.on_request = stall_first;
  b.on_request = stall_first;
  const auto result = harness_.Send("POST", "/chat/1", {}, "b");
  harness_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, MakeEvent(1) + MakeEvent(2) + MakeEvent(3));
}

/// Serves one connection at a time: after the first event of a stream it does
/// nothing for 1.5 s, and answers nobody else.
void ServeWithAPause(int fd) {
  char buffer[4096];
  const ssize_t n = read(fd, buffer, sizeof(buffer));
  if (n <= 0 || buffer[0] == 'G') return;
  WriteText(fd, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: 1\r\n\r\n" +
                    MakeEvent(1));
  std::this_thread::sleep_for(milliseconds(1500));
  WriteText(fd, MakeEvent(2));
}

class PausedUpstreamTest : public GatewayTest {
 protected:
  PausedUpstreamTest() {
    harness_.RegisterUpstream("d1", "model", "decode", paused_.address);
    result_ =
        harness_.Send("POST", "/long/1", {{"Token-Count", "100,10"}}, "b");
    harness_.RunFor(milliseconds(100));
  }
  void ExpectWholeStreamOfThePausedUpstream() {
    EXPECT_EQ(result_->body, MakeEvent(1));
    FakeUpstream& other = harness_.AddUpstream("d2", "model", "decode");
    harness_.Await(result_);
    EXPECT_TRUE(result_->complete);
    EXPECT_EQ(result_->body, MakeEvent(1) + MakeEvent(2));
    EXPECT_TRUE(other.requests.empty());
  }

  RawTcpServer paused_{ServeWithAPause};
  std::shared_ptr<ClientResult> result_;
};

TEST_F(PausedUpstreamTest, StreamIsNotRunTwice) {
  ExpectWholeStreamOfThePausedUpstream();
}

TEST_F(PausedUpstreamTest, StreamIsNotRunTwiceIfTheQueueOfConnectionsIsFull) {
  const FullQueue full(paused_.address);
  ExpectWholeStreamOfThePausedUpstream();
}

TEST_F(GatewayTest, StalledStreamMovesIfItsEngineAnswers) {
  FakeUpstream& first = harness_.AddUpstream("d1", "model", "decode");
  first.on_request = [](const Exchange& exchange) {
    if (exchange->head().method == "GET") {
      exchange->SendResponse(200, {}, "{}");
      return;
    }
    SendEvents(exchange, 1);
  };
  const auto result =
      harness_.Send("POST", "/long/1", {{"Token-Count", "100,10"}}, "b");
  harness_.RunFor(milliseconds(100));
  FakeUpstream& other = harness_.AddUpstream("d2", "model", "decode");
  other.on_request = [](const Exchange& exchange) {
    SendEvents(exchange, 2);
    exchange->CompleteResponse();
  };
  harness_.RunFor(milliseconds(1500));
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, MakeEvent(1) + MakeEvent(2));
}

TEST_F(GatewayTest, StartedStreamIsNotCutWhileUpstreamsRefuseToResumeIt) {
  constexpr size_t kRefusals = 8;
  FakeUpstream& first = harness_.AddUpstream("c1", "chat");
  EventHandle timer;
  first.on_request = [&](const Exchange& exchange) {
    if (first.requests.size() > 1) {
      RefuseNotRun(exchange);
      return;
    }
    SendEvents(exchange, 1);
    timer = harness_.loop.After(milliseconds(30),
                                [exchange] { exchange->Abort(); });
  };
  const auto result = harness_.Send("POST", "/chat/1", {}, "b");
  harness_.RunFor(milliseconds(20));
  FakeUpstream& other = harness_.AddUpstream("c2", "chat");
  other.on_request = [&](const Exchange& exchange) {
    if (first.requests.size() + other.requests.size() <= 1 + kRefusals) {
      RefuseNotRun(exchange);
      return;
    }
    SendEvents(exchange, 2);
    exchange->CompleteResponse();
  };
  harness_.Await(result);
  EXPECT_FALSE(result->failed);
  EXPECT_EQ(result->body, MakeEvent(1) + MakeEvent(2));
}

TEST_F(GatewayTest, NonResumableStreamIsTruncatedOnFailure) {
  EventHandle timer;
  harness_.AddUpstream("m1", "model", "decode").on_request =
      [&](const Exchange& exchange) {
        SendEvents(exchange, 1);
        timer = harness_.loop.After(milliseconds(30),
                                    [exchange] { exchange->Abort(); });
      };
  const auto result =
      harness_.Send("POST", "/model/1", {{"Token-Count", "100,10"}}, "b");
  harness_.Await(result);
  EXPECT_TRUE(result->failed);
  EXPECT_FALSE(result->complete);
}

// Guards against requests that reach an upstream after it has said that it
// leaves: the answer to a probe was not read for that.
TEST_F(GatewayTest, UpstreamThatSaysInAProbeThatItLeavesGetsNoRequests) {
  int runs = 0;
  harness_.AddUpstream("m1", "model", "decode").on_request =
      [&](const Exchange& exchange) {
        if (exchange->head().method == "GET") {
          exchange->SendResponse(200, {{"Server-Leaving", "1"}}, "{}");
          return;
        }
        ++runs;
        exchange->Abort();
      };
  const HeaderFields tokens = {{"Token-Count", "100,10"}};
  harness_.Await(harness_.Send("POST", "/model/1", tokens, "b"));
  ASSERT_EQ(runs, 1);
  // The probe for a crash.
  harness_.RunFor(milliseconds(100));
  const auto refused = harness_.Send("POST", "/model/1", tokens, "b", "r2");
  harness_.Await(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(runs, 1);
}

class PrefillDecodeTest : public GatewayTest {
 protected:
  PrefillDecodeTest() {
    prefill_.on_request = [this](const Exchange& exchange) {
      if (exchange->head().method == "DELETE") {
        released_target_ = exchange->head().target;
        exchange->SendResponse(200, {}, "");
        return;
      }
      HeaderFields fields = FakeUpstream::Signed(exchange);
      exchange->SendResponse(200, fields,
                             R"({"handle":"h7","tokens":9,"version":1})");
    };
  }
  std::shared_ptr<ClientResult> SendPrompt() {
    return harness_.Send(
        "POST", "/model/1",
        {{"Token-Count", "6000,10"}, {"Prompt-Prefix", "a1:2000,b2:4000"}},
        "b");
  }

  FakeUpstream& prefill_ = harness_.AddUpstream("p1", "model", "prefill");
  FakeUpstream& decode_ = harness_.AddUpstream("d1", "model", "decode");
  std::string released_target_;
};

TEST_F(PrefillDecodeTest, DecodeEngineFetchesThePrefilledPrompt) {
  decode_.on_request = [](const Exchange& exchange) {
    SendEvents(exchange, 2);
    exchange->CompleteResponse();
  };
  const auto result = SendPrompt();
  harness_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, MakeEvent(1) + MakeEvent(2));
  ASSERT_EQ(prefill_.requests.size(), 1U);
  EXPECT_EQ(FakeUpstream::Field(prefill_.requests[0], "Stage"), "prefill");
  ASSERT_EQ(decode_.requests.size(), 1U);
  EXPECT_EQ(FakeUpstream::Field(decode_.requests[0], "Stage"), "");
  EXPECT_EQ(FakeUpstream::Field(decode_.requests[0], "Kv-From"),
            prefill_.address.ToString() + "/h7");
  EXPECT_EQ(released_target_, "");
}

TEST_F(PrefillDecodeTest, ClientDisconnectReleasesThePrefilledPrompt) {
  decode_.on_request = [](const Exchange&) {};
  SendPrompt();
  harness_.RunFor(milliseconds(100));
  ASSERT_EQ(decode_.requests.size(), 1U);
  harness_.call->Cancel();
  harness_.RunFor(milliseconds(100));
  EXPECT_EQ(released_target_, "/kv-handle/h7");
}

// A started stream must be retried until it ends.  It was left open forever if
// no decode engine was available for the prefilled prompt of its resumption.
TEST_F(PrefillDecodeTest, StartedStreamWaitsForADecodeEngine) {
  EventHandle timer;
  decode_.on_request = [&](const Exchange& exchange) {
    if (decode_.requests.size() > 1) {
      SendEvents(exchange, 3);
      exchange->CompleteResponse();
      return;
    }
    SendEvents(exchange, 1);
    timer = harness_.loop.After(milliseconds(30),
                                [exchange] { exchange->Abort(); });
  };
  const auto result = harness_.Send(
      "POST", "/long/1",
      {{"Token-Count", "6000,10"}, {"Prompt-Prefix", "a1:2000,b2:4000"}}, "b");
  harness_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, MakeEvent(1) + MakeEvent(2) + MakeEvent(3));
}

TEST_F(PrefillDecodeTest, StalledPrefillMovesThoughTheStreamMayRunOnlyOnce) {
  FakeUpstream& other = harness_.AddUpstream("p2", "model", "prefill");
  other.on_request = [this, answer = prefill_.on_request,
                      &other](const Exchange& exchange) {
    if (prefill_.requests.size() + other.requests.size() > 1) answer(exchange);
  };
  prefill_.on_request = other.on_request;
  decode_.on_request = [](const Exchange& exchange) {
    SendEvents(exchange, 2);
    exchange->CompleteResponse();
  };
  const auto result = SendPrompt();
  harness_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, MakeEvent(1) + MakeEvent(2));
  EXPECT_EQ(prefill_.requests.size(), 1U);
  EXPECT_EQ(other.requests.size(), 1U);
  EXPECT_EQ(decode_.requests.size(), 1U);
}

TEST_F(PrefillDecodeTest, RefusedFetchFallsBackToASingleEngine) {
  decode_.on_request = [&](const Exchange& exchange) {
    if (!FakeUpstream::Field(exchange, "Kv-From").empty()) {
      RefuseNotRun(exchange);
      return;
    }
    SendEvents(exchange, 1);
    exchange->CompleteResponse();
  };
  FakeUpstream& other = harness_.AddUpstream("d2", "model", "decode");
  other.on_request = decode_.on_request;
  const auto result = SendPrompt();
  harness_.Await(result);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, MakeEvent(1));
}

// A gateway that starts while the store is unreachable loads its records from a
// peer.
TEST_F(GatewayTest, StartsFromAPeerWithoutTheStore) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  upstream.on_request = RespondOk;
  const GatewaySettings settings = MakeSecondSettings();
  Gateway second_gateway(harness_.loop, settings, platform::MakeCodecs());
  std::string reason;
  ASSERT_TRUE(second_gateway.Start(reason)) << reason;
  EXPECT_FALSE(second_gateway.ready());
  second_gateway.OnGatewayRecords({harness_.gateway().OwnRecord()});
  for (int i = 0; i < 200 && !second_gateway.ready(); ++i) {
    harness_.RunFor(milliseconds(10));
  }
  EXPECT_TRUE(second_gateway.ready());
  // Only the peer learns from the store that the upstream is draining.
  harness_.gateway().OnUpstreamChanges(
      {{"s1",
        R"({"service":"shop","addr":")" + upstream.address.ToString() +
            R"(","zone":"z","slots":4,"state":"draining"})",
        100}},
      {1, 100});
  harness_.RunFor(milliseconds(900));
  harness_.front = settings.front;
  const auto refused = harness_.Send("GET", "/safe/1");
  harness_.Await(refused);
  EXPECT_EQ(refused->status, 503);
}

TEST_F(GatewayTest, ForwardsRequestsAfterAStartFromAPeer) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  upstream.on_request = RespondOk;
  const GatewaySettings settings = MakeSecondSettings();
  Gateway second_gateway(harness_.loop, settings, platform::MakeCodecs());
  std::string reason;
  ASSERT_TRUE(second_gateway.Start(reason)) << reason;
  second_gateway.OnGatewayRecords({harness_.gateway().OwnRecord()});
  for (int i = 0; i < 200 && !second_gateway.ready(); ++i) {
    harness_.RunFor(milliseconds(10));
  }
  harness_.front = settings.front;
  const auto result = harness_.Send("GET", "/safe/1");
  harness_.Await(result);
  EXPECT_EQ(result->status, 200);
}

TEST_F(GatewayTest, GracefulShutdownFinishesRequestsInProgress) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  EventHandle timer;
  upstream.on_request = [&](const Exchange& exchange) {
    timer = harness_.loop.After(milliseconds(300),
                                [exchange] { RespondOk(exchange); });
  };
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.RunFor(milliseconds(100));
  EXPECT_TRUE(harness_.gateway().ready());
  harness_.gateway().BeginShutdown();
  EXPECT_FALSE(harness_.gateway().ready());
  harness_.Await(result);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(result->Field("Connection"), "close");
}

}  // namespace
}  // namespace corianderlink
