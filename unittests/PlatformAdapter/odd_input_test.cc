// Decoders of what other writers leave in the store and what upstreams answer:
// odd input is refused or bounded, and ends nothing.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

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
  static const std::vector<std::string> values = {
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
  return values;
}

using Members = std::vector<std::pair<std::string, std::string>>;

std::string Object(const Members& members) {
  std::string text;
  for (const auto& [key, value] : members) {
    text += (text.empty() ? "{\"" : ",\"") + key + "\":" + value;
  }
  return text + "}";
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

}  // namespace
}  // namespace corianderlink::platform
