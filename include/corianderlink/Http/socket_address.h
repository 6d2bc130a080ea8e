// Addresses as the socket calls take them.
#ifndef CORIANDERLINK_HTTP_SOCKET_ADDRESS_H_
#define CORIANDERLINK_HTTP_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include "corianderlink/Support/address.h"

namespace corianderlink {

/// An address of either family.
struct SocketAddress {
  sockaddr_storage any{};
  socklen_t size = 0;
  /// The text was a numeric address.
  bool is_numeric = true;

  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&any);
  }
};

/// Port 0 of no address if the text is not a numeric address.
SocketAddress ToSocketAddress(const Address& address);

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_SOCKET_ADDRESS_H_
