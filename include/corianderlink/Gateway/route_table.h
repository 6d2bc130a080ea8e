// Matches requests to routes by host and path prefix.
#ifndef CORIANDERLINK_GATEWAY_ROUTE_TABLE_H_
#define CORIANDERLINK_GATEWAY_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "corianderlink/Gateway/gateway_config.h"

namespace corianderlink {

/// Index of the routes of one configuration, which it keeps alive.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::shared_ptr<const GatewayConfig> config);

  /// Returns the route of `host` with the longest prefix of `path`, or null if
  /// none matches.  Ignores the case of `host` and a port in it.
  const RouteSpec* Match(std::string_view host, std::string_view path) const;

 private:
  std::shared_ptr<const GatewayConfig> config_;
  // Routes by host in lower case, then by prefix.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const RouteSpec*>>
      routes_by_host_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ROUTE_TABLE_H_
