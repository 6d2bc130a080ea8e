// Finds the route of a request.
#ifndef CORIANDERLINK_GATEWAY_ROUTE_TABLE_H_
#define CORIANDERLINK_GATEWAY_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "corianderlink/Gateway/gateway_config.h"

namespace corianderlink {

class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::shared_ptr<const GatewayConfig> config);

  /// Of the routes of `host`, the one with the longest prefix that begins
  /// `path`, or null.  A port in `host` is ignored.
  const RouteSpec* Match(std::string_view host, std::string_view path) const;

 private:
  std::shared_ptr<const GatewayConfig> config_;
  // By host, then by prefix.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const RouteSpec*>>
      hosts_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ROUTE_TABLE_H_
