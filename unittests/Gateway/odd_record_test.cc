// Odd rows in each table of the store: a gateway says so once, follows the
// other rows and uses no upstream that an odd row names; at its start, after a
// change and after a lost history.
#include <gtest/gtest.h>
#include <openssl/evp.h>

#include <map>

#include "Gateway/gateway_test_harness.h"
#include "corianderlink/Gateway/store_sync.h"
#include "corianderlink/Http/http_client.h"
#include "corianderlink/Support/json_reader.h"
#include "platform/http_record_store.h"

namespace corianderlink {
namespace {

std::string Base64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

/// A store that keeps its rows in memory and answers reads and watches.
class RowStore {
 public:
  RowStore(EventLoop& loop, const Address& address)
      : loop_(loop), server_(loop, 1000, [this](const auto& exchange) {
          Answer(exchange);
        }) {
    server_.Listen(address);
  }

  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    rows_[table][key] = {
        Json{{"key", key}, {"value", Base64(value)}, {"ver", ++version_}}
            .dump(),
        version_};
  }
  /// Adds a row in the form in which the store answers it.
  void PutRaw(const std::string& table, const std::string& key,
              const std::string& row) {
    rows_[table][key] = {row, ++version_};
  }

  /// The next watches find no history.
  bool history_lost = false;
  int reads = 0;

 private:
  struct Row {
    std::string text;
    uint64_t version = 0;
  };

  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const size_t at = target.find(name + "=");
    if (at == std::string::npos) return "";
    const size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }

  std::string RowsAfter(const std::string& table, uint64_t after) {
    std::string text;
    for (const auto& [key, row] : rows_[table]) {
      if (row.version > after) text += (text.empty() ? "" : ",") + row.text;
    }
    return text;
  }

  void Reply(const std::shared_ptr<InboundExchange>& exchange,
             const std::string& rows) {
    exchange->SendResponse(
        200, {},
        "{\"rows\":[" + rows +
            "],\"truncated\":false,\"ver\":" + std::to_string(version_) + "}");
  }

  void Answer(const std::shared_ptr<InboundExchange>& exchange) {
    const std::string target = exchange->head().target;
    if (target.starts_with("/rows-tx")) {
      exchange->SendResponse(200, {},
                             "{\"ver\":" + std::to_string(++version_) + "}");
      return;
    }
    const std::string table = Parameter(target, "table");
    if (target.starts_with("/rows-get")) {
      ++reads;
      Reply(exchange, RowsAfter(table, 0));
      return;
    }
    if (history_lost) {
      exchange->SendResponse(410, {}, "");
      return;
    }
    const auto after = std::stoull(Parameter(target, "after"));
    timers_.push_back(loop_.After(milliseconds(30), [=, this] {
      Reply(exchange, RowsAfter(table, after));
    }));
  }

  EventLoop& loop_;
  InboundServer server_;
  std::map<std::string, std::map<std::string, Row>> rows_;
  std::vector<EventHandle> timers_;
  uint64_t version_ = 1;
};

std::string Nested() {
  return std::string(100'000, '[') + std::string(100'000, ']');
}

std::string Upstream(const std::string& address, const std::string& members) {
  return R"({"service":"shop","addr":")" + address +
         R"(","zone":"z","slots":4,"state":"ready")" + members + "}";
}

/// Values that no sound row of any table has.
std::vector<std::string> OddValues() {
  return {"",
          "null",
          "7",
          "\xff\xfe",
          "[]",
          "[[],7,{\"service\":7}]",
          Nested(),
          "{\"a\":" + Nested() + "}",
          std::string(400, '9'),
          "{\"version\":" + std::string(400, '9') + "}",
          R"({"version":1e300,"routes":[],"services":[]})",
          R"({"version":-1,"routes":[],"services":[]})",
          R"([{"service":"shop","version":7,"keys":7,"written_ms":1e300}])",
          R"([{"service":"shop","version":"v","last_seen_ms":1e300}])",
          R"([{"last_seen_ms":-9223372036854775808}])",
          R"([{"keys":["zz",7,null],"written_ms":-9223372036854775808}])",
          R"({"holder":"x","fencing":1e300,"nonce":7})",
          Upstream("127.0.0.1:0", ""),
          Upstream("127.0.0.1:65536", ""),
          Upstream("127.0.0.1:-1", ""),
          Upstream("0.0.0.0:9", ""),
          Upstream("127.0.0.1:9", R"(,"slots":2147483648)"),
          Upstream("127.0.0.1:9", R"(,"seq":1e300)"),
          Upstream("127.0.0.1:9", R"(,"seq":18446744073709551616)"),
          Upstream("127.0.0.1:9", R"(,"born":-1)"),
          Upstream("127.0.0.1:9", R"(,"version":)" + Nested()),
          Upstream("127.0.0.1:9", R"(,"state":"half")")};
}

class OddRecordTest : public ::testing::Test {
 protected:
  OddRecordTest() : store_rows_(harness_.loop, harness_.store) {
    store_rows_.Put("op", "config",
                    R"({"version":1,"routes":[{"name":"r","host":"h.example",)"
                    R"("prefix":"/r/","kind":"safe","timeout_ms":3000,)"
                    R"("slo_ms":100,"priority":1,"service":"shop",)"
                    R"("attempts":2}],)"
                    R"("services":[{"name":"shop","max_conns":10}]})");
    AddOddRows();
  }

