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

constexpr char kRefusalOfR1[] =
    "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";

/// Refuses its first request, r1.  The next one on that connection finds the
/// refusal once more and is run; so is every request on another connection.
class RefusingServer {
 public:
  explicit RefusingServer(std::atomic<int>& runs) : runs_(runs) {}

  const Address& address() const { return server_.address; }
  std::string Record() const {
    return R"({"service":"shop","addr":")" + address().ToString() +
           R"(","zone":"z","slots":4,"state":"ready"})";
  }

 private:
  void Serve(int fd) {
    if (!ReadRequest(fd)) return;
    if (!std::exchange(has_refused_, true)) {
      Write(fd, kRefusalOfR1);
      if (!HasInputWithin(fd, milliseconds(300))) return;
      if (!ReadRequest(fd)) return;
      Write(fd, kRefusalOfR1);
      usleep(50'000);
    }
    ++runs_;
    Write(fd,
          "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: 1.2.3\r\n"
          "Content-Length: 2\r\n\r\nok");
    HasInputWithin(fd, milliseconds(300));
  }

  std::atomic<int>& runs_;
  bool has_refused_ = false;
  RawTcpServer server_{[this](int fd) { Serve(fd); }};
};

// Guards REFUSED.
TEST_F(RepeatedRefusalTest, RequestThatComesBackWithItsIdIsNotRefusedAndRun) {
  RefusingServer server(runs_);
  GatewayTestHarness harness;
  harness.Configure();
  harness.gateway().OnAllUpstreams({{"u1", server.Record(), 1}}, {1, 1});
  const auto first = harness.Send("POST", "/unsafe/1", {}, "b", "r1");
  harness.Await(first);
  EXPECT_EQ(first->status, 503);
  const auto second = harness.Send("POST", "/unsafe/1", {}, "b", "r1");
  harness.Await(second);
  harness.RunFor(milliseconds(100));
  EXPECT_EQ(runs_, 1);
  EXPECT_EQ(second->status, 200);
}

// Guards TWICE.
TEST_F(RepeatedRefusalTest, RequestThatComesBackWithItsIdRunsOnce) {
  RefusingServer one(runs_);
  RefusingServer other(runs_);
  GatewayTestHarness harness;
  harness.Configure();
  harness.gateway().OnAllUpstreams(
      {{"u1", one.Record(), 1}, {"u2", other.Record(), 1}}, {1, 1});
  const auto first = harness.Send("POST", "/unsafe/1", {}, "b", "r1");
  harness.Await(first);
  EXPECT_EQ(first->status, 503);
  const auto second = harness.Send("POST", "/unsafe/1", {}, "b", "r1");
  harness.Await(second);
  harness.RunFor(milliseconds(100));
  EXPECT_EQ(runs_, 1);
  EXPECT_EQ(second->status, 200);
}

/// Answers 421 to requests that are meant for "u1", whose address it has, and
/// writes that once more before the answer to the next one.
class SuccessorServer {
 public:
  explicit SuccessorServer(std::atomic<int>& runs) : runs_(runs) {}

  const Address& address() const { return server_.address; }

 private:
  void Serve(int fd) {
    std::string copy;
    char text[4096];
    while (HasInputWithin(fd, milliseconds(200))) {
      const ssize_t n = read(fd, text, sizeof(text));
      if (n <= 0) return;
      const std::string request(text, static_cast<size_t>(n));
      if (request.find("Expect-Instance: u1") != std::string::npos) {
        copy =
            "HTTP/1.1 421 Misdirected\r\nRequest-Id: r1\r\n"
            "Instance-Id: u2\r\nContent-Length: 0\r\n\r\n";
        Write(fd, copy);
        continue;
      }
      ++runs_;
      if (!copy.empty()) Write(fd, copy);
      usleep(20'000);
      Write(fd,
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: 1.2.3\r\n"
            "Content-Length: 2\r\n\r\nok");
    }
  }

  std::atomic<int>& runs_;
  RawTcpServer server_{[this](int fd) { Serve(fd); }};
};

TEST_F(RepeatedRefusalTest, SuccessorOfAnAddressDoesNotRefuseAndRun) {
  SuccessorServer server(runs_);
  GatewayTestHarness harness;
  harness.Configure();
  harness.RegisterUpstream("u1", "shop", "", server.address());
  harness.RegisterUpstream("u2", "shop", "", server.address());
  const auto result = harness.Send("POST", "/unsafe/1", {}, "b", "r1");
  harness.Await(result);
  harness.RunFor(milliseconds(50));
  EXPECT_EQ(runs_, 1);
  EXPECT_EQ(result->status, 200);
}

TEST_F(RepeatedRefusalTest, RequestWithoutAnIdGetsItsAnswer) {
  const RawTcpServer server([&](int fd) {
    while (HasInputWithin(fd, milliseconds(300)) && ReadRequest(fd)) {
      const bool is_first = ++requests_ == 1;
      Write(fd, std::string("HTTP/1.1 ") +
                    (is_first ? "200 OK\r\nServer-Stamp: 1.2.3\r\n"
                                "Request-Id: r1\r\n"
                              : "400 No id\r\nNot-Run: 1\r\n") +
                    "Content-Length: 0\r\n\r\n");
    }
  });
  GatewayTestHarness harness;
  Serve(harness, "shop", server);
  harness.Await(harness.Send("POST", "/unsafe/1", {}, "b", "r1"));
  const auto second = harness.Send("POST", "/unsafe/1", {}, "b", "");
  harness.Await(second);
  EXPECT_EQ(second->status, 503);
}

}  // namespace
}  // namespace corianderlink
