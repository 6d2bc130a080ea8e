// Decoders of what other writers leave in the store and what upstreams answer:
// odd input is refused or bounded, and ends nothing.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "corianderlink/Authority/lease_record.h"
#include "platform/codecs.h"

namespace corianderlink::platform {
namespace {

using nlohmann::json;

constexpr int kDepth = 100'000;

std::string Nested(const std::string& open, const std::string& close) {
  std::string text;
  for (int i = 0; i < kDepth; ++i) text += open;
  text += "1";
  for (int i = 0; i < kDepth; ++i) text += close;
  return text;
}

/// JSON texts that no member has in a sound record.
const std::vector<std::string>& OddValues() {
  static const std::vector<std::string> kValues = {
      "null",
      "true",
      "[]",
      "{}",
      "[[1]]",
      "-1",
      "-0.0",
      "0.5",
      "2147483648",
      "9223372036854775807",
      "9223372036854775808",
      "18446744073709551615",
      "18446744073709551616",
      "-9223372036854775809",
      "1e18",
      "1e19",
      "1e300",
      "-1e300",
      "1e308",
      "1e400",
      std::string(400, '9'),
      "\"\"",
      "\"NaN\"",
      "\"Infinity\"",
      "\"\\u0000\"",
      "\"a\\r\\nX: y\"",
      "\"127.0.0.1:0\"",
      "\"127.0.0.1:65536\"",
      "\"127.0.0.1:-1\"",
      "\"\xff\xfe\"",
      "\"\\ud800\"",
      "\"" + std::string(70'000, 'x') + "\"",
      Nested("[", "]"),
      Nested("{\"a\":", "}"),
  };
  return kValues;
}

using Members = std::vector<std::pair<std::string, std::string>>;

std::string Object(const Members& members) {
  std::string text;
  for (const auto& [key, value] : members) {
    text += (text.empty() ? "{\"" : ",\"") + key + "\":" + value;
  }
  return text + "}";
}

const Members kUpstream = {{"service", "\"s\""},
                           {"addr", "\"127.0.0.1:80\""},
                           {"zone", "\"z\""},
                           {"version", "\"v1\""},
                           {"slots", "4"},
                           {"state", "\"ready\""},
                           {"phase", "\"decode\""},
                           {"cold_left_ms", "0"},
                           {"seq", "4"},
                           {"born", "1700000000000"}};

/// What every usable record has.
void ExpectUsable(const UpstreamRecord& record, const std::string& text) {
  const std::string shown = text.substr(0, 300);
  EXPECT_GT(record.address.port, 0) << shown;
  EXPECT_GE(record.slots, 1) << shown;
  EXPECT_LE(record.slots, 1'000'000) << shown;
  EXPECT_GE(record.started_ms, 0) << shown;
  EXPECT_LE(record.started_ms, 10'000'000'000'000) << shown;
  EXPECT_LE(record.sequence, 1UL << 53) << shown;
  for (const std::string& name :
       {record.id.value(), record.service.value(), record.zone.value(),
        record.version.value()}) {
    EXPECT_LE(name.size(), 200U) << shown;
    EXPECT_EQ(name.find_first_of(std::string("\0\r\n", 3)), std::string::npos)
        << shown;
  }
}

TEST(OddUpstreamRecordTest, NamesNoUpstreamOrOneWithinBounds) {
  for (size_t i = 0; i < kUpstream.size(); ++i) {
    for (const std::string& odd : OddValues()) {
      Members members = kUpstream;
      members[i].second = odd;
      const std::string text = Object(members);
      std::string reason;
      const auto record = DecodeUpstream("i-1", text, reason);
      EXPECT_TRUE(record || !reason.empty());
      EXPECT_LT(reason.size(), 200U);
      if (record) ExpectUsable(*record, text);
    }
  }
}

TEST(OddUpstreamRecordTest, NumberTooLargeOutdatesNoLaterRecord) {
  for (const char* member : {"seq", "born"}) {
    for (const char* number : {"-1", "1e19", "1e300", "18446744073709551615"}) {
      Members members = kUpstream;
      for (auto& [key, value] : members) {
        if (key == member) value = number;
      }
      std::string reason;
      EXPECT_FALSE(DecodeUpstream("i-1", Object(members), reason))
          << member << " " << number;
    }
  }
}

TEST(OddUpstreamRecordTest, KeyThatIsNoNameNamesNoUpstream) {
  const std::string long_key(300, 'k');
  for (const std::string& key :
       {std::string(), std::string("a\r\nX: y"), std::string("a b"),
        std::string("a\0b", 3), long_key}) {
    std::string reason;
    EXPECT_FALSE(DecodeUpstream(key, Object(kUpstream), reason)) << key;
    EXPECT_FALSE(reason.empty());
  }
}

TEST(OddUpstreamRecordTest, AddressOfNoProcessNamesNoUpstream) {
  for (const char* address :
       {"0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", ":::80",
        "127.0.0.1:00080x", "127.0.0.1\\u0000\\r\\nX: y:80", "127.0.0.1",
        "localhost:80", "[::1]:80", "127.0.0.1:+80", " 127.0.0.1:80"}) {
    Members members = kUpstream;
    members[1].second = '"' + std::string(address) + '"';
    std::string reason;
    EXPECT_FALSE(DecodeUpstream("i-1", Object(members), reason)) << address;
  }
}

TEST(OddUpstreamRecordTest, DoubledKeysAndSurroundingsAreBounded) {
  for (const std::string& odd : OddValues()) {
    for (const std::string& text :
         {"[" + odd, odd, odd + odd, Object(kUpstream) + odd,
          "{\"seq\":" + odd + "," + Object(kUpstream).substr(1),
          "{\"other\":" + odd + "," + Object(kUpstream).substr(1)}) {
      std::string reason;
      const auto record = DecodeUpstream("i-1", text, reason);
      if (record) ExpectUsable(*record, text);
    }
  }
}

constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/b/",)"
    R"("kind":"stream","timeout_ms":2000,"slo_ms":150,"priority":0,)"
    R"("attempts":1,"resumable":true,"gap_aim_ms":50,"backends":[)"
    R"({"service":"s","weight":90},{"service":"t","weight":10}]}],)"
    R"("services":[{"name":"s","max_conns":250,"health_path":"/h",)"
    R"("engine":{"slots":32,"kv_capacity":232000,"kv_token_bytes":327680,)"
    R"("link_mbps":8800000.0}}],"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000}})";

