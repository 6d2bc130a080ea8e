// Verdicts on parts of prompts, in virtual time and without a network.
#include "corianderlink/Gateway/crash_quarantine.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

constexpr Time kStart = Time(seconds(1000));
constexpr uint64_t kCommon = 1;
constexpr uint64_t kBad = 2;

/// A request of its own whose prompt has these shared parts.
RequestSuspects MakeRequest(const std::vector<uint64_t>& shared) {
  static uint64_t digest = 1'000'000;
  return {++digest, shared};
}

SuspectKey Part(uint64_t id) { return {SuspectKey::Kind::kPart, id}; }

/// Several gateways and the engines that crash under them.
class CrashQuarantineTest : public ::testing::Test {
 protected:
  /// An engine crashes under a prompt that `gateway` sent to it.
  void Crash(size_t gateway, const std::vector<uint64_t>& parts,
             Duration after_sending = milliseconds(50)) {
    ++engines_;
    CrashOf("e" + std::to_string(engines_), gateway, parts, after_sending);
  }
  void CrashOf(const std::string& engine, size_t gateway,
               const std::vector<uint64_t>& parts,
               Duration after_sending = milliseconds(50)) {
    const RequestSuspects request = MakeRequest(parts);
    gateways_[gateway].OnCrash(
        now_, request,
        {UpstreamId(engine), 7, now_ - after_sending, now_, *request.digest});
  }
  void Answer(size_t gateway, const std::vector<uint64_t>& parts) {
    gateways_[gateway].OnAnswered(now_, MakeRequest(parts));
  }
  /// All gateways hear each other once, then the time goes on.
  void Step(Duration time) {
    for (size_t from = 0; from < gateways_.size(); ++from) {
      for (size_t to = 0; to < gateways_.size(); ++to) {
        if (from == to) continue;
        gateways_[to].OnPeerReports(now_, from, gateways_[from].Reports(now_));
      }
    }
    now_ += time;
    for (CrashQuarantine& gateway : gateways_) gateway.Update(now_);
  }
  /// Sound traffic on all gateways.
  void StepWithAnswers(Duration time) {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      for (int j = 0; j < 5; ++j) Answer(i, {kCommon});
    }
    Step(time);
  }
  bool Quarantined(size_t gateway, const std::vector<uint64_t>& parts) const {
    return gateways_[gateway].Find(now_, MakeRequest(parts)).has_value();
  }

  std::vector<CrashQuarantine> gateways_ = std::vector<CrashQuarantine>(1);
  Time now_ = kStart;
  int engines_ = 0;
};

TEST_F(CrashQuarantineTest, PartInEachCrashAndInNoAnswerIsQuarantined) {
  for (int i = 0; i < 3; ++i) {
    Crash(0, {kCommon, kBad});
    StepWithAnswers(milliseconds(200));
  }
  StepWithAnswers(milliseconds(300));
  EXPECT_TRUE(Quarantined(0, {kCommon, kBad}));
  EXPECT_TRUE(Quarantined(0, {kBad}));
  EXPECT_FALSE(Quarantined(0, {kCommon}));
}

TEST_F(CrashQuarantineTest, FiveCrashesAtAHundredGatewaysCountTogether) {
  gateways_ = std::vector<CrashQuarantine>(100);
  for (size_t i = 0; i < 5; ++i) {
    Crash(20 * i, {kCommon, kBad});
    StepWithAnswers(milliseconds(400));
  }
  for (size_t i = 0; i < gateways_.size(); ++i) {
    EXPECT_TRUE(Quarantined(i, {kCommon, kBad})) << i;
    EXPECT_FALSE(Quarantined(i, {kCommon})) << i;
  }
}

TEST_F(CrashQuarantineTest, BurstOfBadPromptsNeedsOneMoreCrash) {
  for (int i = 0; i < 5; ++i) Crash(0, {kCommon, kBad});
  StepWithAnswers(seconds(10));
  EXPECT_FALSE(Quarantined(0, {kCommon, kBad}));
  Crash(0, {kCommon, kBad});
  StepWithAnswers(milliseconds(300));
  EXPECT_TRUE(Quarantined(0, {kCommon, kBad}));
}

