// A gateway whose upstreams leave, ask for a pause, or send bytes without end.
#include <gtest/gtest.h>

#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

using Exchange = FakeUpstream::Exchange;

class UpstreamTroubleTest : public ::testing::Test {
 protected:
  UpstreamTroubleTest() { harness_.Configure(); }

  static void Respond(const Exchange& exchange, int status,
                      HeaderFields extra = {}) {
    HeaderFields fields = FakeUpstream::Signed(exchange);
    fields.insert(fields.end(), extra.begin(), extra.end());
    exchange->SendResponse(status, fields, "ok");
  }

  int Get(const std::string& id = "r1") {
    const auto result = harness_.Send("GET", "/safe/1", {}, "", id);
    harness_.Await(result);
    return result->status;
  }

  /// Sends `bytes` of a body every few milliseconds until the connection ends.
  void SendWithoutEnd(const Exchange& exchange, const std::string& bytes) {
    exchange->on_client_disconnected = [this] { feed_.Reset(); };
    feed_ = harness_.loop.Every(milliseconds(1), [this, exchange, bytes] {
      if (exchange->PendingBytes() > bytes.size()) return;
      exchange->SendBody(bytes);
      sent_bytes_ += bytes.size();
    });
  }

  GatewayTestHarness harness_;
  EventHandle feed_;
  size_t sent_bytes_ = 0;
};

TEST_F(UpstreamTroubleTest, UpstreamThatSaysItLeavesGetsNoMoreRequests) {
  FakeUpstream& leaving = harness_.AddUpstream("s1", "shop");
  leaving.on_request = [](const Exchange& exchange) {
    Respond(exchange, 200, {{"Server-Leaving", "1"}});
  };
  EXPECT_EQ(Get(), 200);
  FakeUpstream& other = harness_.AddUpstream("s2", "shop");
  other.on_request = [](const Exchange& exchange) { Respond(exchange, 200); };
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Get("r" + std::to_string(i)), 200);
  EXPECT_EQ(leaving.requests.size(), 1U);
  EXPECT_EQ(other.requests.size(), 10U);
}

TEST_F(UpstreamTroubleTest, RequestGoesElsewhereWhenAnUpstreamAsksForAPause) {
  FakeUpstream& paused = harness_.AddUpstream("s1", "shop");
  FakeUpstream& other = harness_.AddUpstream("s2", "shop");
  const auto ask_for_pause = [](const Exchange& exchange) {
    Respond(exchange, 503, {{"Not-Run", "1"}, {"Retry-After", "30"}});
  };
  paused.on_request = ask_for_pause;
  other.on_request = [](const Exchange& exchange) { Respond(exchange, 200); };
  for (int i = 0; i < 10; ++i) EXPECT_EQ(Get("r" + std::to_string(i)), 200);
  EXPECT_LE(paused.requests.size(), 1U);
  // Once all ask for a pause, requests are refused at once.
  other.on_request = ask_for_pause;
  Get("last");
  const size_t before = paused.requests.size() + other.requests.size();
  const auto refused = harness_.Send("GET", "/safe/1");
  harness_.Await(refused);
  EXPECT_EQ(refused->status, 503);
  EXPECT_GT(std::stod(refused->Field("Retry-After")), 20);
  EXPECT_EQ(paused.requests.size() + other.requests.size(), before);
}

TEST_F(UpstreamTroubleTest, MalformedPausesAreIgnored) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  for (const char* value : {"nan", "inf", "Fri, 04 Dec 2026 10:00:00 GMT", "-3",
                            "", "1e400", "3x"}) {
    upstream.on_request = [value](const Exchange& exchange) {
      Respond(exchange, 503, {{"Not-Run", "1"}, {"Retry-After", value}});
    };
    Get();
    upstream.on_request = [](const Exchange& exchange) {
      Respond(exchange, 200);
    };
    EXPECT_EQ(Get(), 200) << value;
  }
}

// The body is not a handle, whatever it begins with.
TEST_F(UpstreamTroubleTest, EndlessPrefillResponseIsAbandoned) {
  FakeUpstream& prefill = harness_.AddUpstream("p1", "model", "prefill");
  harness_.AddUpstream("d1", "model", "decode");
  prefill.on_request = [this](const Exchange& exchange) {
    if (exchange->head().method == "DELETE") return;
    exchange->StartResponse(200, FakeUpstream::Signed(exchange), std::nullopt);
    SendWithoutEnd(exchange, std::string(64 * 1024, ' '));
  };
  const auto result =
      harness_.Send("POST", "/long/1", {{"Token-Count", "9000,10"}}, "b");
  harness_.RunFor(milliseconds(1500));
  EXPECT_LT(sent_bytes_, 4U * 1024 * 1024);
  EXPECT_NE(result->status, 200);
}