void ExpectUsable(const GatewayConfig& config, const std::string& text) {
  constexpr Duration kLongest = std::chrono::hours(24 * 366);
  const std::string shown = text.substr(0, 700);
  EXPECT_LE(config.version, 1UL << 53) << shown;
  for (const Duration limit :
       {config.limits.header_timeout, config.limits.idle_timeout}) {
    EXPECT_GE(limit, Duration::zero()) << shown;
    EXPECT_LE(limit, kLongest) << shown;
  }
  EXPECT_GE(config.limits.max_header_bytes, 1U) << shown;
  for (const RouteSpec& route : config.routes) {
    EXPECT_GE(route.timeout, Duration::zero()) << shown;
    EXPECT_LE(route.timeout, kLongest) << shown;
    EXPECT_GE(route.objective, Duration::zero()) << shown;
    EXPECT_LE(route.objective, kLongest) << shown;
    EXPECT_GE(route.max_runs, 1) << shown;
    if (route.event_gap_objective) {
      EXPECT_GE(*route.event_gap_objective, Duration::zero()) << shown;
      EXPECT_LE(*route.event_gap_objective, kLongest) << shown;
    }
    for (const WeightedService& service : route.services) {
      EXPECT_GE(service.weight, 0) << shown;
      EXPECT_LE(service.weight, 1e12) << shown;
    }
  }
  for (const auto& [id, service] : config.services) {
    EXPECT_GE(service.max_connections, 1) << shown;
    EXPECT_EQ(service.health_path.find_first_of("\r\n "), std::string::npos)
        << shown;
    if (!service.engine) continue;
    EXPECT_LE(service.engine->cache_tokens, 1UL << 53) << shown;
    EXPECT_GE(service.engine->link_bytes_per_ms, 0) << shown;
    EXPECT_GE(service.engine->cache_bytes_per_token, 0) << shown;
  }
}

TEST(OddConfigTest, EachMemberIsRefusedOrBounded) {
  const std::string sound = kConfig;
  const json parsed = json::parse(sound).flatten();
  // Replaces each value in turn by its place in the text.
  for (const auto& [path, value] : parsed.items()) {
    json marked = parsed;
    marked[path] = "@";
    const std::string text = marked.unflatten().dump();
    const size_t at = text.find("\"@\"");
    for (const std::string& odd : OddValues()) {
      const std::string odd_text =
          text.substr(0, at) + odd + text.substr(at + 3);
      std::string reason;
      const auto config = DecodeConfig(odd_text, reason);
      EXPECT_TRUE(config || !reason.empty()) << path;
      if (config) ExpectUsable(*config, path + " " + odd_text);
    }
  }
}

