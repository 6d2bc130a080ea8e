// IP address and port of a process, parsed from "ip:port".
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

  /// Parses "127.0.0.1:8080"; names are not resolved.  Returns nothing for
  /// text without a numeric IP or with a port outside 1..65535.
  static std::optional<Address> Parse(const std::string& text);
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_ADDRESS_H_
