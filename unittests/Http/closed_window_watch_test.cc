// Tests of the watch over connections whose peer does not read.
#include "corianderlink/Http/closed_window_watch.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <memory>
#include <string>

#include "Common/raw_tcp_client.h"
#include "Common/socket_inspection.h"
#include "corianderlink/Http/dead_peer_detection.h"

namespace corianderlink {
namespace {

constexpr int kSmallBufferBytes = 16 * 1024;
// Longer than the interval of the checks.
constexpr Duration kSeveralChecks = kTcpUserTimeout * 2 / 3;

/// A connection, and the socket of its peer, which reads only if it is told to.
class ClosedWindowWatchTest : public ::testing::Test {
 protected:
  ClosedWindowWatchTest() {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bind(listener, reinterpret_cast<sockaddr*>(&address), size);
    listen(listener, 1);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    peer_ =
        ConnectTo({"127.0.0.1", ntohs(address.sin_port)}, kSmallBufferBytes);
    fcntl(peer_, F_SETFL, O_NONBLOCK);
    fd_ = accept(listener, nullptr, nullptr);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    close(listener);
    EnableDeadPeerDetection(fd_);
    stream_ = bufferevent_socket_new(loop_.base(), fd_, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(stream_, EV_WRITE);
    watch_ = std::make_unique<ClosedWindowWatch>(loop_, stream_);
  }
  ~ClosedWindowWatchTest() override {
    watch_.reset();
    bufferevent_free(stream_);
    close(peer_);
  }

  void Write(size_t bytes) {
    const std::string data(bytes, 'x');
    bufferevent_write(stream_, data.data(), data.size());
  }
  void RunFor(Duration duration) {
    const EventHandle stop = loop_.After(duration, [this] { loop_.Stop(); });
    loop_.Run();
  }
  void ReadAsPeerFor(Duration duration) {
    const EventHandle reading = loop_.Every(milliseconds(1), [this] {
      char buffer[64 * 1024];
      while (read(peer_, buffer, sizeof(buffer)) > 0) {
      }
    });
    RunFor(duration);
  }
  int UserTimeout() const {
    return SocketOption(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT);
  }

  EventLoop loop_;
  int peer_ = -1;
  int fd_ = -1;
  bufferevent* stream_ = nullptr;
  std::unique_ptr<ClosedWindowWatch> watch_;
};

TEST_F(ClosedWindowWatchTest, LimitIsLiftedWhileTheWindowIsClosed) {
  EXPECT_EQ(UserTimeout(), kTcpUserTimeout.count());
  Write(1'000'000);
  RunFor(kSeveralChecks);
  EXPECT_EQ(UserTimeout(), 0);
  ReadAsPeerFor(kSeveralChecks);
  EXPECT_EQ(UserTimeout(), kTcpUserTimeout.count());
}

// Guards against an answer that is cut after the close: a check that was due in
// the same turn of the loop set the limit again.
TEST_F(ClosedWindowWatchTest, NoCheckFollowsTheClose) {
  Write(1000);
  watch_->BeforeClose();
  RunFor(kSeveralChecks);
  EXPECT_EQ(UserTimeout(), 0);
}

}  // namespace
}  // namespace corianderlink
