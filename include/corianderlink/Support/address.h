// Network address of a process: a numeric IP address and a TCP port.
#ifndef CORIANDERLINK_SUPPORT_ADDRESS_H_
#define CORIANDERLINK_SUPPORT_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace corianderlink {

/// An IPv4 or IPv6 address with a TCP port.
struct Address {
  std::string ip;
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  std::string ToString() const { return ip + ":" + std::to_string(port); }

  /// Parses "ip:port", such as "127.0.0.1:8080"; host names are not resolved.
  /// Returns nullopt if the IP is not numeric or the port is not in 1..65535.
  static std::optional<Address> Parse(const std::string& text);
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_ADDRESS_H_
