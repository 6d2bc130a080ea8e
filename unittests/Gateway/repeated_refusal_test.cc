// Upstreams that write an earlier refusal once more on a kept connection.
#include <gtest/gtest.h>

#include "Common/raw_tcp_server.h"
#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

void Write(int fd, const std::string& text) {
  EXPECT_EQ(write(fd, text.data(), text.size()),
            static_cast<ssize_t>(text.size()));
}

class RepeatedRefusalTest : public ::testing::Test {
 protected:
  /// Sends two requests that may run only once.  The first is refused with
  /// `refusal`; the second, which runs, gets the same refusal before its own
  /// answer.  Returns what the client gets for the second one.
  std::shared_ptr<ClientResult> SecondResult(const std::string& refusal) {
    const RawTcpServer server([&](int fd) {
      if (!ReadRequest(fd)) return;
      Write(fd, refusal);
      if (!ReadRequest(fd)) return;
      ++runs_;
      Write(fd, refusal);
      usleep(50'000);
      Write(fd,
            "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nServer-Stamp: 1.2.3\r\n"
            "Content-Length: 2\r\n\r\nok");
    });
    GatewayTestHarness harness;
    harness.Configure();
    harness.gateway().OnAllUpstreams(
        {{"s1",
          R"({"service":"shop","addr":")" + server.address.ToString() +
              R"(","zone":"z","slots":4,"state":"ready"})",
          1}},
        {1, 1});
    harness.Await(harness.Send("POST", "/unsafe/1", {}, "b", "r1"));
    auto second = harness.Send("POST", "/unsafe/1", {}, "b", "r2");
    harness.Await(second);
    return second;
  }

  std::atomic<int> runs_{0};
};

TEST_F(RepeatedRefusalTest, RefusalOfAnEarlierRequestIsDiscarded) {
  const auto second = SecondResult(
      "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Run: 1\r\n"
      "Content-Length: 0\r\n\r\n");
  EXPECT_EQ(runs_, 1);
  EXPECT_EQ(second->status, 200);
}

TEST_F(RepeatedRefusalTest, RefusalThatNamesNoRequestDoesNotSayNotRun) {
  const auto second = SecondResult(
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(runs_, 1);
  EXPECT_NE(second->status, 503);
  EXPECT_NE(second->status, 429);
}

}  // namespace
}  // namespace corianderlink