TEST_F(CrashQuarantineTest, EngineCountsOnceThoughManyRequestsWereOnIt) {
  gateways_ = std::vector<CrashQuarantine>(4);
  for (int round = 0; round < 5; ++round) {
    for (size_t i = 0; i < 4; ++i) CrashOf("e1", i, {kCommon, kBad});
    StepWithAnswers(milliseconds(300));
  }
  EXPECT_FALSE(Quarantined(0, {kCommon, kBad}));
}

// A zone loses its power: many engines end, each with prompts of all kinds.
TEST_F(CrashQuarantineTest, EnginesThatCrashTogetherQuarantineNothing) {
  for (int i = 0; i < 30; ++i) Crash(0, {kCommon, 100, 101});
  Step(seconds(2));
  EXPECT_FALSE(Quarantined(0, {kCommon, 100, 101}));
  StepWithAnswers(seconds(2));
  EXPECT_FALSE(Quarantined(0, {kCommon, 100, 101}));
}

TEST_F(CrashQuarantineTest, CrashesOfOtherCauseUnderACommonPartHarmNothing) {
  for (int i = 0; i < 12; ++i) {
    Crash(0, {kCommon, static_cast<uint64_t>(100 + i)});
    StepWithAnswers(milliseconds(300));
  }
  EXPECT_FALSE(Quarantined(0, {kCommon}));
  EXPECT_TRUE(gateways_[0].Quarantined(now_).empty());
}

TEST_F(CrashQuarantineTest, BadPartMayBeTheFirstOne) {
  for (int i = 0; i < 4; ++i) {
    Crash(0, {kBad, 100});
    StepWithAnswers(milliseconds(300));
    Answer(0, {100});
  }
  EXPECT_TRUE(Quarantined(0, {kBad}));
  EXPECT_FALSE(Quarantined(0, {100}));
}

TEST_F(CrashQuarantineTest, TwoBadPartsAtOnceAreBothFound) {
  for (int i = 0; i < 4; ++i) {
    Crash(0, {kCommon, kBad});
    Crash(0, {kCommon, kBad + 1});
    StepWithAnswers(milliseconds(300));
  }
  EXPECT_TRUE(Quarantined(0, {kCommon, kBad}));
  EXPECT_TRUE(Quarantined(0, {kCommon, kBad + 1}));
  EXPECT_FALSE(Quarantined(0, {kCommon}));
}

TEST_F(CrashQuarantineTest, LastPartIsNeverJudged) {
  Prompt prompt;
  prompt.parts = {{kCommon, 100}, {kBad, 100}};
  for (uint64_t i = 0; i < 6; ++i) {
    RequestSuspects request = SuspectsOf(prompt);
    request.digest = 500 + i;
    gateways_[0].OnCrash(now_, request,
                         {UpstreamId("e" + std::to_string(i)), 7,
                          now_ - milliseconds(50), now_, *request.digest});
    StepWithAnswers(milliseconds(300));
  }
  EXPECT_FALSE(gateways_[0].Find(now_, SuspectsOf(prompt)));
  EXPECT_FALSE(Quarantined(0, {kBad}));
}

TEST_F(CrashQuarantineTest, AnswerAtOnePeerClearsThePartAtAll) {
  gateways_ = std::vector<CrashQuarantine>(3);
  for (int i = 0; i < 8; ++i) {
    Crash(0, {kCommon, kBad});
    Step(milliseconds(25));
    Answer(1, {kCommon, kBad});
    StepWithAnswers(milliseconds(300));
  }
  for (size_t i = 0; i < 3; ++i) EXPECT_FALSE(Quarantined(i, {kBad}));
}

TEST_F(CrashQuarantineTest, StartedGatewayLearnsFromOneHeartbeat) {
  gateways_ = std::vector<CrashQuarantine>(2);
  for (int i = 0; i < 4; ++i) {
    Crash(0, {kCommon, kBad});
    StepWithAnswers(milliseconds(300));
  }
  gateways_.emplace_back();
  Step(milliseconds(25));
  EXPECT_TRUE(Quarantined(2, {kCommon, kBad}));
}

TEST_F(CrashQuarantineTest, StoredQuarantineOutlivesAStopOfAllGateways) {
  gateways_[0].Restore(now_, Part(kBad), seconds(30));
  EXPECT_TRUE(Quarantined(0, {kCommon, kBad}));
  now_ += seconds(580);
  gateways_[0].Update(now_);
  EXPECT_FALSE(Quarantined(0, {kCommon, kBad}));
  gateways_[0].Restore(now_, Part(kBad + 1), seconds(700));
  EXPECT_FALSE(Quarantined(0, {kBad + 1}));
}

