// Tests of call outcomes and connection reuse against scripted TCP peers.
#include <string>
#include <thread>

#include "Http1/upstream_pool_fixture.h"
#include "corianderlink/Http1/carried_requests.h"

namespace corianderlink {
namespace {

TEST_F(UpstreamPoolTest, ReusesAConnection) {
  RawTcpServer peer([](int fd) { AnswerInTurn(fd, 1); });
  EXPECT_TRUE(Call(peer.address, "1").ended);
  EXPECT_TRUE(Call(peer.address, "2").ended);
  EXPECT_EQ(pool_.connections_opened(), 1U);
  pool_.CloseIdleConnections(peer.address);
  RunFor(milliseconds(10));
}

// Guards against requests to a process of the own machine: an address of the
// other family was taken for 0.0.0.0.
TEST_F(UpstreamPoolTest, AddressOfTheOtherFamilyIsNotTheOwnMachine) {
  RawTcpServer peer([](int fd) { AnswerInTurn(fd, 1); });
  const Address other{"::ffff:127.0.0.2", peer.address.port};
  const CallResult result = Call(other, "1");
  pool_.CloseIdleConnections(other);
  RunFor(milliseconds(10));
  EXPECT_FALSE(result.ended);
  ASSERT_TRUE(result.failure);
  EXPECT_EQ(result.failure->verdict, Verdict::kNotRun);
  EXPECT_EQ(peer.connections, 0);
}

TEST_F(UpstreamPoolTest, NewConnectionBeyondTheLimitReplacesAnIdleOne) {
  RawTcpServer peer([&](int fd) { AnswerInTurn(fd, peer.connections); });
  EXPECT_TRUE(Call(peer.address, "1").ended);
  EXPECT_EQ(pool_.AddressesWithIdleConnections().size(), 1U);
  // The idle connection is too old for the second request, but still open.
  max_idle_ = Duration::zero();
  max_connections_ = 1;
  RunFor(milliseconds(5));
  EXPECT_TRUE(Call(peer.address, "2").ended);
  EXPECT_EQ(pool_.connections_opened(), 2U);
  EXPECT_EQ(pool_.ConnectionCount(peer.address), 1U);
  pool_.CloseIdleConnections(peer.address);
  RunFor(milliseconds(10));
}

TEST_F(UpstreamPoolTest, RequestThatComesBackIsNotAnsweredByACopy) {
  RawTcpServer peer([&](int fd) {
    const bool is_first = peer.connections == 1;
    if (!ReadUntil(fd, "\r\n\r\n")) return;
    Write(fd, MakeResponse("1", is_first ? "refused" : "answered"));
    ReadUntil(fd, "never");
  });
  max_connections_ = 1;
  EXPECT_EQ(Call(peer.address, "1").body, "refused");
  EXPECT_EQ(Call(peer.address, "1").body, "answered");
  EXPECT_EQ(pool_.connections_opened(), 2U);
  EXPECT_EQ(pool_.ConnectionCount(peer.address), 1U);
  pool_.CloseIdleConnections(peer.address);
  RunFor(milliseconds(10));
}

TEST_F(UpstreamPoolTest, CallWithoutAnIdIsNotAnsweredByACopy) {
  RawTcpServer peer([&](int fd) {
    const bool is_first = peer.connections == 1;
    if (!ReadUntil(fd, "\r\n\r\n")) return;
    Write(fd, MakeResponse(is_first ? "1" : "", is_first ? "refused" : "own"));
    ReadUntil(fd, "never");
  });
  max_connections_ = 1;
  EXPECT_EQ(Call(peer.address, "1").body, "refused");
  EXPECT_EQ(Call(peer.address, "").body, "own");
  EXPECT_EQ(pool_.connections_opened(), 2U);
  pool_.CloseIdleConnections(peer.address);
  RunFor(milliseconds(10));
}

TEST_F(UpstreamPoolTest, CallsWithoutAnIdLeaveNoConnections) {
  RawTcpServer peer([&](int fd) {
    if (!ReadUntil(fd, "\r\n\r\n")) return;
    Write(fd, MakeResponse("", "x"));
    ReadUntil(fd, "never");
  });
  for (int i = 0; i < 30; ++i) {
    EXPECT_TRUE(Call(peer.address, "").ended);
    EXPECT_EQ(pool_.ConnectionCount(peer.address), 0U);
    RunFor(milliseconds(1));
  }
}

TEST_F(UpstreamPoolTest, HandleOfAnEndedCallDoesNotCancelTheNext) {
  RawTcpServer peer([](int fd) { AnswerInTurn(fd, 1); });
  EXPECT_TRUE(Call(peer.address, "1").ended);
  const auto ended = call_;
  const EventHandle cancel =
      loop_.After(milliseconds(5), [&] { ended->Cancel(); });
  standstill_ = milliseconds(20);
  EXPECT_TRUE(Call(peer.address, "2").ended);
  EXPECT_EQ(pool_.connections_opened(), 1U);
  pool_.CloseIdleConnections(peer.address);
  RunFor(milliseconds(10));
}

TEST_F(UpstreamPoolTest, ConnectionEndsOnceItHasCarriedItsLimit) {
  RawTcpServer peer([](int fd) { AnswerInTurn(fd, 1); });
  const int limit = CarriedRequests::kMaxRequests;
  for (int id = 1; id <= limit; ++id) {
    ASSERT_TRUE(Call(peer.address, std::to_string(id)).ended);
  }
  EXPECT_EQ(pool_.connections_opened(), 1U);
  EXPECT_EQ(pool_.ConnectionCount(peer.address), 0U);
  RunFor(milliseconds(10));
}

TEST_F(UpstreamPoolTest, DiscardsALateResponseToAnotherRequest) {
  RawTcpServer peer([](int fd) {
    if (!ReadUntil(fd, "\r\n\r\n")) return;
    Write(fd, MakeResponse("old", "wrong") + MakeResponse("new", "right"));
    ReadUntil(fd, "never");
  });
  const CallResult result = Call(peer.address, "new");
  EXPECT_TRUE(result.ended);
  EXPECT_EQ(result.body, "right");
  pool_.CloseIdleConnections(peer.address);
  RunFor(milliseconds(10));
}

TEST_F(UpstreamPoolTest, AnswerBehindACopyThatEndsTheConnectionArrives) {
  RawTcpServer peer([](int fd) {
    if (!ReadUntil(fd, "\r\n\r\n")) return;
    Write(fd, MakeResponse("1", "x"));
    if (!ReadUntil(fd, "\r\n\r\n")) return;
    Write(fd,
          "HTTP/1.1 503 Busy\r\nId: 1\r\nConnection: close\r\n"
          "Content-Length: 0\r\n\r\n");
    usleep(20000);
    Write(fd, MakeResponse("2", "right"));
    ReadUntil(fd, "never");
  });
  EXPECT_TRUE(Call(peer.address, "1").ended);
  const CallResult result = Call(peer.address, "2");
  EXPECT_TRUE(result.ended);
  EXPECT_EQ(result.body, "right");
  EXPECT_EQ(pool_.ConnectionCount(peer.address), 0U);
  RunFor(milliseconds(10));
}

TEST_F(UpstreamPoolTest, ClosesAnIdleConnectionWithUnsolicitedData) {
  RawTcpServer peer([](int fd) {
    if (!ReadUntil(fd, "\r\n\r\n")) return;
    Write(fd, MakeResponse("1", "x"));
    usleep(20000);
    Write(fd, MakeResponse("2", "unsolicited"));
    ReadUntil(fd, "never");
  });
  EXPECT_TRUE(Call(peer.address, "1").ended);
  RunFor(milliseconds(60));
  EXPECT_EQ(pool_.ConnectionCount(peer.address), 0U);
}

TEST_F(UpstreamPoolTest, RefusedConnectionHasNotRun) {
  Address closed;
  {
    const RawTcpServer peer([](int) {});
    closed = peer.address;
  }
  const CallResult result = Call(closed, "1");
  ASSERT_TRUE(result.failure);
  EXPECT_EQ(result.failure->verdict, Verdict::kNotRun);
}

TEST_F(UpstreamPoolTest, CloseAfterReadingMayHaveRun) {
  RawTcpServer peer([](int fd) { ReadUntil(fd, "\r\n\r\n"); });
  const CallResult result = Call(peer.address, "1");
  ASSERT_TRUE(result.failure);
  EXPECT_EQ(result.failure->verdict, Verdict::kMayHaveRun);
}

TEST_F(UpstreamPoolTest, RequestThatReachedItsUpstreamIsNeverCalledNotRun) {
  std::atomic<int> received{0};
  RawTcpServer peer([&](int fd) {
    if (!ReadUntil(fd, "\r\n\r\n")) return;
    ++received;
    Write(fd, MakeResponse("1", "x"));
    ReadUntil(fd, "never");
  });
  connect_timeout_ = milliseconds(30);
  standstill_ = milliseconds(60);
  const CallResult result = Call(peer.address, "1");
  pool_.CloseIdleConnections(peer.address);
  RunFor(milliseconds(50));
  const bool not_run =
      result.failure && result.failure->verdict == Verdict::kNotRun;
  EXPECT_TRUE(result.ended);
  EXPECT_FALSE(not_run && received > 0);
}

TEST_F(UpstreamPoolTest, BodyWithoutLengthEndsAtEof) {
  RawTcpServer peer([](int fd) {
    ReadUntil(fd, "\r\n\r\n");
    Write(fd, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole");
  });
  const CallResult result = Call(peer.address, "1");
  EXPECT_TRUE(result.ended);
  EXPECT_EQ(result.body, "whole");
}

TEST_F(UpstreamPoolTest, BodyWithoutLengthIsIncompleteAfterReset) {
  RawTcpServer peer([](int fd) {
    ReadUntil(fd, "\r\n\r\n");
    Write(fd, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart");
    usleep(20000);
    const linger reset{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  });
  const CallResult result = Call(peer.address, "1");
  EXPECT_FALSE(result.ended);
  ASSERT_TRUE(result.failure);
  EXPECT_EQ(result.failure->verdict, Verdict::kMayHaveRun);
}

TEST_F(UpstreamPoolTest, TruncatedBodyIsAFailure) {
  RawTcpServer peer([](int fd) {
    ReadUntil(fd, "\r\n\r\n");
    Write(fd, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf");
  });
  const CallResult result = Call(peer.address, "1");
  EXPECT_FALSE(result.ended);
  EXPECT_TRUE(result.failure);
}

TEST_F(UpstreamPoolTest, MalformedResponseIsAFailure) {
  RawTcpServer peer([](int fd) {
    ReadUntil(fd, "\r\n\r\n");
    Write(fd, "\x01\x02 what is this\r\n\r\n");
  });
  const CallResult result = Call(peer.address, "1");
  ASSERT_TRUE(result.failure);
  EXPECT_EQ(result.failure->verdict, Verdict::kMayHaveRun);
}

TEST_F(UpstreamPoolTest, ConnectionIsNotReusedAfterAnEarlyResponse) {
  RawTcpServer peer([](int fd) {
    ReadUntil(fd, "\r\n\r\n");
    Write(fd, MakeResponse("1", "early"));
    ReadUntil(fd, "never");
  });
  // Larger than the socket buffers, so part of the request is still unsent
  // when the response arrives.
  const CallResult result =
      Call(peer.address, "1", std::string(8 * 1024 * 1024, 'b'));
  EXPECT_TRUE(result.ended);
  EXPECT_EQ(pool_.IdleConnectionCount(peer.address), 0U);
  RunFor(milliseconds(10));
}

TEST_F(UpstreamPoolTest, InterimResponseIsDiscarded) {
  RawTcpServer peer([](int fd) {
    ReadUntil(fd, "\r\n\r\n");
    Write(fd, "HTTP/1.1 102 Processing\r\n\r\n" + MakeResponse("1", "final"));
    ReadUntil(fd, "never");
  });
  const CallResult result = Call(peer.address, "1");
  EXPECT_TRUE(result.ended);
  EXPECT_EQ(result.body, "final");
  pool_.CloseIdleConnections(peer.address);
  RunFor(milliseconds(10));
}

// Writes until the peer closes the connection; returns the number of bytes.
size_t WriteUntilClosed(int fd, const std::string& text) {
  size_t sent = 0;
  while (true) {
    const ssize_t n = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (n <= 0) return sent;
    sent += static_cast<size_t>(n);
  }
}

TEST_F(UpstreamPoolTest, EndlessHeadIsAFailure) {
  std::atomic<size_t> sent{0};
  RawTcpServer peer([&](int fd) {
    ReadUntil(fd, "\r\n\r\n");
    Write(fd, "HTTP/1.1 200 OK\r\n");
    sent = WriteUntilClosed(fd, "X-More: " + std::string(1000, 'x') + "\r\n");
  });
  const CallResult result = Call(peer.address, "1");
  EXPECT_TRUE(result.failure);
  RunFor(milliseconds(100));
  EXPECT_LT(sent, 8U * 1024 * 1024);
}

TEST_F(UpstreamPoolTest, EndlessBytesAfterAResponseCloseTheConnection) {
  std::atomic<size_t> sent{0};
  RawTcpServer peer([&](int fd) {
    ReadUntil(fd, "\r\n\r\n");
    Write(fd, MakeResponse("1", "x"));
    sent = WriteUntilClosed(fd, std::string(1000, 'x'));
  });
  const CallResult result = Call(peer.address, "1");
  EXPECT_TRUE(result.ended);
  EXPECT_EQ(result.body, "x");
  RunFor(milliseconds(200));
  EXPECT_EQ(pool_.ConnectionCount(peer.address), 0U);
  EXPECT_LT(sent, 8U * 1024 * 1024);
}

}  // namespace
}  // namespace corianderlink
