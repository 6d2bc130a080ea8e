// Matches requests to routes by host and path prefix.
#include "corianderlink/Gateway/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace corianderlink {
namespace {

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const GatewayConfig> config)
    : config_(std::move(config)) {
  for (const RouteSpec& route : config_->routes) {
    routes_by_host_[ToLower(route.host)][route.prefix] = &route;
  }
}

const RouteSpec* RouteTable::Match(std::string_view host,
                                   std::string_view path) const {
  const auto host_entry =
      routes_by_host_.find(ToLower(host.substr(0, host.find(':'))));
  if (host_entry == routes_by_host_.end()) return nullptr;
  const auto& routes_by_prefix = host_entry->second;
  // Tries the prefixes of the path that end with a slash, the longest first.
  std::string prefix(path);
  while (!prefix.empty()) {
    const size_t slash = prefix.rfind('/');
    if (slash == std::string::npos) return nullptr;
    prefix.resize(slash + 1);
    const auto route = routes_by_prefix.find(prefix);
    if (route != routes_by_prefix.end()) return route->second;
    prefix.resize(slash);
  }
  return nullptr;
}

}  // namespace corianderlink
