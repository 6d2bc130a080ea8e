// Loopback addresses for tests.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_FREE_ADDRESS_H_
#define CORIANDERLINK_UNITTESTS_COMMON_FREE_ADDRESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

#include "corianderlink/Support/address.h"

namespace corianderlink {

/// Returns a loopback address with an unused port, another one each time.  The
/// port is below those that the system gives to connections, and test programs
/// that run at the same time begin at different ports, so that no other process
/// gets it before it is bound.
inline Address FreeAddress() {
  constexpr int kFirstPort = 12000;
  constexpr int kPorts = 20000;
  constexpr int kPortsPerProcess = 400;
  static int offset = getpid() * kPortsPerProcess % kPorts;
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int tried = 0; tried < kPorts; ++tried) {
    offset = (offset + 1) % kPorts;
    const auto port = static_cast<uint16_t>(kFirstPort + offset);
    name.sin_port = htons(port);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int bound =
        bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name));
    close(fd);
    if (bound == 0) return {"127.0.0.1", port};
  }
  return {};
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_FREE_ADDRESS_H_
