// Tests of the client's verdicts against peers that close the connection at
// each stage of a call.
#include "corianderlink/Http/http_client.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <thread>

#include "Common/raw_tcp_server.h"
#include "Common/socket_inspection.h"
#include "corianderlink/Http/dead_peer_detection.h"
#include "corianderlink/Http/event_loop.h"

namespace corianderlink {
namespace {

/// Reads one request.  Returns false if the client closed the connection before
/// the end of the body.
bool ReadRequest(int fd) {
  std::string text;
  char buffer[1024];
  while (text.find("payload") == std::string::npos) {
    const ssize_t n = read(fd, buffer, sizeof(buffer));
    if (n <= 0) return false;
    text.append(buffer, static_cast<size_t>(n));
  }
  return true;
}

void Write(int fd, const std::string& text) {
  const ssize_t n = write(fd, text.data(), text.size());
  (void)n;
}

/// If `standstill` is given, the process stands still for that long after the
/// call was started, and the loop goes on for a while after its end.
HttpResponse Post(const Address& address, Duration timeout = milliseconds(2000),
                  Duration standstill = Duration::zero()) {
  EventLoop loop;
  HttpClient client(loop);
  HttpRequest request;
  request.address = address;
  request.method = "POST";
  request.body = "payload";
  request.timeout = timeout;
  HttpResponse result;
  EventHandle stop;
  client.Start(request, [&](const HttpResponse& response) {
    result = response;
    stop = loop.After(standstill, [&loop] { loop.Stop(); });
  });
  std::this_thread::sleep_for(standstill);
  loop.Run();
  return result;
}

// A watch of the store waits for a response without sending anything, so only
// keep-alive probes show that its connection is dead.
TEST(HttpClientTest, ConnectionDetectsADeadPeer) {
  RawTcpServer peer([](int fd) { ReadRequest(fd); });
  EventLoop loop;
  HttpClient client(loop);
  HttpRequest request;
  request.address = peer.address;
  const auto call = client.Start(request, [](const HttpResponse&) {});
  EXPECT_EQ(SocketOption(call->fd(), IPPROTO_TCP, TCP_USER_TIMEOUT),
            kTcpUserTimeout.count());
  EXPECT_EQ(SocketOption(call->fd(), SOL_SOCKET, SO_KEEPALIVE), 1);
  call->Cancel();
  const EventHandle stop =
      loop.After(milliseconds(50), [&loop] { loop.Stop(); });
  loop.Run();
}

TEST(HttpClientTest, RefusedConnectionMeansNotRun) {
  Address address;
  {
    RawTcpServer peer([](int) {});
    address = peer.address;
  }
  EXPECT_EQ(Post(address).outcome.verdict, Verdict::kNotRun);
}

TEST(HttpClientTest, CloseBeforeReadingMayHaveRunAndIsNotRetried) {
  for (int i = 0; i < 20; ++i) {
    RawTcpServer peer([](int) {});
    EXPECT_EQ(Post(peer.address).outcome.verdict, Verdict::kMayHaveRun);
    EXPECT_EQ(peer.connections, 1);
  }
}

TEST(HttpClientTest, CloseAfterReadingMayHaveRunAndIsNotRetried) {
  std::atomic<int> requests{0};
  RawTcpServer peer([&](int fd) { requests += ReadRequest(fd) ? 1 : 0; });
  EXPECT_EQ(Post(peer.address).outcome.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(requests, 1);
  EXPECT_EQ(peer.connections, 1);
}

TEST(HttpClientTest, TruncatedResponseMayHaveRun) {
  for (const char* truncated :
       {"HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n\r",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}) {
    RawTcpServer peer([truncated](int fd) {
      ReadRequest(fd);
      Write(fd, truncated);
    });
    EXPECT_EQ(Post(peer.address).outcome.verdict, Verdict::kMayHaveRun)
        << truncated;
  }
}

TEST(HttpClientTest, NoStatusOfACutHeadIsPassedOn) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nStore-Era: 3\r\nContent-Length: 0\r\n\r\n";
  for (const bool reset : {false, true}) {
    for (size_t length = 1; length < head.size(); ++length) {
      RawTcpServer peer([&](int fd) {
        ReadRequest(fd);
        Write(fd, head.substr(0, length));
        if (!reset) return;
        usleep(2'000);
        const linger abort{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
      });
      const HttpResponse response = Post(peer.address);
      EXPECT_EQ(response.outcome.verdict, Verdict::kMayHaveRun) << length;
      EXPECT_EQ(response.status, 0) << length;
      EXPECT_FALSE(response.ok()) << length;
    }
  }
}

TEST(HttpClientTest, BodyWithoutLengthIsIncompleteAfterReset) {
  for (const char* body : {"", "half"}) {
    RawTcpServer peer([body](int fd) {
      ReadRequest(fd);
      Write(fd, std::string("HTTP/1.1 200 OK\r\n\r\n") + body);
      usleep(20'000);
      const linger abort{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    });
    const HttpResponse response = Post(peer.address);
    EXPECT_EQ(response.outcome.verdict, Verdict::kMayHaveRun) << body;
    EXPECT_FALSE(response.ok()) << body;
  }
}

/// Sends an answer that begins with `begin` and goes on with copies of `block`
/// until the client closes the connection; returns the number of bytes.
size_t AnswerWithoutEnd(int fd, const std::string& begin,
                        const std::string& block) {
  ReadRequest(fd);
  Write(fd, begin);
  size_t sent = 0;
  ssize_t n = 0;
  while ((n = send(fd, block.data(), block.size(), MSG_NOSIGNAL)) > 0) {
    sent += static_cast<size_t>(n);
  }
  return sent;
}

// Guards against a process that exceeds its memory: an upstream sent bytes
// without end, and all of them were kept until the time limit of the call.
TEST(HttpClientTest, AnswerWithoutEndIsNotKept) {
  // The longest body that a call takes, and what the sockets hold.
  constexpr size_t kMostBytes = 80 * 1024 * 1024;
  const std::string block(256 * 1024, 'j');
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& begin :
       {std::string("HTTP/1.1 200 OK\r\nX-Trace: "), chunked + "5;x=",
        chunked + "0\r\nX-Trace: ", std::string("HTTP/1.1 200 OK\r\n\r\n")}) {
    std::atomic<size_t> sent{0};
    {
      RawTcpServer peer(
          [&](int fd) { sent = AnswerWithoutEnd(fd, begin, block); });
      const HttpResponse response = Post(peer.address);
      EXPECT_EQ(response.outcome.verdict, Verdict::kMayHaveRun) << begin;
    }
    EXPECT_LT(sent, kMostBytes) << begin;
  }
}

TEST(HttpClientTest, TimeoutWithoutResponseMayHaveRun) {
  RawTcpServer peer([](int fd) {
    ReadRequest(fd);
    char end;
    const ssize_t n = read(fd, &end, 1);  // Until the client closes.
    (void)n;
  });
  EXPECT_EQ(Post(peer.address, milliseconds(100)).outcome.verdict,
            Verdict::kMayHaveRun);
}

TEST(HttpClientTest, RequestThatReachedItsUpstreamIsNeverCalledNotRun) {
  // Below and above the delay from which a timer lets arrived events go first.
  for (const Duration standstill : {milliseconds(30), milliseconds(100)}) {
    std::atomic<int> received{0};
    RawTcpServer peer([&](int fd) { received += ReadRequest(fd) ? 1 : 0; });
    const HttpResponse response =
        Post(peer.address, milliseconds(10), standstill);
    const bool not_run = response.outcome.verdict == Verdict::kNotRun;
    EXPECT_FALSE(not_run && received > 0);
  }
}

TEST(HttpClientTest, CompleteResponseMeansRan) {
  RawTcpServer peer([](int fd) {
    ReadRequest(fd);
    Write(fd, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok");
  });
  const HttpResponse response = Post(peer.address);
  EXPECT_TRUE(response.outcome.ran());
  EXPECT_EQ(response.status, 201);
  EXPECT_EQ(response.body, "ok");
}

// A malformed response must neither pass as a response nor crash the client.
TEST(HttpClientTest, MalformedResponseIsAFailure) {
  RawTcpServer peer([](int fd) {
    ReadRequest(fd);
    Write(fd, std::string("\0\xff\xfe garbage \r\n\r\n\r\n", 18));
  });
  EXPECT_FALSE(Post(peer.address).ok());
}

}  // namespace
}  // namespace corianderlink
