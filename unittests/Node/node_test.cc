// Tests of what a node takes from the answers of the platform.
#include "corianderlink/Node/node.h"

#include <gtest/gtest.h>

#include <deque>

#include "Common/free_address.h"
#include "corianderlink/Http/http_server.h"

namespace corianderlink {
namespace {

void Reply(HttpExchange& exchange, const std::string& instances) {
  exchange.Reply(200, "application/json",
                 R"({"instances":[)" + instances + "]}");
}

std::string Instance(const std::string& id) {
  return R"({"id":")" + id +
         R"(","zone":"a","entry":"127.0.0.1:1",)"
         R"("entry_peer":"127.0.0.1:2","fleet_peer":"127.0.0.1:3"})";
}

// The first question is answered after the second, with what held before.
TEST(NodeTest, LateListOfInstancesDoesNotReplaceANewerOne) {
  EventLoop loop;
  std::deque<std::shared_ptr<HttpExchange>> asked;
  HttpServer platform(loop, {},
                      [&](const std::shared_ptr<HttpExchange>& exchange) {
                        if (exchange->path() == "/v1/instances") {
                          asked.push_back(exchange);
                        } else {
                          exchange->Reply(503, "text/plain", "");
                        }
                      });
  const Address address = FreeAddress();
  platform.Listen(address);
  NodeSettings settings;
  settings.deployment = "test";
  settings.instance = "i0";
  settings.platform = address;
  settings.entry = {FreeAddress(), FreeAddress(), FreeAddress()};
  settings.timing.instance_poll = milliseconds(100);
  Node node(loop, settings, NodeKind::kEntry, std::nullopt, "token");
  std::string reason;
  ASSERT_TRUE(node.Start(reason)) << reason;
  const auto run_for = [&](Duration time) {
    const EventHandle stop = loop.After(time, [&] { loop.Stop(); });
    loop.Run();
  };
  while (asked.size() < 2) run_for(milliseconds(10));
  Reply(*asked[1], Instance("i0") + "," + Instance("i1"));
  run_for(milliseconds(20));
  ASSERT_EQ(node.peers().instances().size(), 2U);
  Reply(*asked[0], Instance("i0"));
  run_for(milliseconds(20));
  EXPECT_EQ(node.peers().instances().size(), 2U);
}

}  // namespace
}  // namespace corianderlink
