// Reads socket options of connections that the code under test has opened.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_SOCKET_INSPECTION_H_
#define CORIANDERLINK_UNITTESTS_COMMON_SOCKET_INSPECTION_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>

#include "corianderlink/Support/address.h"

namespace corianderlink {

/// Socket of this process that is connected to `peer`, or nothing.
inline std::optional<int> FindSocketTo(const Address& peer) {
  constexpr int kMaxDescriptors = 1024;
  for (int fd = 0; fd < kMaxDescriptors; ++fd) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      continue;
    }
    if (address.sin_family != AF_INET) continue;
    if (ntohs(address.sin_port) == peer.port) return fd;
  }
  return std::nullopt;
}

/// Value of an integer socket option, or -1.
inline int SocketOption(int fd, int level, int option) {
  int value = -1;
  socklen_t size = sizeof(value);
  if (getsockopt(fd, level, option, &value, &size) != 0) return -1;
  return value;
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_SOCKET_INSPECTION_H_
