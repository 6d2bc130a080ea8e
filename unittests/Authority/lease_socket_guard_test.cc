// Tests for LeaseSocketGuard with real sockets and a stopped process.
#include "corianderlink/Authority/lease_socket_guard.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <optional>
#include <string>

#include "Common/raw_tcp_server.h"

namespace corianderlink {
namespace {

constexpr int kRounds = 20;
constexpr milliseconds kLease{60};
constexpr milliseconds kUndelivered{500};

/// A connected pair of TCP sockets on loopback.
struct TcpPair {
  int local = -1;
  int remote = -1;

  explicit TcpPair(int receive_buffer = 0) {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer > 0) {
      setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bind(listener, reinterpret_cast<sockaddr*>(&address), size);
    listen(listener, 1);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    local = socket(AF_INET, SOCK_STREAM, 0);
    connect(local, reinterpret_cast<sockaddr*>(&address), size);
    remote = accept(listener, nullptr, nullptr);
    close(listener);
  }
  ~TcpPair() {
    close(local);
    close(remote);
  }
};

/// Stops a child process between its lease check and its write until the lease
/// has ended.  Returns the bytes that the engine's end of the connection
/// received.
std::string WriteAfterStop(bool guarded) {
  TcpPair pair;
  const pid_t child = fork();
  if (child == 0) {
    close(pair.remote);
    LeaseSocketGuard guard;
    const Time end = BootClock::now() + kLease;
    if (guarded && !guard.Arm(pair.local, end, kUndelivered)) _exit(1);
    const bool held = BootClock::now() < end;  // Lease check.
    raise(SIGSTOP);
    if (held) {
      signal(SIGPIPE, SIG_IGN);
      const ssize_t sent = write(pair.local, "order", 5);
      (void)sent;
    }
    _exit(0);
  }
  close(pair.local);
  pair.local = -1;
  int status = 0;
  waitpid(child, &status, WUNTRACED);  // Waits until the child has stopped.
  // The child set its timer before it stopped, so its lease ends before this.
  const Time ended = BootClock::now() + kLease;
  while (BootClock::now() < ended) poll(nullptr, 0, 5);
  kill(child, SIGCONT);
  waitpid(child, &status, 0);
  return ReadToEnd(pair.remote);
}

TEST(LeaseSocketGuardTest, StoppedHolderWritesNothingAfterItsLease) {
  int late_writes_unguarded = 0;
  int late_writes_guarded = 0;
  for (int i = 0; i < kRounds; ++i) {
    late_writes_unguarded += WriteAfterStop(false) == "order" ? 1 : 0;
    late_writes_guarded += WriteAfterStop(true).empty() ? 0 : 1;
  }
  // Without the guard every write arrives, so the test provokes the failure.
  EXPECT_EQ(late_writes_unguarded, kRounds);
  EXPECT_EQ(late_writes_guarded, 0);
}

/// Queues an order behind bytes that the engine has not read yet, lets the
/// lease end, and then reads.  Returns true if the order arrived.
bool QueuedOrderArrives(bool guarded) {
  TcpPair pair(4096);
  LeaseSocketGuard guard;
  // More than the receive buffer holds, but less than the send buffer.
  const int send_buffer = 1024 * 1024;
  setsockopt(pair.local, SOL_SOCKET, SO_SNDBUF, &send_buffer,
             sizeof(send_buffer));
  const std::string filler(256 * 1024, 'x');
  EXPECT_EQ(send(pair.local, filler.data(), filler.size(), MSG_DONTWAIT),
            static_cast<ssize_t>(filler.size()));
  std::optional<int> handle;
  if (guarded) {
    handle = guard.Arm(pair.local, BootClock::now() + kLease, seconds(5));
  }
  const std::string order = "ORDER";
  EXPECT_EQ(
      send(pair.local, order.data(), order.size(), MSG_DONTWAIT | MSG_NOSIGNAL),
      static_cast<ssize_t>(order.size()));
  if (guarded) {
    // The signal handler interrupts poll().
    while (!guard.WasReset(*handle)) poll(nullptr, 0, 5);
    guard.Disarm(*handle);
  } else {
    shutdown(pair.local, SHUT_WR);
  }
  return ReadToEnd(pair.remote).find(order) != std::string::npos;
}

TEST(LeaseSocketGuardTest, DiscardsAQueuedOrderAtTheEndOfTheLease) {
  EXPECT_TRUE(QueuedOrderArrives(false));  // shutdown() delivers the order.
  EXPECT_FALSE(QueuedOrderArrives(true));
}

TEST(LeaseSocketGuardTest, RefusesALeaseThatHasEnded) {
  TcpPair pair;
  LeaseSocketGuard guard;
  EXPECT_FALSE(
      guard.Arm(pair.local, BootClock::now() - seconds(1), kUndelivered));
}

TEST(LeaseSocketGuardTest, DisarmedDescriptorStaysUsable) {
  TcpPair pair;
  LeaseSocketGuard guard;
  const auto handle =
      guard.Arm(pair.local, BootClock::now() + kLease, kUndelivered);
  ASSERT_TRUE(handle);
  EXPECT_FALSE(guard.Disarm(*handle));
  poll(nullptr, 0, 100);
  EXPECT_EQ(write(pair.local, "x", 1), 1);
}

}  // namespace
}  // namespace corianderlink
