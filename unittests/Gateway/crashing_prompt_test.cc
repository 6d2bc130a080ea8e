// Prompts with a part under which each engine crashes that begins to answer.
#include <gtest/gtest.h>

#include "Gateway/gateway_fleet.h"

namespace corianderlink {
namespace {

using Exchange = FakeUpstream::Exchange;

constexpr char kConfig[] =
    R"({"version":4,"routes":[{"name":"r","host":"h.example","prefix":"/m/",)"
    R"("kind":"stream","timeout_ms":3000,"slo_ms":200,"priority":1,)"
    R"("service":"model","attempts":1,"sticky":true}],)"
    R"("services":[{"name":"model","max_conns":50,"engine":{"slots":8,)"
    R"("kv_capacity":100000,"kv_token_bytes":1000,"link_mbps":1000000}}]})";
// Shared by all prompts.
constexpr char kCommonPart[] = "a1:100";
constexpr char kBadPart[] = "bad:100";

class CrashingPromptTest : public ::testing::Test {
 protected:
  /// Starts gateways that know each other and the same engines.
  void Start(size_t gateways, int engines) {
    for (int i = 0; i < engines; ++i) {
      const std::string id = "e" + std::to_string(i);
      auto engine = fleet_.AddUpstream(
          id, R"("service":"model","slots":8,"phase":"decode")");
      engine->on_request = [this, id](const Exchange& exchange) {
        OnEngineRequest(id, exchange);
      };
      engines_[id] = std::move(engine);
    }
    fleet_.Start(gateways);
    fronts_ = fleet_.fronts();
  }

  void OnEngineRequest(const std::string& id, const Exchange& exchange) {
    if (exchange->head().method != "POST") {
      exchange->SendResponse(200, {}, "{}");
      return;
    }
    const std::string parts = FakeUpstream::Field(exchange, "Prompt-Prefix");
    if (parts.find(kBadPart) == std::string::npos) {
      exchange->StartResponse(200, FakeUpstream::Signed(exchange),
                              std::nullopt);
      exchange->SendBody("id: 1\ndata: x\n\n");
      exchange->CompleteResponse();
      return;
    }
    ++bad_arrivals_;
    // The process ends: its port is closed with all connections.
    timers_.push_back(harness_.loop.After(milliseconds(20), [this, id] {
      if (engines_.erase(id) > 0) ++crashes_;
    }));
  }

  /// Sends a prompt through a gateway; the last part is the request's own.
  std::shared_ptr<ClientResult> SendParts(size_t gateway,
                                          const std::string& parts) {
    harness_.front = fronts_[gateway % fronts_.size()];
    const std::string id = "r" + std::to_string(++requests_);
    return harness_.Send(
        "POST", "/m/1",
        {{"Token-Count", "300,10"},
         {"Prompt-Prefix", parts + ",c" + std::to_string(requests_) + ":100"}},
        "b", id);
  }
  std::shared_ptr<ClientResult> SendSound(size_t gateway) {
    return SendParts(gateway, kCommonPart);
  }
  std::shared_ptr<ClientResult> SendBad(size_t gateway) {
    return SendParts(gateway, std::string(kCommonPart) + "," + kBadPart);
  }
  /// Sends bad prompts one after the other, each with a few sound ones.
  void PlayBadPrompts(int count) {
    for (int i = 0; i < count; ++i) {
      const auto gateway = static_cast<size_t>(i);
      bad_results_.push_back(SendBad(gateway));
      for (size_t j = 0; j < 4; ++j) {
        sound_results_.push_back(SendSound(gateway + j));
      }
      harness_.RunFor(milliseconds(150));
    }
    harness_.RunFor(milliseconds(500));
  }
  static int CountServed(
      const std::vector<std::shared_ptr<ClientResult>>& results) {
    int served = 0;
    for (const auto& result : results) {
      if (result->status == 200 && result->complete) ++served;
    }
    return served;
  }

  GatewayTestHarness harness_;
  std::map<std::string, std::unique_ptr<FakeUpstream>> engines_;
  GatewayFleet fleet_{harness_, kConfig};
  // Clients use these in turn.
  std::vector<Address> fronts_;
  std::vector<EventHandle> timers_;
  std::vector<std::shared_ptr<ClientResult>> bad_results_;
  std::vector<std::shared_ptr<ClientResult>> sound_results_;
  int bad_arrivals_ = 0;
  int crashes_ = 0;
  int requests_ = 0;
};

TEST_F(CrashingPromptTest, OneGatewayStopsAPartThatCrashesEngines) {
  Start(1, 20);
  PlayBadPrompts(15);
  EXPECT_LE(bad_arrivals_, 5);
  // Refused as not run, with a time to come back.
  EXPECT_EQ(bad_results_.back()->status, 503);
  EXPECT_NE(bad_results_.back()->Field("Retry-After"), "");
  EXPECT_GE(CountServed(sound_results_), 54);
}

TEST_F(CrashingPromptTest, GatewaysStopAPartThatNoneOfThemSawOften) {
  Start(5, 20);
  PlayBadPrompts(15);
  EXPECT_LE(bad_arrivals_, 5);
  EXPECT_EQ(bad_results_.back()->status, 503);
  EXPECT_GE(CountServed(sound_results_), 54);
}

TEST_F(CrashingPromptTest, GatewayThatStartsAloneKnowsWhatTheStoreHasKept) {
  Start(1, 20);
  constexpr int64_t kNowMs = 1'700'000'000'000;
  fleet_.gateway(0).OnQuarantineRecords(
      {{"bad", std::to_string(kNowMs - 5000), 1},
       {"c3", "0", 2},
       {"not hexadecimal", "1", 3}},
      kNowMs);
  const auto bad = SendBad(0);
  harness_.Await(bad);
  EXPECT_EQ(bad->status, 503);
  EXPECT_EQ(bad_arrivals_, 0);
  const auto sound = SendParts(0, std::string(kCommonPart) + ",c3:100");
  harness_.Await(sound);
  EXPECT_EQ(sound->status, 200);
}

TEST_F(CrashingPromptTest, GatewayThatStartsLaterKnowsTheBadPart) {
  Start(2, 40);
  PlayBadPrompts(8);
  const int before = bad_arrivals_;
  ASSERT_TRUE(fleet_.AddLater("late"));
  fronts_ = {fleet_.fronts().back()};
  for (int i = 0; i < 4; ++i) {
    const auto result = SendBad(0);
    harness_.Await(result);
    EXPECT_EQ(result->status, 503);
  }
  EXPECT_EQ(bad_arrivals_, before);
}

}  // namespace
}  // namespace corianderlink
