// Finds the route of a request.
#include "corianderlink/Gateway/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace corianderlink {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const GatewayConfig> config)
    : config_(std::move(config)) {
  for (const RouteSpec& route : config_->routes) {
    hosts_[LowerCase(route.host)][route.prefix] = &route;
  }
}

const RouteSpec* RouteTable::Match(std::string_view host,
                                   std::string_view path) const {
  const auto found = hosts_.find(LowerCase(host.substr(0, host.find(':'))));
  if (found == hosts_.end()) return nullptr;
  const auto& prefixes = found->second;
  std::string candidate(path);
  while (!candidate.empty()) {
    const size_t slash = candidate.rfind('/');
    if (slash == std::string::npos) return nullptr;
    candidate.resize(slash + 1);
    const auto route = prefixes.find(candidate);
    if (route != prefixes.end()) return route->second;
    candidate.resize(slash);
  }
  return nullptr;
}

}  // namespace corianderlink
