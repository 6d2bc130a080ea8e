// Codecs of the platform's formats, with well-formed and malformed input.
#include "platform/codecs.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace corianderlink::platform {
namespace {

RequestHead MakeHead(HeaderFields fields) {
  RequestHead head;
  head.method = "POST";
  head.target = "/x/1";
  head.fields = std::move(fields);
  return head;
}

std::string Field(const HeaderFields& fields, const char* name) {
  const std::string* value = FindField(fields, name);
  return value == nullptr ? "" : *value;
}

TEST(RelayCodecTest, DecodesARequestWithAPrompt) {
  const ClientRequest request = MakeRelayCodec().decode_request(
      MakeHead({{"Request-Id", "9c41"},
                {"Host", "h"},
                {"Token-Count", "1460,80"},
                {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                {"Deadline-Ms", "2000"}}));
  EXPECT_EQ(request.id, RequestId("9c41"));
  EXPECT_EQ(request.time_left, Duration(seconds(2)));
  ASSERT_TRUE(request.prompt);
  EXPECT_EQ(request.prompt->tokens, 1460U);
  EXPECT_EQ(request.prompt->max_output_tokens, 80U);
  ASSERT_EQ(request.prompt->parts.size(), 3U);
  EXPECT_EQ(request.prompt->parts[1].id, 0x91bd3f06U);
  EXPECT_EQ(request.prompt->parts[1].tokens, 410U);
}

RC_GTEST_PROP(RelayCodecTest, HandlesArbitraryFieldValues,
              (const std::string& count, const std::string& parts,
               const std::string& deadline)) {
  const ClientRequest request =
      MakeRelayCodec().decode_request(MakeHead({{"Token-Count", count},
                                                {"Prompt-Prefix", parts},
                                                {"Deadline-Ms", deadline}}));
  RC_ASSERT(request.id.empty());
}

UpstreamResponseInfo DecodeWith(HeaderFields fields) {
  ResponseHead head;
  head.status = 200;
  head.fields = std::move(fields);
  return MakeRelayCodec().decode_response(head, UpstreamId("i-1"));
}

TEST(RelayCodecTest, ReadsTheRateLimitThatAnUpstreamNames) {
  EXPECT_EQ(DecodeWith({{"Server-Limit", "12.4"}}).rate_limit, 12.4);
  EXPECT_EQ(DecodeWith({{"server-limit", "0"}}).rate_limit, 0.0);
  const UpstreamResponseInfo none = DecodeWith({});
  EXPECT_FALSE(none.rate_limit);
  EXPECT_FALSE(none.rate_limit_unreadable);
}

TEST(RelayCodecTest, RateLimitsOutOfRangeAreUnreadable) {
  for (const char* text :
       {"", "x", "5x", "-1", "nan", "inf", "-inf", "1e308", "1e999", "5,6"}) {
    const UpstreamResponseInfo info = DecodeWith({{"Server-Limit", text}});
    EXPECT_FALSE(info.rate_limit) << text;
    EXPECT_TRUE(info.rate_limit_unreadable) << text;
  }
  const UpstreamResponseInfo two =
      DecodeWith({{"Server-Limit", "5"}, {"Server-Limit", "5"}});
  EXPECT_FALSE(two.rate_limit);
  EXPECT_TRUE(two.rate_limit_unreadable);
}

TEST(RelayCodecTest, ReplacesFieldsThatOnlyTheGatewaySets) {
  UpstreamRequestOptions directions;
  directions.expected_upstream = UpstreamId("i-1");
  directions.time_left = milliseconds(700);
  directions.resume_after_event_id = 12;
  const HeaderFields fields =
      MakeRelayCodec().encode_request(MakeHead({{"kv-from", "x"},
                                                {"STAGE", "prefill"},
                                                {"Expect-Instance", "other"},
                                                {"Deadline-Ms", "9999"},
                                                {"Last-Event-Id", "3"},
                                                {"Connection", "X-Hop"},
                                                {"X-Hop", "1"},
                                                {"X-End", "2"}}),
                                      directions);
  EXPECT_EQ(Field(fields, "Kv-From"), "");
  EXPECT_EQ(Field(fields, "Stage"), "");
  EXPECT_EQ(Field(fields, "Expect-Instance"), "i-1");
  EXPECT_EQ(Field(fields, "Deadline-Ms"), "700");
  EXPECT_EQ(Field(fields, "Last-Event-Id"), "12");
  EXPECT_EQ(Field(fields, "X-Hop"), "");
  EXPECT_EQ(Field(fields, "X-End"), "2");
}

TEST(RelayCodecTest, TellsAPeerTheStateOfAForwardedRequest) {
  UpstreamRequestOptions directions;
  directions.forwarding = ForwardingState{2, true};
  const HeaderFields fields = MakeRelayCodec().encode_request(
      MakeHead({{"Gateway-Forwarding", "9"}}), directions);
  const auto decoded =
      MakeRelayCodec().decode_request(MakeHead(fields)).forwarding;
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->runs_left, 2);
  EXPECT_TRUE(decoded->is_counted);
  for (const char* text : {"", "x", ";counted", "1;other", "99999999999"}) {
    const RequestHead head = MakeHead({{"Gateway-Forwarding", text}});
    EXPECT_FALSE(MakeRelayCodec().decode_request(head).forwarding) << text;
  }
}

TEST(RelayCodecTest, ForwardsTheClientsLastEventId) {
  const HeaderFields fields = MakeRelayCodec().encode_request(
      MakeHead({{"Last-Event-Id", "3"}}), UpstreamRequestOptions{});
  EXPECT_EQ(Field(fields, "Last-Event-Id"), "3");
}

TEST(RelayCodecTest, OnlyNotRunFieldOrStatus421MeansNotRun) {
  const RelayCodec codec = MakeRelayCodec();
  ResponseHead head;
  head.status = 503;
  EXPECT_FALSE(codec.decode_response(head, UpstreamId("i-1")).not_run);
  head.fields = {{"Not-Run", "1"}};
  EXPECT_TRUE(codec.decode_response(head, UpstreamId("i-1")).not_run);
  head.fields.clear();
  head.status = 421;
  EXPECT_TRUE(codec.decode_response(head, UpstreamId("i-1")).not_run);
  EXPECT_FALSE(
      codec.decode_response(head, UpstreamId("i-1")).address_reassigned);
  head.fields = {{"Instance-Id", "i-2"}};
  EXPECT_TRUE(
      codec.decode_response(head, UpstreamId("i-1")).address_reassigned);
  EXPECT_FALSE(
      codec.decode_response(head, UpstreamId("i-2")).address_reassigned);
}

TEST(ConfigCodecTest, DecodesRoutesWithOneAndWithSeveralServices) {
  std::string reason;
  const auto config = DecodeConfig(
      R"({"version":7,"routes":[
        {"name":"r1","host":"h","prefix":"/a/","kind":"stream",
         "timeout_ms":15000,"slo_ms":120,"priority":1,"service":"s",
         "attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":150},
        {"name":"r2","host":"h","prefix":"/b/","kind":"unsafe",
         "timeout_ms":2000,"slo_ms":150,"priority":0,"attempts":1,
         "backends":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
        "services":[{"name":"s","max_conns":250,"engine":{"slots":32,
          "kv_capacity":232000,"kv_token_bytes":327680,"link_mbps":8800000.0}},
          {"name":"t","max_conns":110}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
          "header_timeout_ms":3000,"idle_timeout_ms":15000}})",
      reason);
  ASSERT_TRUE(config) << reason;
  EXPECT_EQ(config->version, 7U);
  ASSERT_EQ(config->routes.size(), 2U);
  EXPECT_TRUE(config->routes[0].idempotent());
  EXPECT_EQ(config->routes[0].objective, Duration(milliseconds(120)));
  EXPECT_FALSE(config->routes[1].idempotent());
  EXPECT_EQ(config->routes[1].services.size(), 2U);
  EXPECT_FALSE(config->services.at(ServiceId("t")).engine);
  EXPECT_EQ(config->limits.idle_timeout, Duration(seconds(15)));
}

