// Tests of the order gate on real sockets with a stopped process.
#include "corianderlink/Authority/order_gate.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <optional>
#include <string>

namespace corianderlink {
namespace {

constexpr int kRounds = 20;
constexpr milliseconds kLease{60};
constexpr milliseconds kUndelivered{500};

/// A connected pair of TCP sockets on loopback.
struct TcpPair {
  int near = -1;
  int far = -1;

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
    near = socket(AF_INET, SOCK_STREAM, 0);
    connect(near, reinterpret_cast<sockaddr*>(&address), size);
    far = accept(listener, nullptr, nullptr);
    close(listener);
  }
  ~TcpPair() {
    close(near);
    close(far);
  }
};

/// Everything that arrives until the end of the connection.
std::string ReadAll(int fd) {
  std::string text;
  char buffer[4096];
  ssize_t n = 0;
  while ((n = read(fd, buffer, sizeof(buffer))) > 0) {
    text.append(buffer, static_cast<size_t>(n));
  }
  return text;
}

/// Stops a child between its check and its write until its lease has ended.
/// Returns what the engine's side received.
std::string WriteAfterFreeze(bool gated) {
  TcpPair pair;
  const pid_t child = fork();
  if (child == 0) {
    close(pair.far);
    OrderGate gate;
    const Time end = BootClock::now() + kLease;
    if (gated && !gate.Arm(pair.near, end, kUndelivered)) _exit(1);
    const bool held = BootClock::now() < end;  // The check.
    raise(SIGSTOP);
    if (held) {
      signal(SIGPIPE, SIG_IGN);
      const ssize_t sent = write(pair.near, "order", 5);
      (void)sent;
    }
    _exit(0);
  }
  close(pair.near);
  pair.near = -1;
  int status = 0;
  waitpid(child, &status, WUNTRACED);  // Stopped.
  // The child armed its timer before it stopped.
  const Time ended = BootClock::now() + kLease;
  while (BootClock::now() < ended) poll(nullptr, 0, 5);
  kill(child, SIGCONT);
  waitpid(child, &status, 0);
  return ReadAll(pair.far);
}

TEST(OrderGateTest, FrozenHolderWritesNothingAfterItsLease) {
  int late_without = 0;
  int late_with = 0;
  for (int i = 0; i < kRounds; ++i) {
    late_without += WriteAfterFreeze(false) == "order" ? 1 : 0;
    late_with += WriteAfterFreeze(true).empty() ? 0 : 1;
  }
  EXPECT_EQ(late_without, kRounds);  // The naive version.
  EXPECT_EQ(late_with, 0);
}

/// Queues an order behind bytes that the engine does not read yet, lets the
/// lease end, and then reads.  Returns whether the order arrived.
bool QueuedOrderArrives(bool gated) {
  TcpPair pair(4096);
  OrderGate gate;
  // More than the reader takes in, less than the writer may queue.
  const int send_buffer = 1024 * 1024;
  setsockopt(pair.near, SOL_SOCKET, SO_SNDBUF, &send_buffer,
             sizeof(send_buffer));
  const std::string filler(256 * 1024, 'x');
  EXPECT_EQ(send(pair.near, filler.data(), filler.size(), MSG_DONTWAIT),
            static_cast<ssize_t>(filler.size()));
  std::optional<int> handle;
  if (gated) {
    handle = gate.Arm(pair.near, BootClock::now() + kLease, seconds(5));
  }
  const std::string order = "ORDER";
  EXPECT_EQ(
      send(pair.near, order.data(), order.size(), MSG_DONTWAIT | MSG_NOSIGNAL),
      static_cast<ssize_t>(order.size()));
  if (gated) {
    // The signal handler interrupts the wait.
    while (!gate.WasCut(*handle)) poll(nullptr, 0, 5);
    gate.Disarm(*handle);
  } else {
    shutdown(pair.near, SHUT_WR);
  }
  return ReadAll(pair.far).find(order) != std::string::npos;
}

TEST(OrderGateTest, QueuedOrderIsDroppedAtTheEndOfTheLease) {
  EXPECT_TRUE(QueuedOrderArrives(false));  // shutdown() still delivers it.
  EXPECT_FALSE(QueuedOrderArrives(true));
}

TEST(OrderGateTest, EndedLeaseIsNotArmed) {
  TcpPair pair;
  OrderGate gate;
  EXPECT_FALSE(
      gate.Arm(pair.near, BootClock::now() - seconds(1), kUndelivered));
}

TEST(OrderGateTest, DisarmedDescriptorStaysUsable) {
  TcpPair pair;
  OrderGate gate;
  const auto handle =
      gate.Arm(pair.near, BootClock::now() + kLease, kUndelivered);
  ASSERT_TRUE(handle);
  EXPECT_FALSE(gate.Disarm(*handle));
  poll(nullptr, 0, 100);
  EXPECT_EQ(write(pair.near, "x", 1), 1);
}

}  // namespace
}  // namespace corianderlink