TEST_F(UpstreamTroubleTest, EventWithoutEndIsAbandoned) {
  FakeUpstream& upstream = harness_.AddUpstream("c1", "chat");
  upstream.on_request = [this](const Exchange& exchange) {
    exchange->StartResponse(200, FakeUpstream::Signed(exchange), std::nullopt);
    SendWithoutEnd(exchange, std::string(64 * 1024, 'x'));
  };
  const auto result = harness_.Send("POST", "/chat/1", {}, "b");
  harness_.RunFor(milliseconds(1500));
  // Each of the attempts is bounded.
  EXPECT_LT(sent_bytes_, 12U * 1024 * 1024);
  EXPECT_FALSE(result->complete && result->status == 200);
}

TEST_F(UpstreamTroubleTest, UnsignedEndlessBodyIsNoAnswer) {
  FakeUpstream& upstream = harness_.AddUpstream("s1", "shop");
  upstream.on_request = [this](const Exchange& exchange) {
    exchange->StartResponse(200, {}, std::nullopt);
    SendWithoutEnd(exchange, std::string(64 * 1024, 'x'));
  };
  const auto result = harness_.Send("POST", "/unsafe/1", {}, "b");
  harness_.RunFor(milliseconds(1500));
  EXPECT_EQ(result->status, 502);
  EXPECT_LT(sent_bytes_, 4U * 1024 * 1024);
}

// Guards against answers that count as held after their clients have read them,
// while the stream goes on in silence.
TEST_F(UpstreamTroubleTest, BytesThatTheClientHasReadAreNotHeld) {
  const std::string event =
      "id: 1\ndata: " + std::string(600'000, 'x') + "\n\n";
  harness_.AddUpstream("c1", "chat").on_request =
      [&event](const Exchange& exchange) {
        exchange->StartResponse(200, FakeUpstream::Signed(exchange),
                                std::nullopt);
        exchange->SendBody(event);
      };
  const auto result = harness_.Send("POST", "/chat/1", {}, "b");
  harness_.RunFor(milliseconds(300));
  EXPECT_EQ(result->body.size(), event.size());
  EXPECT_EQ(harness_.gateway().answer_memory().held(), 0U);
}

// Guards against a process that runs out of memory by many answers at once,
// each of which stays below its own bound.
TEST_F(UpstreamTroubleTest, UnfinishedAnswersAreBoundedTogether) {
  constexpr int kRequests = 120;
  const std::string part(10 * 1024, 'x');
  std::vector<EventHandle> feeds;
  for (int i = 0; i < kRequests / 4; ++i) {
    FakeUpstream& upstream =
        harness_.AddUpstream("s" + std::to_string(i), "shop");
    upstream.on_request = [this, &feeds, &part](const Exchange& exchange) {
      exchange->StartResponse(200, {}, std::nullopt);
      feeds.push_back(
          harness_.loop.Every(milliseconds(50), [this, exchange, &part] {
            if (sent_bytes_ > size_t{20} * 1024 * 1024) return;
            exchange->SendBody(part);
            sent_bytes_ += part.size();
          }));
    };
  }
  harness_.AddUpstream("c1", "chat").on_request = [](const Exchange& exchange) {
    exchange->StartResponse(200, FakeUpstream::Signed(exchange), std::nullopt);
    exchange->SendBody("id: 1\ndata: x\n\n");
    exchange->CompleteResponse();
  };
  std::vector<std::shared_ptr<ClientResult>> results;
  for (int i = 0; i < kRequests; ++i) {
    results.push_back(
        harness_.Send("POST", "/unsafe/1", {}, "b", "u" + std::to_string(i)));
  }
  const size_t capacity = harness_.MakeSettings().memory_bytes / 8;
  size_t most = 0;
  for (int i = 0; i < 100; ++i) {
    harness_.RunFor(milliseconds(10));
    most = std::max(most, harness_.gateway().answer_memory().held());
  }
  EXPECT_GT(most, capacity / 2);
  EXPECT_LE(most, capacity + kRequests * AnswerMemory::kAlwaysHeld);
  const auto other = harness_.Send("POST", "/chat/1", {}, "b");
  harness_.Await(other);
  EXPECT_EQ(other->status, 200);
}

}  // namespace
}  // namespace corianderlink