TEST(OddConfigTest, SoundConfigIsStillRead) {
  std::string reason;
  const auto config = DecodeConfig(kConfig, reason);
  ASSERT_TRUE(config) << reason;
  EXPECT_EQ(config->routes[0].timeout, Duration(seconds(2)));
  EXPECT_EQ(config->limits.max_header_bytes, 16384U);
}

TEST(OddStatusTest, EndsNothingAndNamesNoState) {
  const OrderCodec codec = MakeOrderCodec();
  const Members sound = {
      {"seq", "2"}, {"busy", "false"}, {"phase", "\"decode\""}};
  ASSERT_TRUE(codec.decode_status(Object(sound)));
  for (const std::string member : {"seq", "busy", "phase", "models"}) {
    for (const std::string& odd : OddValues()) {
      Members members = {{member, odd}};
      for (const auto& [key, value] : sound) {
        if (key != member) members.push_back({key, value});
      }
      const auto status = codec.decode_status(Object(members));
      if (!status || member == "models" || member == "phase") continue;
      EXPECT_TRUE(json::parse(odd).is_number_unsigned() || odd == "true")
          << member << " " << odd.substr(0, 50);
    }
  }
}

TEST(OddHandleTest, GoesIntoNoRequest) {
  const RelayCodec codec = MakeRelayCodec();
  EXPECT_EQ(codec.decode_kv_handle(R"({"handle":"3fa0","tokens":1})"), "3fa0");
  for (const std::string& odd : OddValues()) {
    const auto handle = codec.decode_kv_handle("{\"handle\":" + odd + "}");
    if (!handle) continue;
    const std::string shown = handle->substr(0, 100);
    EXPECT_FALSE(handle->empty());
    EXPECT_LE(handle->size(), 200U) << shown;
    EXPECT_EQ(handle->find_first_of(std::string("\0\r\n /", 5)),
              std::string::npos)
        << shown;
  }
}

TEST(OddLeaseRecordTest, IsRefusedOrBounded) {
  const Members sound = {
      {"holder", "\"p\""}, {"fencing", "7"}, {"nonce", "\"n\""}};
  ASSERT_TRUE(DecodeLeaseRecord(Object(sound)));
  for (size_t i = 0; i < sound.size(); ++i) {
    for (const std::string& odd : OddValues()) {
      Members members = sound;
      members[i].second = odd;
      const auto record = DecodeLeaseRecord(Object(members));
      if (!record) continue;
      EXPECT_LE(record->fencing, 1UL << 53) << odd.substr(0, 50);
    }
  }
}

/// A text of JSON's characters, which finds more than arbitrary bytes do.
rc::Gen<std::string> JsonLikeText() {
  static const std::vector<std::string> kPieces = {"{",
                                                   "}",
                                                   "[",
                                                   "]",
                                                   ",",
                                                   ":",
                                                   "\"",
                                                   "\\u0000",
                                                   "\\ud800",
                                                   "1e308",
                                                   "-1",
                                                   "0",
                                                   "\"seq\":",
                                                   "\"born\":",
                                                   "\"addr\":",
                                                   "\"slots\":",
                                                   "null",
                                                   "true",
                                                   "\xc3",
                                                   "\xff",
                                                   " ",
                                                   "9999999999999999999999",
                                                   "\"127.0.0.1:80\"",
                                                   "\"version\":",
                                                   "\"routes\":",
                                                   "\"services\":"};
  return rc::gen::map(
      rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(kPieces)),
      [](const std::vector<std::string>& parts) {
        std::string text;
        for (const std::string& part : parts) text += part;
        return text;
      });
}

RC_GTEST_PROP(OddInputTest, AllDecodersSurviveTextsLikeJson, ()) {
  const std::string noise = *JsonLikeText();
  const std::string sound = *rc::gen::element<std::string>(
      Object(kUpstream), kConfig, "{\"handle\":\"h\"}",
      EncodeLeaseRecord({ProcessId("p"), 7, "n"}));
  const size_t at = *rc::gen::inRange<size_t>(0, sound.size());
  const size_t cut = *rc::gen::inRange<size_t>(0, sound.size() - at);
  for (const std::string& text :
       {noise, sound.substr(0, at) + noise + sound.substr(at + cut)}) {
    std::string reason;
    const auto upstream = DecodeUpstream("i-1", text, reason);
    if (upstream) ExpectUsable(*upstream, text);
    const auto config = DecodeConfig(text, reason);
    if (config) ExpectUsable(*config, text);
    MakeOrderCodec().decode_status(text);
    MakeRelayCodec().decode_kv_handle(text);
    DecodeLeaseRecord(text);
  }
}

}  // namespace
}  // namespace corianderlink::platform
