// Upstreams that write an earlier refusal once more on a kept connection.
#include <gtest/gtest.h>
#include <poll.h>

#include "Common/raw_tcp_server.h"
#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

void Write(int fd, const std::string& text) {
  EXPECT_EQ(write(fd, text.data(), text.size()),
            static_cast<ssize_t>(text.size()));
}

/// True if data arrives on the connection within `time`.
bool HasInputWithin(int fd, milliseconds time) {
  pollfd readable{fd, POLLIN, 0};
  return poll(&readable, 1, static_cast<int>(time.count())) == 1;
}

/// Makes the server the only upstream, of this service.
void Serve(GatewayTestHarness& harness, const std::string& service,
           const RawTcpServer& server) {
  harness.Configure();
  harness.gateway().OnAllUpstreams(
      {{"u1",
        R"({"service":")" + service + R"(","addr":")" +
            server.address.ToString() +
            R"(","zone":"z","slots":4,"state":"ready"})",
        1}},
      {1, 1});
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
    Serve(harness, "shop", server);
    harness.Await(harness.Send("POST", "/unsafe/1", {}, "b", "r1"));
    auto second = harness.Send("POST", "/unsafe/1", {}, "b", "r2");
    harness.Await(second);
    return second;
  }

  std::atomic<int> runs_{0};
  std::atomic<int> requests_{0};
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

TEST_F(RepeatedRefusalTest, AnswerBehindARefusalThatNamesNoRequestArrives) {
  const auto second = SecondResult(
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(second->status, 200);
  EXPECT_EQ(second->body, "ok");
}

TEST_F(RepeatedRefusalTest, RefusalOfAnEarlierAttemptIsNotThatOfTheNext) {
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Run: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  const std::string stream =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: 1.2.3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const RawTcpServer server([&](int fd) {
    if (!ReadRequest(fd)) return;
    if (++requests_ == 1) {
      Write(fd, stream + "f\r\nid: 1\ndata: x\n\n\r\n");
      return;
    }
    if (requests_ == 2) {
      Write(fd, refusal);
      if (!HasInputWithin(fd, milliseconds(300))) return;
      if (!ReadRequest(fd)) return;
      Write(fd, refusal);
      usleep(50'000);
    }
    ++runs_;
    Write(fd, stream + "f\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n");
    HasInputWithin(fd, milliseconds(300));
  });
  GatewayTestHarness harness;
  Serve(harness, "chat", server);
  const auto result = harness.Send("POST", "/chat/1", {}, "b", "r1");
  harness.Await(result);
  EXPECT_EQ(runs_, 1);
  EXPECT_TRUE(result->complete);
  EXPECT_EQ(result->body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
}

}  // namespace
}  // namespace corianderlink
