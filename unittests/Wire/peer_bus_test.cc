// Tests of the message bus's connections to peers that stop answering.
#include "corianderlink/Wire/peer_bus.h"

#include <gtest/gtest.h>

#include "Common/free_address.h"
#include "Common/raw_tcp_server.h"
#include "Common/socket_inspection.h"
#include "corianderlink/Http/dead_peer_detection.h"
#include "peer.pb.h"

namespace corianderlink {
namespace {

class PeerBusTest : public ::testing::Test {
 protected:
  void RunFor(Duration duration) {
    const EventHandle stop = loop_.After(duration, [this] { loop_.Stop(); });
    loop_.Run();
  }

  EventLoop loop_;
};

// Blocks until the peer closes the connection; never answers.
void ReadUntilClosed(int fd) {
  char byte = 0;
  while (read(fd, &byte, 1) > 0) {
  }
}

// After a partition, a gateway once got no heartbeats for five seconds, since
// the connections of its peers were still backing off.
TEST_F(PeerBusTest, ConnectionFailsWhenSentDataStaysUnacknowledged) {
  RawTcpServer silent(ReadUntilClosed);
  PeerBus bus(loop_, "d", ProcessId("p"), std::nullopt);
  bus.Send(silent.address, wire::Envelope());
  RunFor(milliseconds(200));
  const std::optional<int> fd = FindSocketTo(silent.address);
  ASSERT_TRUE(fd);
  EXPECT_EQ(SocketOption(*fd, IPPROTO_TCP, TCP_USER_TIMEOUT),
            kTcpUserTimeout.count());
  EXPECT_EQ(SocketOption(*fd, SOL_SOCKET, SO_KEEPALIVE), 1);
  EXPECT_EQ(SocketOption(*fd, IPPROTO_TCP, TCP_KEEPIDLE),
            kTcpKeepAliveIdle.count());
}

TEST_F(PeerBusTest, ConnectsAnewIfThePeerDoesNotCompleteTheHandshake) {
  RawTcpServer silent(ReadUntilClosed);
  PeerBus bus(loop_, "d", ProcessId("p"), std::nullopt);
  bus.Send(silent.address, wire::Envelope());
  RunFor(seconds(4));
  EXPECT_GE(silent.connections, 2);
}

// The reconnect delay has grown to a second when the process starts again.
TEST_F(PeerBusTest, ReachesAStartedProcessWithoutReconnectDelay) {
  const Address address = FreeAddress();
  PeerBus sender(loop_, "d", ProcessId("s"), std::nullopt);
  sender.Send(address, wire::Envelope());
  RunFor(milliseconds(1700));
  sender.Send(address, wire::Envelope());
  PeerBus receiver(loop_, "d", ProcessId("r"), std::nullopt);
  int received = 0;
  receiver.signal_message.connect([&](const wire::Envelope&) { ++received; });
  ASSERT_TRUE(receiver.Listen(address));
  sender.OnPeerStarted(address);
  const EventHandle repeat = loop_.Every(
      milliseconds(20), [&] { sender.Send(address, wire::Envelope()); });
  RunFor(milliseconds(150));
  EXPECT_GT(received, 0);
}

}  // namespace
}  // namespace corianderlink
