// Requests that come late in a planned stop, and those that it would cut.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/raw_tcp_client.h"
#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

/// A client that sends a request in pieces.
class PieceClient {
 public:
  explicit PieceClient(const Address& to) : fd_(ConnectTo(to)) {}
  ~PieceClient() { close(fd_); }
  PieceClient(const PieceClient&) = delete;
  PieceClient& operator=(const PieceClient&) = delete;

  void Send(const std::string& piece) const {
    ASSERT_EQ(send(fd_, piece.data(), piece.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(piece.size()));
  }
  std::string Receive() const {
    char buffer[4096];
    const ssize_t n = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
    return {buffer, static_cast<size_t>(std::max<ssize_t>(n, 0))};
  }

 private:
  const int fd_;
};

class PlannedStopTest : public ::testing::Test {
 protected:
  PlannedStopTest() { harness_.Configure(); }
  /// Runs the gateway until its stop is complete, and the client for a moment.
  void FinishStop() {
    harness_.loop.Run();
    harness_.RunFor(milliseconds(50));
  }

  /// Has a request of the route answered within a moment, so that the gateway
  /// knows how long such requests take.
  void ServeOne(FakeUpstream& upstream) {
    upstream.on_request = [](const FakeUpstream::Exchange& exchange) {
      exchange->SendResponse(200, FakeUpstream::Signed(exchange), "done");
    };
    harness_.Await(harness_.Send("POST", "/unsafe/1", {}, "b", "r0"));
    ASSERT_EQ(upstream.requests.size(), 1U);
  }
  /// Answer to a request that is whole `at` after the stop has begun.
  std::string AnswerToRequestAt(Duration at, const std::string& fields) {
    const PieceClient client(harness_.front);
    client.Send("POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\n" + fields);
    harness_.RunFor(milliseconds(50));
    harness_.gateway().BeginShutdown();
    harness_.RunFor(at);
    client.Send("Request-Id: r1\r\nContent-Length: 1\r\n\r\nb");
    harness_.RunFor(milliseconds(50));
    return client.Receive();
  }

  GatewayTestHarness harness_;
};

// Guards against requests that a stopping gateway takes and surely cuts.
TEST_F(PlannedStopTest, RequestThatMayOutlastTheProcessIsRefusedAtOnce) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  const std::string answer = AnswerToRequestAt(milliseconds(10), "");
  EXPECT_EQ(answer.find("HTTP/1.1 503"), 0U) << answer;
  EXPECT_NE(answer.find("Retry-After: 0.000"), std::string::npos) << answer;
  EXPECT_TRUE(upstream.requests.empty());
}

// Guards against a time to come back in an answer that is final.
TEST_F(PlannedStopTest, UnknownRouteNamesNoTimeToComeBack) {
  harness_.AddUpstream("s1", "shop");
  harness_.gateway().BeginShutdown();
  const auto result = harness_.Send("GET", "/unknown/1");
  harness_.Await(result);
  EXPECT_EQ(result->status, 404);
  EXPECT_EQ(result->Field("Retry-After"), "");
}

// Guards against estimates from requests that their clients gave up early.
TEST_F(PlannedStopTest, RequestThatItsClientLeftTellsNoServingTime) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  harness_.Send("POST", "/unsafe/1", {}, "b", "r0");
  harness_.RunFor(milliseconds(50));
  harness_.call->Cancel();
  harness_.RunFor(milliseconds(50));
  const std::string answer = AnswerToRequestAt(milliseconds(10), "");
  EXPECT_EQ(answer.find("HTTP/1.1 503"), 0U) << answer;
  EXPECT_EQ(upstream.requests.size(), 1U);
}

// Guards against estimates from errors that an upstream answers at once.
TEST_F(PlannedStopTest, ErrorOfAnUpstreamTellsNoServingTime) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  upstream.on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->SendResponse(500, FakeUpstream::Signed(exchange), "error");
  };
  harness_.Await(harness_.Send("POST", "/unsafe/1", {}, "b", "r0"));
  const std::string answer = AnswerToRequestAt(milliseconds(10), "");
  EXPECT_EQ(answer.find("HTTP/1.1 503"), 0U) << answer;
  EXPECT_EQ(upstream.requests.size(), 1U);
}