TEST_F(CrashQuarantineTest, AnswerLiftsAQuarantineEverywhere) {
  gateways_ = std::vector<CrashQuarantine>(2);
  for (int i = 0; i < 4; ++i) {
    Crash(0, {kCommon, kBad});
    StepWithAnswers(milliseconds(300));
  }
  ASSERT_TRUE(Quarantined(1, {kBad}));
  Answer(0, {kBad});
  Step(milliseconds(25));
  Step(milliseconds(25));
  EXPECT_FALSE(Quarantined(0, {kBad}));
  EXPECT_FALSE(Quarantined(1, {kBad}));
}

TEST_F(CrashQuarantineTest, QuarantineEndsAndOneCrashRenewsIt) {
  for (int i = 0; i < 4; ++i) {
    Crash(0, {kCommon, kBad});
    StepWithAnswers(milliseconds(300));
  }
  ASSERT_TRUE(Quarantined(0, {kBad}));
  StepWithAnswers(seconds(601));
  EXPECT_FALSE(Quarantined(0, {kBad}));
  Crash(0, {kCommon, kBad});
  StepWithAnswers(milliseconds(10));
  EXPECT_TRUE(Quarantined(0, {kBad}));
}

TEST_F(CrashQuarantineTest, SuspectPartForbidsAnotherRun) {
  Crash(0, {kCommon, kBad});
  EXPECT_FALSE(gateways_[0].IsSuspect(MakeRequest({kBad})));
  Crash(0, {kCommon, kBad});
  EXPECT_TRUE(gateways_[0].IsSuspect(MakeRequest({kBad})));
  StepWithAnswers(milliseconds(10));
  EXPECT_FALSE(gateways_[0].IsSuspect(MakeRequest({kCommon})));
}

/// The whole request with this digest.
RequestSuspects Whole(uint64_t digest) { return {digest, {}}; }

class CrashingRequestQuarantineTest : public CrashQuarantineTest {
 protected:
  /// An upstream crashes under requests that were sent 50 ms before.
  void CrashUnder(const std::vector<uint64_t>& digests, size_t gateway = 0) {
    const std::string upstream = "u" + std::to_string(++engines_);
    for (const uint64_t digest : digests) {
      gateways_[gateway].OnCrash(
          now_, Whole(digest),
          {UpstreamId(upstream), 7, now_ - milliseconds(50), now_, digest});
    }
  }
  bool Held(uint64_t digest, size_t gateway = 0) const {
    return gateways_[gateway].Find(now_, Whole(digest)).has_value();
  }
};

TEST_F(CrashingRequestQuarantineTest, TwoCrashesInARowAreEnough) {
  gateways_ = std::vector<CrashQuarantine>(117);
  CrashUnder({kBad}, 3);
  Step(milliseconds(400));
  EXPECT_FALSE(Held(kBad, 3));
  EXPECT_TRUE(gateways_[50].IsSuspect(Whole(kBad)));
  CrashUnder({kBad}, 80);
  Step(milliseconds(400));
  for (size_t i = 0; i < gateways_.size(); ++i) EXPECT_TRUE(Held(kBad, i)) << i;
}

TEST_F(CrashingRequestQuarantineTest, EachRenewalIsLonger) {
  CrashUnder({kBad});
  Step(milliseconds(100));
  CrashUnder({kBad});
  Step(milliseconds(200));
  for (const int quarantine_s : {15, 120, 600}) {
    Step(seconds(quarantine_s - 1));
    EXPECT_TRUE(Held(kBad)) << quarantine_s;
    Step(seconds(quarantine_s / 4 + 2));
    EXPECT_FALSE(Held(kBad)) << quarantine_s;
    CrashUnder({kBad});
    Step(milliseconds(1));
    EXPECT_TRUE(Held(kBad)) << quarantine_s;
  }
}

TEST_F(CrashingRequestQuarantineTest, OldEvidenceDoesNotRenewAQuarantine) {
  gateways_.clear();
  for (uint64_t seed = 1; seed <= 4; ++seed) gateways_.emplace_back(seed * 977);
  CrashUnder({kBad});
  Step(milliseconds(100));
  CrashUnder({kBad}, 1);
  for (int i = 0; i < 300; ++i) Step(milliseconds(100));
  for (size_t i = 0; i < 4; ++i) EXPECT_FALSE(Held(kBad, i)) << i;
}

