// Addresses as the socket calls take them.
#include "corianderlink/Http/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace corianderlink {

SocketAddress ToSocketAddress(const Address& address) {
  SocketAddress result;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&result.any);
  if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    result.size = sizeof(*v4);
    return result;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.any);
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons(address.port);
  result.size = sizeof(*v6);
  // An address is numeric; port 0 of none is refused.
  result.is_numeric =
      inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1;
  if (!result.is_numeric) v6->sin6_port = 0;
  return result;
}

}  // namespace corianderlink