// Guards against estimates that do not see what takes longer and has not ended.
TEST_F(PlannedStopTest, RequestInProgressTellsThatOthersTakeAsLong) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  ServeOne(upstream);
  upstream.on_request = nullptr;
  const auto in_progress = harness_.Send("POST", "/unsafe/1", {}, "b", "r2");
  harness_.RunFor(milliseconds(1500));
  const FakeUpstream& free = harness_.AddUpstream("s2", "shop");
  const std::string answer = AnswerToRequestAt(milliseconds(10), "");
  EXPECT_EQ(answer.find("HTTP/1.1 503"), 0U) << answer;
  EXPECT_NE(answer.find("Retry-After: 0.000"), std::string::npos) << answer;
  EXPECT_EQ(upstream.requests.size(), 2U);
  EXPECT_TRUE(free.requests.empty());
}

// Guards against prompts that are read in vain: only the rest has to fit.
TEST_F(PlannedStopTest, TimeThatAPrefillHasTakenIsNotAskedForAgain) {
  FakeUpstream& prefill = harness_.AddUpstream("p1", "model", "prefill");
  FakeUpstream& decode = harness_.AddUpstream("d1", "model", "decode");
  std::vector<EventHandle> timers;
  prefill.on_request = [&](const FakeUpstream::Exchange& exchange) {
    timers.push_back(harness_.loop.After(milliseconds(500), [exchange] {
      exchange->SendResponse(200, FakeUpstream::Signed(exchange),
                             R"({"handle":"h7","tokens":9,"version":1})");
    }));
  };
  decode.on_request = [&](const FakeUpstream::Exchange& exchange) {
    timers.push_back(harness_.loop.After(milliseconds(500), [exchange] {
      exchange->StartResponse(200, FakeUpstream::Signed(exchange),
                              std::nullopt);
      exchange->SendBody("id: 1\ndata: x\n\n");
      exchange->CompleteResponse();
    }));
  };
  const auto send = [this](const std::string& id) {
    return harness_.Send(
        "POST", "/model/1",
        {{"Token-Count", "6000,10"}, {"Prompt-Prefix", "a1:2000,b2:4000"}}, "b",
        id);
  };
  harness_.Await(send("r0"));
  ASSERT_EQ(decode.requests.size(), 1U);
  const auto result = send("r1");
  harness_.RunFor(milliseconds(10));
  harness_.gateway().BeginShutdown();
  harness_.Await(result);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(decode.requests.size(), 2U);
}

// Guards against refusals of what a stopping gateway can still serve.
TEST_F(PlannedStopTest, RequestThatProbablyEndsInTimeIsServed) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  ServeOne(upstream);
  const std::string answer = AnswerToRequestAt(milliseconds(10), "");
  EXPECT_EQ(answer.find("HTTP/1.1 200"), 0U) << answer;
}

// Guards against requests that are taken because a timer fires late.
TEST_F(PlannedStopTest, RequestInTheLastPartIsRefusedUnlessItsDeadlineIsNear) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  ServeOne(upstream);
  // Connections are accepted for 0.8 s of the grace period.
  const std::string answer = AnswerToRequestAt(milliseconds(720), "");
  EXPECT_EQ(answer.find("HTTP/1.1 503"), 0U) << answer;
  EXPECT_EQ(upstream.requests.size(), 1U);
}

// Guards against refusals of what its own deadline ends in time.
TEST_F(PlannedStopTest, RequestWithANearDeadlineIsServedInTheLastPart) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  ServeOne(upstream);
  const std::string answer =
      AnswerToRequestAt(milliseconds(720), "Deadline-Ms: 1200\r\n");
  EXPECT_EQ(answer.find("HTTP/1.1 200"), 0U) << answer;
}

