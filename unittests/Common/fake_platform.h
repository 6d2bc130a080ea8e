// The platform's services of one instance on a real socket.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_FAKE_PLATFORM_H_
#define CORIANDERLINK_UNITTESTS_COMMON_FAKE_PLATFORM_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Common/fake_table.h"
#include "Common/free_address.h"
#include "corianderlink/Http/http_server.h"
#include "corianderlink/Platform/table_codec.h"

namespace corianderlink {

/// Table service, object store and instance list of one instance, "i0".
class FakePlatform {
 public:
  explicit FakePlatform(EventLoop& loop)
      : server_(loop, {},
                [this](const std::shared_ptr<HttpExchange>& exchange) {
                  OnRequest(exchange);
                }) {
    server_.Listen(address);
  }

  /// Reads of objects are kept back until ReleaseHeldGets().
  bool hold_gets = false;
  size_t held_gets() const { return held_gets_.size(); }
  void ReleaseHeldGets() {
    hold_gets = false;
    for (const auto& [key, exchange] : std::exchange(held_gets_, {})) {
      exchange->Reply(200, "text/plain", objects[key]);
    }
  }

  /// Object keys whose next PUT is kept back until ReleaseHeldPuts().
  bool hold_puts = false;

  /// Transactions that are applied, but not answered until
  /// ReleaseHeldAnswers().
  std::function<bool(const TableTransaction&)> holds_answer;
  size_t held_answers() const { return held_answers_.size(); }
  void ReleaseHeldAnswers() {
    for (const auto& [exchange, text] : std::exchange(held_answers_, {})) {
      Reply(*exchange, text);
    }
  }

  void ReleaseHeldPuts() {
    for (const auto& [key, value] : std::exchange(held_puts_, {})) {
      objects[key] = value;
    }
  }

  const Address address = FreeAddress();
  VirtualLoop virtual_loop{1};
  FakeTable table{virtual_loop};
  std::map<std::string, std::string> objects;

 private:
  void OnRequest(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string& path = exchange->path();
    if (path == "/v1/instances") {
      return Reply(*exchange,
                   R"({"instances":[{"id":"i0","zone":"a",)"
                   R"("entry":"127.0.0.1:1","entry_peer":"127.0.0.1:2",)"
                   R"("fleet_peer":"127.0.0.1:3"}]})");
    }
    if (path == "/v1/table/transactions") {
      const auto txn = DecodeTransaction(exchange->body());
      const std::string answer = EncodeCommitResult(table.Apply(*txn));
      if (!holds_answer || !holds_answer(*txn)) {
        return Reply(*exchange, answer);
      }
      held_answers_.emplace_back(exchange, answer);
      return;
    }
    if (path == "/v1/table/rows") {
      const auto prefix = exchange->QueryParameter("prefix");
      return Reply(*exchange, EncodeRows(table.Rows(prefix.value_or(""))));
    }
    const std::string key = path.substr(std::string("/v1/objects/").size());
    if (hold_gets && exchange->method() == "GET") {
      held_gets_.emplace_back(key, exchange);
      return;
    }
    OnObject(*exchange, key);
  }

  void OnObject(HttpExchange& exchange, const std::string& key) {
    if (exchange.method() == "PUT" && hold_puts) {
      held_puts_.emplace_back(key, exchange.body());
      return exchange.Reply(504, "text/plain", "");
    }
    if (exchange.method() == "PUT") objects[key] = exchange.body();
    const auto it = objects.find(key);
    if (it == objects.end()) return exchange.Reply(404, "text/plain", "");
    exchange.Reply(200, "text/plain", it->second);
  }

  static void Reply(HttpExchange& exchange, const std::string& json) {
    exchange.Reply(200, "application/json", json);
  }

  std::vector<std::pair<std::string, std::shared_ptr<HttpExchange>>> held_gets_;
  std::vector<std::pair<std::string, std::string>> held_puts_;
  std::vector<std::pair<std::shared_ptr<HttpExchange>, std::string>>
      held_answers_;
  HttpServer server_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_FAKE_PLATFORM_H_
