// Odd JSON from clients and from engines.
#include <gtest/gtest.h>

#include "corianderlink/Serving/chat_request.h"
#include "corianderlink/Serving/claim_record.h"
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