// Guards against attempts that begin late in a request that was taken early.
TEST_F(PlannedStopTest, AttemptThatWouldBeCutIsRefusedInstead) {
  FakeUpstream& first = harness_.AddUpstream("s1", "shop");
  FakeUpstream& second = harness_.AddUpstream("s2", "shop");
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.RunFor(milliseconds(50));
  harness_.gateway().BeginShutdown();
  harness_.RunFor(milliseconds(900));
  ASSERT_EQ(first.requests.size() + second.requests.size(), 1U);
  FakeUpstream& asked = first.requests.empty() ? second : first;
  HeaderFields not_run = FakeUpstream::Signed(asked.requests[0]);
  not_run.push_back({"Not-Run", "1"});
  asked.requests[0]->SendResponse(503, not_run, "");
  harness_.Await(result);
  EXPECT_EQ(result->status, 503);
  EXPECT_EQ(result->Field("Retry-After"), "0.000");
  EXPECT_EQ(first.requests.size() + second.requests.size(), 1U);
}

// Guards against attempts that are given up for one that is then not made.
TEST_F(PlannedStopTest, SilentUpstreamIsWaitedForIfNoOtherAttemptFits) {
  FakeUpstream& first = harness_.AddUpstream("s1", "shop");
  FakeUpstream& second = harness_.AddUpstream("s2", "shop");
  const auto result = harness_.Send("GET", "/safe/1");
  harness_.RunFor(milliseconds(50));
  harness_.gateway().BeginShutdown();
  harness_.RunFor(milliseconds(700));
  ASSERT_EQ(first.requests.size() + second.requests.size(), 1U);
  const auto& asked = first.requests.empty() ? second : first;
  asked.requests[0]->SendResponse(200, FakeUpstream::Signed(asked.requests[0]),
                                  "done");
  harness_.Await(result);
  EXPECT_EQ(result->status, 200);
}

// Guards against answers that are dropped for an attempt that is then not made.
TEST_F(PlannedStopTest, ServerErrorIsPassedOnIfNoOtherAttemptFits) {
  FakeUpstream& first = harness_.AddUpstream("s1", "shop");
  FakeUpstream& second = harness_.AddUpstream("s2", "shop");
  const auto result = harness_.Send("GET", "/safe/1");
  harness_.RunFor(milliseconds(50));
  harness_.gateway().BeginShutdown();
  harness_.RunFor(milliseconds(50));
  ASSERT_EQ(first.requests.size() + second.requests.size(), 1U);
  const auto& asked = first.requests.empty() ? second : first;
  asked.requests[0]->SendResponse(500, FakeUpstream::Signed(asked.requests[0]),
                                  "error");
  harness_.Await(result);
  EXPECT_EQ(result->status, 500);
  EXPECT_EQ(result->body, "error");
}

// Guards against requests that are cut without an answer at the end of the
// grace period, among them those that must not be repeated.
TEST_F(PlannedStopTest, RequestInProgressAtTheEndGetsAnAnswer) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.RunFor(milliseconds(50));
  harness_.gateway().BeginShutdown();
  FinishStop();
  EXPECT_EQ(upstream.requests.size(), 1U);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->status, 504);
}

// Guards against requests that are taken late in the grace period and passed
// on, though they may not be finished.
TEST_F(PlannedStopTest, RequestThatComesLateIsRefusedAtOnce) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  const PieceClient client(harness_.front);
  client.Send("POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\n");
  harness_.RunFor(milliseconds(50));
  harness_.gateway().BeginShutdown();
  // New connections are accepted for half of the grace period at most.
  harness_.RunFor(milliseconds(900));
  client.Send("Request-Id: r1\r\nContent-Length: 1\r\n\r\nb");
  harness_.RunFor(milliseconds(50));
  const std::string answer = client.Receive();
  EXPECT_EQ(answer.find("HTTP/1.1 503"), 0U) << answer;
  EXPECT_NE(answer.find("Retry-After: 0.000"), std::string::npos) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  EXPECT_TRUE(upstream.requests.empty());
}

// What was taken early and ends in time is served.
TEST_F(PlannedStopTest, RequestThatEndsInTimeIsServed) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.RunFor(milliseconds(50));
  harness_.gateway().BeginShutdown();
  harness_.RunFor(milliseconds(800));
  ASSERT_EQ(upstream.requests.size(), 1U);
  upstream.requests[0]->SendResponse(
      200, FakeUpstream::Signed(upstream.requests[0]), "done");
  FinishStop();
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(result->body, "done");
}

}  // namespace
}  // namespace corianderlink
