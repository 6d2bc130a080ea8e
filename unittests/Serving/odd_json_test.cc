// Odd JSON from clients and from engines.
#include <gtest/gtest.h>

#include "corianderlink/Serving/chat_request.h"
#include "corianderlink/Serving/claim_record.h"
#include "corianderlink/Serving/engine_events.h"
#include "corianderlink/Serving/job_record.h"

namespace corianderlink {
namespace {

std::string Nested() {
  constexpr size_t kDepth = 100'000;
  return std::string(kDepth, '[') + "1" + std::string(kDepth, ']');
}

TEST(OddJsonTest, DeeplyNestedRequestIsRefused) {
  for (const std::string& body :
       {Nested(),
        R"({"model":"m","messages":[{"role":"user","content":)" + Nested() +
            "}]}",
        R"({"model":"m","messages":[{"role":"user"}],"tools":)" + Nested() +
            "}"}) {
    std::vector<JsonError> errors;
    const auto request = ParseChatRequest(body, errors);
    EXPECT_FALSE(request);
    EXPECT_FALSE(errors.empty());
  }
}

TEST(OddJsonTest, OddEventOfAnEngineAddsNoText) {
  const auto text = [](const std::string& event) {
    return EventText(ParseJson(event));
  };
  EXPECT_EQ(text(R"({"choices":[{"delta":{"content":"a"}},)"
                 R"({"delta":{"content":"b"}}]})"),
            "ab");
  for (const std::string& odd :
       {std::string("null"), std::string("7"), std::string("-1e308"),
        std::string("\"x\""), std::string("[]"), std::string("[7]"),
        std::string("{}"), std::string("{\"delta\":7}"), Nested()}) {
    EXPECT_EQ(text(odd), "");
    EXPECT_EQ(text("{\"choices\":" + odd + "}"), "") << odd.substr(0, 20);
    EXPECT_EQ(text("{\"choices\":[" + odd + "]}"), "") << odd.substr(0, 20);
    EXPECT_EQ(text("{\"choices\":[{\"delta\":" + odd + "}]}"), "")
        << odd.substr(0, 20);
    if (odd == "\"x\"") continue;
    EXPECT_EQ(text("{\"choices\":[{\"delta\":{\"content\":" + odd + "}}]}"), "")
        << odd.substr(0, 20);
  }
}

TEST(OddJsonTest, OddCacheEventsAreSkipped) {
  const std::string sound = R"({"sequence":4,"kind":"evict","piece":9})";
  const std::vector<CacheEvent> one = ParseCacheEvents(
      R"({"events":[7,null,[],{},{"sequence":"x","kind":1},)" + sound + "]}");
  ASSERT_EQ(one.size(), 1U);
  EXPECT_EQ(one[0].sequence, 4U);
  EXPECT_EQ(one[0].kind, CacheEvent::Kind::kEvict);
  EXPECT_EQ(one[0].piece, 9U);
  for (const std::string& odd :
       {std::string("null"), std::string("7"), std::string("\"x\""),
        std::string("{\"a\":1}"), std::string("[-1]"), Nested()}) {
    EXPECT_TRUE(ParseCacheEvents(odd).empty());
    EXPECT_TRUE(ParseCacheEvents("{\"events\":" + odd + "}").empty());
  }
}

TEST(OddJsonTest, DeeplyNestedRowsAreRefused) {
  for (const char* member : {"id", "owner", "state", "attempts"}) {
    const std::string text =
        "{\"" + std::string(member) + "\":" + Nested() + "}";
    EXPECT_FALSE(DecodeJobRecord(text));
    EXPECT_FALSE(DecodeOpenJobRecord(text));
    EXPECT_FALSE(DecodeClaimRecord(text));
  }
}

}  // namespace
}  // namespace corianderlink