TEST_F(CrashingRequestQuarantineTest, AnswerEndsTheQuarantineEverywhere) {
  gateways_ = std::vector<CrashQuarantine>(3);
  CrashUnder({kBad});
  Step(milliseconds(100));
  CrashUnder({kBad});
  Step(milliseconds(200));
  ASSERT_TRUE(Held(kBad, 2));
  gateways_[1].OnAnswered(now_, Whole(kBad));
  Step(milliseconds(25));
  Step(milliseconds(25));
  for (size_t i = 0; i < 3; ++i) EXPECT_FALSE(Held(kBad, i)) << i;
}

TEST_F(CrashingRequestQuarantineTest, UpstreamsThatEndTogetherProveNothing) {
  for (int i = 0; i < 10; ++i) CrashUnder({kBad, kBad + 1});
  Step(seconds(1));
  EXPECT_FALSE(Held(kBad));
}

TEST_F(CrashingRequestQuarantineTest, RequestBesideACrashingOneIsNotBlamed) {
  constexpr uint64_t kSound = 77;
  CrashUnder({kSound, kBad});
  Step(milliseconds(60));
  CrashUnder({kSound, kBad});
  Step(milliseconds(300));
  EXPECT_FALSE(Held(kSound));
  CrashUnder({kBad});
  Step(milliseconds(300));
  EXPECT_TRUE(Held(kBad));
  EXPECT_FALSE(Held(kSound));
  // Evidence of the same crash that arrives later.
  gateways_[0].OnCrash(now_, Whole(kSound),
                       {UpstreamId("u3"), 7, now_ - milliseconds(350),
                        now_ - milliseconds(300), kSound});
  Step(milliseconds(300));
  EXPECT_FALSE(Held(kSound));
}

// A started gateway remembers no answers.
TEST_F(CrashingRequestQuarantineTest, AnswersThatPeersRememberClearARequest) {
  constexpr uint64_t kCommonRequest = 78;
  gateways_ = std::vector<CrashQuarantine>(3);
  gateways_[2].OnAnswered(now_, Whole(kCommonRequest));
  Step(seconds(2));
  CrashUnder({kCommonRequest}, 0);
  Step(milliseconds(100));
  CrashUnder({kCommonRequest}, 0);
  for (int i = 0; i < 20; ++i) Step(milliseconds(50));
  for (size_t i = 0; i < 3; ++i) EXPECT_FALSE(Held(kCommonRequest, i)) << i;
  // An answer of long ago does not excuse later crashes.
  Step(seconds(20));
  CrashUnder({kCommonRequest}, 0);
  Step(milliseconds(100));
  CrashUnder({kCommonRequest}, 0);
  for (int i = 0; i < 20; ++i) Step(milliseconds(50));
  for (size_t i = 0; i < 3; ++i) EXPECT_TRUE(Held(kCommonRequest, i)) << i;
}

TEST_F(CrashingRequestQuarantineTest, RepeatedRequestDoesNotBlameItsParts) {
  for (int i = 0; i < 6; ++i) {
    const RequestSuspects request{kBad, {kCommon}};
    gateways_[0].OnCrash(now_, request,
                         {UpstreamId("u" + std::to_string(i)), 7,
                          now_ - milliseconds(50), now_, kBad});
    for (int j = 0; j < 5; ++j) Answer(0, {kCommon + 1});
    Step(milliseconds(300));
  }
  EXPECT_TRUE(Held(kBad));
  EXPECT_FALSE(Quarantined(0, {kCommon}));
}

// A client invents parts and an engine crashes again and again.
TEST_F(CrashQuarantineTest, MemoryAndReportsAreBounded) {
  for (uint64_t i = 0; i < 5000; ++i) {
    Crash(0, {10'000 + i, 20'000 + i, 30'000 + i});
  }
  EXPECT_LE(gateways_[0].Reports(now_).size(), 32U);
  for (int i = 0; i < 3; ++i) {
    now_ += milliseconds(100);
    Crash(0, {kBad});
    Crash(0, {40'000U + static_cast<uint64_t>(i)});
  }
  StepWithAnswers(milliseconds(300));
  EXPECT_TRUE(Quarantined(0, {kBad}));
  // Only the quarantine outlives its evidence.
  StepWithAnswers(seconds(301));
  EXPECT_EQ(gateways_[0].Reports(now_).size(), 1U);
}

}  // namespace
}  // namespace corianderlink
