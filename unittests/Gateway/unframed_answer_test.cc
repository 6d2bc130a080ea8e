// Answers with neither a length nor chunks, which end with their connection.
#include <gtest/gtest.h>

#include "Common/raw_tcp_server.h"
#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: 1.2.3\r\n\r\n";

class UnframedAnswerTest : public ::testing::Test {
 protected:
  UnframedAnswerTest() { harness_.Configure(); }

  /// Sends one request to an upstream that answers it with `body`.
  std::shared_ptr<ClientResult> Ask(const std::string& service,
                                    const std::string& target,
                                    const std::string& body,
                                    bool reset = false) {
    const RawTcpServer server([&](int fd) {
      // The gateway may also look whether it reaches the upstream.
      if (!ReadRequest(fd)) return;
      const std::string answer = kHead + body;
      EXPECT_EQ(write(fd, answer.data(), answer.size()),
                static_cast<ssize_t>(answer.size()));
      if (!reset) return;
      // The bytes arrive before the reset does.
      usleep(50'000);
      const linger abort{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    });
    harness_.gateway().OnAllUpstreams(
        {{"s1",
          R"({"service":")" + service + R"(","addr":")" +
              server.address.ToString() +
              R"(","zone":"z","slots":4,"state":"ready"})",
          1}},
        {1, 1});
    auto result = harness_.Send("POST", target, {}, "b");
    harness_.Await(result);
    return result;
  }

  GatewayTestHarness harness_;
};

TEST_F(UnframedAnswerTest, BodyIsCompleteAtTheEndOfTheConnection) {
  const auto result = Ask("shop", "/unsafe/1", "ok");
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(result->body, "ok");
}

TEST_F(UnframedAnswerTest, BodyBeforeAResetIsNotComplete) {
  const auto result = Ask("shop", "/unsafe/1", "half", true);
  EXPECT_NE(result->status, 200);
}

TEST_F(UnframedAnswerTest, StreamIsCompleteAfterAnEvent) {
  const auto result = Ask("chat", "/chat/1", "id: 1\ndata: x\n\n");
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, "id: 1\ndata: x\n\n");
}

TEST_F(UnframedAnswerTest, StreamThatEndsInsideAnEventIsNotComplete) {
  const auto result = Ask("chat", "/chat/1", "id: 1\ndata: x\n\nid: 2\ndata");
  EXPECT_FALSE(result->complete);
}

TEST_F(UnframedAnswerTest, StreamThatEndsBeforeItsFirstEventIsNotComplete) {
  const auto result = Ask("chat", "/chat/1", "");
  EXPECT_NE(result->status, 200);
}

}  // namespace
}  // namespace corianderlink
