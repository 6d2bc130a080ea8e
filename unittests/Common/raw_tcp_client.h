// TCP clients for tests that send arbitrary bytes.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_RAW_TCP_CLIENT_H_
#define CORIANDERLINK_UNITTESTS_COMMON_RAW_TCP_CLIENT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "corianderlink/Support/address.h"

namespace corianderlink {

/// Returns a connected socket.  `receive_buffer_bytes` makes its receive window
/// small; 0 leaves it as it is.
inline int ConnectTo(const Address& to, int receive_buffer_bytes = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (receive_buffer_bytes > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof(receive_buffer_bytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.port);
  inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
  connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return fd;
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_RAW_TCP_CLIENT_H_