TEST(ConfigCodecTest, GivesAReasonForMalformedConfig) {
  for (const char* text :
       {"", "7", "{}", R"({"version":1})",
        R"({"version":"x","routes":[],"services":[]})",
        R"({"version":1,"routes":[3],"services":[]})",
        R"({"version":1,"routes":[{"name":1}],"services":[]})"}) {
    std::string reason;
    EXPECT_FALSE(DecodeConfig(text, reason)) << text;
    EXPECT_FALSE(reason.empty()) << text;
  }
}

RC_GTEST_PROP(UpstreamCodecTest, RejectsArbitraryBytes,
              (const std::string& bytes)) {
  std::string reason;
  RC_ASSERT(!DecodeUpstream("k", bytes, reason));
}

TEST(UpstreamCodecTest, DecodesAnEngine) {
  std::string reason;
  const auto record = DecodeUpstream(
      "i-7f",
      R"({"service":"s","addr":"10.128.0.9:8080","zone":"z","version":"v1",
          "slots":32,"state":"draining","cold_left_ms":0,"phase":"decode",
          "seq":4,"born":1700000000000})",
      reason);
  ASSERT_TRUE(record) << reason;
  EXPECT_EQ(record->id, UpstreamId("i-7f"));
  EXPECT_EQ(record->role, UpstreamRole::kDecode);
  EXPECT_TRUE(record->draining);
  EXPECT_EQ(record->started_ms, 1700000000000);
}

}  // namespace
}  // namespace corianderlink::platform
