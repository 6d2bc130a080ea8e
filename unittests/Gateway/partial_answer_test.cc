// Plain answers of which the client already has a part.
#include <gtest/gtest.h>

#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

// Longer than what the gateway holds back to be able to repeat a request.
constexpr size_t kBodyBytes = 600'000;
constexpr size_t kFirstPartBytes = 400'000;

/// Two upstreams of one service.  The first request is answered with a body of
/// the letter a, of which a part is missing at first; any other request gets a
/// whole body of the letter b.
class PartialAnswerTest : public ::testing::Test {
 protected:
  using Exchange = FakeUpstream::Exchange;

  PartialAnswerTest() {
    harness_.Configure();
    for (const char* id : {"s1", "s2"}) {
      harness_.AddUpstream(id, "shop").on_request =
          [this](const Exchange& exchange) { Answer(exchange); };
    }
  }
  void Answer(const Exchange& exchange) {
    if (exchange->head().target.rfind("/safe/", 0) != 0) return;
    if (++runs_ > 1) {
      exchange->SendResponse(200, FakeUpstream::Signed(exchange),
                             std::string(kBodyBytes, 'b'));
      return;
    }
    first_ = exchange;
    std::optional<uint64_t> length;
    if (!chunked_) length = kBodyBytes;
    exchange->StartResponse(200, FakeUpstream::Signed(exchange), length);
    exchange->SendBody(std::string(kFirstPartBytes, 'a'));
  }
  void FinishFirstAnswer() {
    first_->SendBody(std::string(kBodyBytes - kFirstPartBytes, 'a'));
    first_->CompleteResponse();
  }

  GatewayTestHarness harness_;
  bool chunked_ = false;
  int runs_ = 0;
  Exchange first_;
};

// Guards against a joined answer: the body of a second upstream was appended to
// the part that the client had, and the whole looked complete.
TEST_F(PartialAnswerTest, AnswerThatBreaksOffIsNotContinuedByAnother) {
  for (const bool chunked : {false, true}) {
    chunked_ = chunked;
    runs_ = 0;
    const auto result = harness_.Send("GET", "/safe/1");
    harness_.RunFor(milliseconds(100));
    ASSERT_EQ(runs_, 1);
    EXPECT_EQ(result->status, 200);
    first_->Abort();
    harness_.Await(result);
    EXPECT_FALSE(result->complete);
    EXPECT_TRUE(result->failed);
    EXPECT_EQ(result->body.find('b'), std::string::npos);
    EXPECT_EQ(runs_, 1);
  }
}

// The same, by the timer for upstreams that make no progress: the upstream is
// sound and sends nothing for 1.3 s.
TEST_F(PartialAnswerTest, AnswerOfAPausedUpstreamIsNotContinuedByAnother) {
  for (const bool chunked : {false, true}) {
    chunked_ = chunked;
    runs_ = 0;
    const auto result = harness_.Send("GET", "/safe/1");
    harness_.RunFor(milliseconds(1300));
    ASSERT_EQ(runs_, 1);
    FinishFirstAnswer();
    harness_.Await(result);
    EXPECT_TRUE(result->complete);
    EXPECT_EQ(result->body, std::string(kBodyBytes, 'a'));
    EXPECT_EQ(runs_, 1);
  }
}

}  // namespace
}  // namespace corianderlink