  void AddOddRows() {
    int number = 0;
    for (const std::string& value : OddValues()) {
      for (const char* table : {"servers", "gateways", "quarantine", "streams",
                                "duties", "status", "op"}) {
        ++number;
        store_rows_.Put(table, "odd" + std::to_string(number), value);
        store_rows_.Put(table, "127.0.0.1:" + std::to_string(65530 + number),
                        value);
      }
      store_rows_.Put("duties", "roles", value);
      store_rows_.Put("quarantine", FormatId(number), value);
    }
    for (const char* table :
         {"servers", "gateways", "quarantine", "streams", "duties", "op"}) {
      for (const char* row : {"7", "null", "{}", R"({"key":7})",
                              R"({"key":"","value":"e30=","ver":3})",
                              R"({"key":"x","value":7,"ver":"3"})",
                              R"({"key":"y","value":"?","ver":1e300})",
                              R"({"key":"z","removed":7,"ver":3})"}) {
        store_rows_.PutRaw(table, "raw" + std::to_string(++number), row);
      }
    }
    // Names of this kind would become part of the heads of requests.
    store_rows_.Put("servers", "a\r\nX: y", Upstream("127.0.0.1:9", ""));
    store_rows_.Put("servers", "", Upstream("127.0.0.1:9", ""));
  }

  static std::string FormatId(int number) {
    return "abc" + std::to_string(number);
  }

  /// Adds an upstream that answers with its own id; the earlier ones drain.
  void AddUpstream(const std::string& id) {
    for (const auto& earlier : upstreams_) {
      store_rows_.Put("servers", earlier->id,
                      R"({"service":"shop","addr":")" +
                          earlier->address.ToString() +
                          R"(","zone":"z","slots":4,"state":"draining"})");
    }
    upstreams_.push_back(std::make_unique<FakeUpstream>(harness_.loop, id));
    FakeUpstream& upstream = *upstreams_.back();
    upstream.on_request = [id](const FakeUpstream::Exchange& exchange) {
      exchange->SendResponse(200, FakeUpstream::Signed(exchange), id);
    };
    store_rows_.Put("servers", id, Upstream(upstream.address.ToString(), ""));
  }

  void Start() { sync_.Start(); }

  /// The upstream answers all requests, each in its first attempt.
  bool IsUsed(const std::string& id) {
    constexpr int kRequests = 10;
    const size_t before = upstreams_.back()->requests.size();
    for (int i = 0; i < kRequests; ++i) {
      const auto result = harness_.Send("GET", "/r/1");
      harness_.Await(result);
      if (result->status != 200 || result->body != id) return false;
    }
    return upstreams_.back()->requests.size() == before + kRequests;
  }

  void RunFor(Duration time) { harness_.RunFor(time); }

  GatewayTestHarness harness_;
  RowStore store_rows_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  HttpClient client_{harness_.loop};
  platform::HttpRecordStore store_{client_, harness_.store};
  const GatewayCodecs codecs_ = platform::MakeCodecs();
  StoreSync<platform::HttpRecordStore> sync_{
      harness_.loop, store_, harness_.gateway(), codecs_.records};
};

TEST_F(OddRecordTest, GatewayThatStartsBesideOddRowsFollowsTheOthers) {
  AddUpstream("s1");
  Start();
  RunFor(seconds(2));
  ASSERT_TRUE(harness_.gateway().ready());
  EXPECT_TRUE(IsUsed("s1"));
  AddUpstream("s2");
  RunFor(milliseconds(500));
  EXPECT_TRUE(IsUsed("s2"));
}

TEST_F(OddRecordTest, OddRowsThatArriveLaterEndNothing) {
  AddUpstream("s1");
  Start();
  RunFor(seconds(2));
  for (const std::string& value : OddValues()) {
    store_rows_.Put("servers", "late", value);
    store_rows_.Put("op", "config", value);
    store_rows_.Put("op", "late", value);
    RunFor(milliseconds(60));
  }
  AddOddRows();
  AddUpstream("s2");
  RunFor(milliseconds(500));
  EXPECT_TRUE(IsUsed("s2"));
}

TEST_F(OddRecordTest, OddRowsAreSkippedAfterALostHistory) {
  AddUpstream("s1");
  Start();
  RunFor(seconds(1));
  store_rows_.history_lost = true;
  const int reads = store_rows_.reads;
  AddOddRows();
  AddUpstream("s2");
  RunFor(milliseconds(500));
  EXPECT_GT(store_rows_.reads, reads);
  store_rows_.history_lost = false;
  EXPECT_TRUE(IsUsed("s2"));
  AddUpstream("s3");
  RunFor(milliseconds(500));
  EXPECT_TRUE(IsUsed("s3"));
}

TEST_F(OddRecordTest, EachOddRowIsLoggedOnce) {
  AddUpstream("s1");
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  Start();
  RunFor(seconds(1));
  store_rows_.history_lost = true;
  RunFor(seconds(1));
  EXPECT_GT(store_rows_.reads, 10);
  const std::string log = testing::internal::GetCapturedStdout() +
                          testing::internal::GetCapturedStderr();
  size_t lines = 0;
  for (size_t at = log.find("key=odd1 "); at != std::string::npos;
       at = log.find("key=odd1 ", at + 1)) {
    ++lines;
  }
  EXPECT_EQ(lines, 1U);
}

}  // namespace
}  // namespace corianderlink
