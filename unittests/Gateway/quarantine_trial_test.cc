// The end of a quarantine at many gateways, in virtual time and without a
// network.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Gateway/crash_quarantine.h"

namespace corianderlink {
namespace {

constexpr Duration kTick = milliseconds(5);
constexpr uint64_t kDigest = 42;

/// Gateways that get one request again and again, and tell each other what they
/// know, each at its own interval and with a delay.
class QuarantineTrialTest : public ::testing::Test {
 protected:
  void Start(size_t gateways) {
    gateways_.clear();
    events_.clear();
    sent_.clear();
    dead_.clear();
    for (size_t i = 0; i < gateways; ++i) gateways_.emplace_back(ProcessOf(i));
    const auto peers = static_cast<int64_t>(gateways) - 1;
    heartbeat_ = std::max<Duration>(milliseconds(25), peers * milliseconds(3));
    for (size_t i = 0; i < gateways; ++i) {
      gateways_[i].on_claim = [this, i] { Tell(i); };
      At(now_ + Between(Duration::zero(), heartbeat_), [this, i] { Beat(i); });
    }
  }
  /// Two crashes in a row, and the verdict.
  void Quarantine() {
    Crash(0, now_ - milliseconds(50));
    RunFor(milliseconds(100));
    Crash(0, now_ - milliseconds(50));
    RunFor(seconds(2));
    for (size_t i = 0; i < gateways_.size(); ++i) EXPECT_TRUE(Held(i)) << i;
    quarantined_at_ = now_ - seconds(2);
  }
  /// Requests arrive at random gateways at this interval, until `time` after
  /// the verdict.
  void RunWithRequestsUntil(Duration time, Duration interval) {
    while (now_ < quarantined_at_ + time) {
      Arrive(random_() % gateways_.size());
      RunFor(interval);
    }
  }
  void RunFor(Duration time) {
    const Time end = now_ + time;
    while (now_ < end) {
      now_ += kTick;
      for (CrashQuarantine& gateway : gateways_) gateway.UpdateIfDue(now_);
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
    }
  }

  void Arrive(size_t gateway) {
    CrashQuarantine& quarantine = gateways_[gateway];
    if (Held(gateway)) return;
    const TrialId trial = quarantine.ClaimTrial(now_, request_, 0);
    if (trial == 0) {
      Send(gateway, trial);
      return;
    }
    At(now_ + QuarantineTrials::kSettle, [this, gateway, trial, &quarantine] {
      if (quarantine.Find(now_, request_, trial)) {
        quarantine.OnTrialEnd(now_, trial, false);
      } else {
        Send(gateway, trial);
      }
    });
  }
  void Send(size_t gateway, TrialId trial) {
    sent_.push_back(now_);
    gateways_[gateway].OnTrialSent(now_, trial);
    At(now_ + Between(run_time_, run_time_ * 2),
       [this, gateway, trial, sent_at = now_] {
         OnRunEnd(gateway, trial, sent_at);
       });
  }
  void OnRunEnd(size_t gateway, TrialId trial, Time sent_at) {
    if (result_ == Result::kAnswer) {
      gateways_[gateway].OnAnswered(now_, request_);
    }
    if (result_ == Result::kCrash) {
      // Whether the upstream has crashed is known a moment later.
      At(now_ + milliseconds(20),
         [this, gateway, sent_at] { Crash(gateway, sent_at); });
    }
    gateways_[gateway].OnTrialEnd(now_, trial, true);
  }
  void Crash(size_t gateway, Time sent_at) {
    const UpstreamId upstream("u" + std::to_string(++upstreams_));
    gateways_[gateway].OnCrash(now_, request_,
                               {upstream, 7, sent_at, now_, kDigest});
  }
  bool Held(size_t gateway) const {
    return gateways_[gateway].Find(now_, request_).has_value();
  }
  void Beat(size_t from) {
    if (dead_.count(from) > 0) return;
    gateways_[from].Update(now_);
    Tell(from);
    At(now_ + heartbeat_, [this, from] { Beat(from); });
  }
  void Tell(size_t from) {
    for (size_t to = 0; to < gateways_.size(); ++to) {
      if (to == from) continue;
      At(now_ + Between(milliseconds(2), milliseconds(30)),
         [this, from, to, reports = gateways_[from].Reports(now_)] {
           gateways_[to].OnPeerReports(now_, ProcessOf(from), reports);
         });
    }
  }
  static uint64_t ProcessOf(size_t gateway) { return 977 * (gateway + 1); }
  size_t HeldCount() const {
    size_t held = 0;
    for (size_t i = 0; i < gateways_.size(); ++i) held += Held(i) ? 1 : 0;
    return held;
  }
  void At(Time at, std::function<void()> event) {
    events_.emplace(at, std::move(event));
  }
  Duration Between(Duration least, Duration most) {
    const auto span = static_cast<uint64_t>((most - least).count()) + 1;
    return least + Duration(static_cast<int64_t>(random_() % span));
  }

