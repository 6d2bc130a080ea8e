// Detection of TCP peers that vanished without closing their connections.
#include "corianderlink/Http/dead_peer_detection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace corianderlink {
namespace {

void SetIntOption(int fd, int level, int option, int value) {
  setsockopt(fd, level, option, &value, sizeof(value));
}

}  // namespace

void EnableDeadPeerDetection(int fd) {
  if (fd < 0) return;
  SetIntOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetIntOption(fd, IPPROTO_TCP, TCP_KEEPIDLE,
               static_cast<int>(kTcpKeepAliveIdle.count()));
  SetIntOption(fd, IPPROTO_TCP, TCP_KEEPINTVL,
               static_cast<int>(kTcpKeepAliveInterval.count()));
  SetIntOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kTcpKeepAliveProbes);
  SetUserTimeout(fd, kTcpUserTimeout);
}

void SetUserTimeout(int fd, milliseconds timeout) {
  if (fd < 0) return;
  SetIntOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(timeout.count()));
}

}  // namespace corianderlink
