// Tests route matching, also by comparison with a linear search.
#include "corianderlink/Gateway/route_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace corianderlink {
namespace {

std::shared_ptr<GatewayConfig> MakeConfig(
    const std::vector<std::pair<std::string, std::string>>& routes) {
  auto config = std::make_shared<GatewayConfig>();
  for (const auto& [host, prefix] : routes) {
    RouteSpec route;
    route.id = RouteId(host + prefix);
    route.host = host;
    route.prefix = prefix;
    config->routes.push_back(route);
  }
  return config;
}

TEST(RouteTableTest, LongestPrefixWins) {
  const RouteTable table(
      MakeConfig({{"a", "/"}, {"a", "/x/"}, {"a", "/x/y/"}}));
  EXPECT_EQ(table.Match("a", "/x/y/z")->prefix, "/x/y/");
  EXPECT_EQ(table.Match("a", "/x/yz")->prefix, "/x/");
  EXPECT_EQ(table.Match("a", "/other")->prefix, "/");
}

TEST(RouteTableTest, HostMatchIgnoresCaseAndPort) {
  const RouteTable table(MakeConfig({{"Shop.example", "/x/"}}));
  EXPECT_NE(table.Match("shop.EXAMPLE:8080", "/x/1"), nullptr);
  EXPECT_EQ(table.Match("other.example", "/x/1"), nullptr);
}

TEST(RouteTableTest, NoMatchingPrefixGivesNoRoute) {
  const RouteTable table(MakeConfig({{"a", "/x/"}}));
  EXPECT_EQ(table.Match("a", "/x"), nullptr);
  EXPECT_EQ(table.Match("a", ""), nullptr);
  EXPECT_EQ(table.Match("a", "x/1"), nullptr);
}

RC_GTEST_PROP(RouteTableTest, AgreesWithLinearSearch, ()) {
  const auto segment = rc::gen::element<std::string>("a", "b", "ab");
  const auto prefixes = *rc::gen::container<std::vector<std::string>>(
      rc::gen::map(rc::gen::container<std::vector<std::string>>(segment),
                   [](std::vector<std::string> parts) {
                     if (parts.size() > 3) parts.resize(3);
                     std::string prefix = "/";
                     for (const std::string& part : parts) prefix += part + "/";
                     return prefix;
                   }));
  std::vector<std::pair<std::string, std::string>> routes;
  for (const std::string& prefix : prefixes) routes.push_back({"h", prefix});
  const auto parts = *rc::gen::container<std::vector<std::string>>(segment);
  std::string path = "/";
  for (const std::string& part : parts) path += part + "/";
  path += "end";
  std::string longest;
  for (const std::string& prefix : prefixes) {
    const bool matches = path.rfind(prefix, 0) == 0;
    if (matches && prefix.size() > longest.size()) longest = prefix;
  }
  const RouteTable table(MakeConfig(routes));
  const RouteSpec* route = table.Match("h", path);
  RC_ASSERT((route == nullptr ? std::string() : route->prefix) == longest);
}

}  // namespace
}  // namespace corianderlink