  Time now_ = Time(seconds(1000));
  Time quarantined_at_{};
  std::mt19937_64 random_{7};
  std::vector<CrashQuarantine> gateways_;
  Duration heartbeat_{};
  std::multimap<Time, std::function<void()>> events_;
  const RequestSuspects request_{kDigest, {}};
  enum class Result : uint8_t { kCrash, kAnswer, kUnknown };
  // What a run of the request ends with.
  Result result_ = Result::kCrash;
  // A run lasts once to twice this time.
  Duration run_time_ = milliseconds(60);
  std::vector<Time> sent_;
  int upstreams_ = 0;
  // Gateways that send no heartbeats any more.
  std::set<size_t> dead_;
};

TEST_F(QuarantineTrialTest, OneRequestOfAllGatewaysIsTriedAfterAQuarantine) {
  for (const size_t gateways : {1, 2, 4, 12, 117}) {
    SCOPED_TRACE(gateways);
    Start(gateways);
    Quarantine();
    RunWithRequestsUntil(seconds(22), milliseconds(20));
    EXPECT_EQ(sent_.size(), 1U);
    EXPECT_EQ(HeldCount(), gateways);
  }
}

TEST_F(QuarantineTrialTest, RequestsThatArriveEverywhereAtOnceAreOneTry) {
  for (const size_t gateways : {2, 12, 117}) {
    SCOPED_TRACE(gateways);
    Start(gateways);
    Quarantine();
    RunFor(seconds(16));
    for (size_t i = 0; i < gateways; ++i) {
      for (int j = 0; j < 3; ++j) Arrive(i);
    }
    RunFor(seconds(1));
    EXPECT_EQ(sent_.size(), 1U);
  }
}

TEST_F(QuarantineTrialTest, EachRenewalCostsOneTry) {
  Start(4);
  Quarantine();
  RunWithRequestsUntil(seconds(15 + 120 + 600 + 10), milliseconds(50));
  EXPECT_EQ(sent_.size(), 3U);
}

TEST_F(QuarantineTrialTest, OneAnswerFreesASoundRequestEverywhere) {
  result_ = Result::kAnswer;
  for (const size_t gateways : {1, 2, 12, 117}) {
    SCOPED_TRACE(gateways);
    Start(gateways);
    Quarantine();
    RunWithRequestsUntil(seconds(16), milliseconds(20));
    EXPECT_EQ(HeldCount(), 0U);
  }
}

TEST_F(QuarantineTrialTest, SlowRequestHoldsOthersForABoundedTime) {
  result_ = Result::kAnswer;
  run_time_ = seconds(20);
  for (const size_t gateways : {1, 2, 12, 117}) {
    SCOPED_TRACE(gateways);
    Start(gateways);
    Quarantine();
    RunWithRequestsUntil(seconds(17), milliseconds(20));
    EXPECT_EQ(sent_.size(), 1U);
    RunWithRequestsUntil(milliseconds(18'750), milliseconds(20));
    EXPECT_EQ(HeldCount(), 0U);
  }
}

TEST_F(QuarantineTrialTest, TryWithoutAResultIsFollowedByAnother) {
  result_ = Result::kUnknown;
  Start(12);
  Quarantine();
  RunWithRequestsUntil(seconds(25), milliseconds(20));
  EXPECT_GE(sent_.size(), 4U);
  EXPECT_LE(sent_.size(), 7U);
}

TEST_F(QuarantineTrialTest, GatewayThatDiesHoldsOthersForABoundedTime) {
  result_ = Result::kUnknown;
  Start(4);
  Quarantine();
  RunFor(seconds(14));
  Arrive(2);
  RunFor(milliseconds(60));
  dead_.insert(2);
  EXPECT_TRUE(Held(0));
  RunFor(seconds(4));
  EXPECT_FALSE(Held(0));
}

}  // namespace
}  // namespace corianderlink
