// JSON from outside: nesting is bounded.
#include "corianderlink/Support/json_reader.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

std::string Nested(int depth, const std::string& open,
                   const std::string& close) {
  std::string text;
  for (int i = 0; i < depth; ++i) text += open;
  text += "1";
  for (int i = 0; i < depth; ++i) text += close;
  return text;
}

TEST(JsonReaderTest, DeeplyNestedTextIsRefused) {
  constexpr int kDeep = 1'000'000;
  std::string reason;
  for (const auto& [open, close] :
       {std::pair("[", "]"), std::pair("{\"a\":", "}")}) {
    EXPECT_TRUE(ParseJson(Nested(kDeep, open, close)).is_discarded());
    EXPECT_TRUE(ParseJson(Nested(kDeep, open, "")).is_discarded());
    EXPECT_TRUE(
        ParseJson(Nested(kMaxJsonDepth + 2, open, close)).is_discarded());
    EXPECT_TRUE(ParseJson(Nested(kMaxJsonDepth, open, close)).is_structured());
    EXPECT_FALSE(ParseJsonWithComments(Nested(kDeep, open, close), reason));
    EXPECT_EQ(reason, "nested too deeply");
  }
}

TEST(JsonReaderTest, TextAfterTheNestedPartChangesNothing) {
  const std::string deep = Nested(kMaxJsonDepth + 2, "[", "]");
  EXPECT_TRUE(ParseJson("{\"a\":" + deep + ",\"b\":1}").is_discarded());
  EXPECT_EQ(ParseJson(R"({"a":[[1]],"b":"[[[["})")["b"], "[[[[");
}

TEST(JsonReaderTest, MalformedTextIsRefused) {
  for (const std::string& text :
       {std::string(), std::string("{"), std::string("1e999"),
        std::string("\"\xff\""), std::string("\"\\ud800\""),
        std::string("[1]x")}) {
    EXPECT_TRUE(ParseJson(text).is_discarded()) << text;
  }
}

}  // namespace
}  // namespace corianderlink
