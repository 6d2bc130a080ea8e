// The models on which placement rests, partly against reference
// implementations.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <string>

#include "corianderlink/Gateway/client_timeout_estimate.h"
#include "corianderlink/Gateway/decaying_rate.h"
#include "corianderlink/Gateway/event_splitter.h"
#include "corianderlink/Gateway/prefix_cache_model.h"
#include "corianderlink/Gateway/retry_window.h"
#include "corianderlink/Gateway/speed_model.h"
#include "corianderlink/Gateway/upstream_load.h"

namespace corianderlink {
namespace {

const UpstreamId kA("a");
constexpr Time kStart = Time(seconds(1000));

TEST(UpstreamLoadTest, BacklogShrinksAsTimePassesAndIsClearedByThePrefill) {
  UpstreamLoad load(seconds(1));
  const DispatchId id =
      load.OnDispatch(kStart, kA, PriorityTier::kTimely, 20, 20);
  EXPECT_DOUBLE_EQ(load.BacklogMs(kStart, kA, PriorityTier::kTimely), 20);
  EXPECT_DOUBLE_EQ(
      load.BacklogMs(kStart + milliseconds(5), kA, PriorityTier::kTimely), 15);
  load.OnPrefillComplete(kStart + milliseconds(9), kA, id);
  EXPECT_DOUBLE_EQ(
      load.BacklogMs(kStart + milliseconds(9), kA, PriorityTier::kTimely), 0);
  EXPECT_EQ(load.Requests(kStart, kA), 1U);
  load.OnEnd(kStart, kA, id);
  EXPECT_EQ(load.Requests(kStart, kA), 0U);
}

TEST(UpstreamLoadTest, BacklogExcludesLowerTiers) {
  UpstreamLoad load(seconds(1));
  load.OnDispatch(kStart, kA, PriorityTier::kLate, 50, 50);
  load.OnDispatch(kStart, kA, PriorityTier::kTimely, 20, 20);
  EXPECT_DOUBLE_EQ(load.BacklogMs(kStart, kA, PriorityTier::kExpress), 0);
  EXPECT_DOUBLE_EQ(load.BacklogMs(kStart, kA, PriorityTier::kTimely), 20);
  EXPECT_DOUBLE_EQ(load.BacklogMs(kStart, kA, PriorityTier::kLate), 70);
}

TEST(UpstreamLoadTest, PeerLoadCountsUntilTheTimeout) {
  UpstreamLoad load(seconds(1));
  OutstandingLoad peer_work;
  peer_work.requests = 3;
  peer_work.backlog_ms = {0, 40, 0};
  load.SetPeer(kStart, "p", {{kA, peer_work}});
  EXPECT_EQ(load.Requests(kStart, kA), 3U);
  EXPECT_DOUBLE_EQ(load.BacklogMs(kStart, kA, PriorityTier::kTimely), 40);
  EXPECT_EQ(load.Requests(kStart + seconds(2), kA), 0U);
}

TEST(UpstreamLoadTest, TotalIsTheSumOfLivePeers) {
  // Compares with a plain sum over all peers, while peers change their load and
  // time out.
  constexpr Duration kTimeout = seconds(1);
  struct PeerLoad {
    Time at{};
    OutstandingLoad peer_work;
  };
  std::mt19937_64 random(7);
  UpstreamLoad load(kTimeout);
  std::map<std::string, PeerLoad> reference;
  Time now = kStart;
  for (int step = 0; step < 3000; ++step) {
    now += milliseconds(random() % 60);
    const std::string peer = "p" + std::to_string(random() % 30);
    OutstandingLoad peer_work;
    peer_work.requests = static_cast<uint32_t>(random() % 4);
    peer_work.express = peer_work.requests / 2;
    peer_work.backlog_ms = {0.125, 0.3 * static_cast<double>(random() % 9),
                            7.25};
    std::map<UpstreamId, OutstandingLoad> peer_loads;
    if (peer_work.requests > 0) peer_loads[kA] = peer_work;
    if (peer_work.requests == 0) peer_work = {};
    load.SetPeer(now, peer, peer_loads);
    reference[peer] = {now, peer_work};
    if (random() % 5 == 0) load.ExpirePeers(now);

    const Time query_time = now + milliseconds(random() % 300);
    OutstandingLoad sum;
    for (const auto& [name, peer_load] : reference) {
      if (query_time - peer_load.at > kTimeout) continue;
      sum.requests += peer_load.peer_work.requests;
      sum.express += peer_load.peer_work.express;
      for (size_t i = 0; i < kPriorityTiers; ++i) {
        sum.backlog_ms[i] += peer_load.peer_work.backlog_ms[i];
      }
    }
    const OutstandingLoad total = load.Total(query_time, kA);
    ASSERT_EQ(total.requests, sum.requests);
    ASSERT_EQ(total.express, sum.express);
    for (size_t i = 0; i < kPriorityTiers; ++i) {
      ASSERT_NEAR(total.backlog_ms[i], sum.backlog_ms[i], 0.05);
    }
  }
}

TEST(UpstreamLoadTest, PeerAgeIsNotDominatedByOneSilentPeer) {
  UpstreamLoad load(seconds(2));
  EXPECT_EQ(load.PeerAge(kStart), Duration::zero());
  load.SetPeer(kStart, "silent", {});
  const Time later = kStart + milliseconds(900);
  load.SetPeer(later - milliseconds(5), "a", {});
  load.SetPeer(later - milliseconds(9), "b", {});
  EXPECT_EQ(load.PeerAge(later), Duration(milliseconds(9)));
}

TEST(UpstreamLoadTest, HeartbeatIntervalIsTheSameAtAnyMoment) {
  UpstreamLoad load(seconds(2));
  EXPECT_EQ(load.HeartbeatInterval(kStart), Duration::zero());
  Time now = kStart;
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(90);
    for (const char* peer : {"a", "b", "c"}) load.SetPeer(now, peer, {});
  }
  // Right after the heartbeats of all peers, and right before the next ones.
  EXPECT_EQ(load.PeerAge(now + milliseconds(1)), Duration(milliseconds(1)));
  EXPECT_EQ(load.HeartbeatInterval(now + milliseconds(1)),
            Duration(milliseconds(90)));
  EXPECT_EQ(load.HeartbeatInterval(now + milliseconds(89)),
            Duration(milliseconds(90)));
}

TEST(UpstreamLoadTest, UpstreamWithoutProgressIsStalled) {
  UpstreamLoad load(seconds(1));
  load.OnDispatch(kStart, kA, PriorityTier::kTimely, 20, 20);
  EXPECT_FALSE(load.Stalled(kStart + milliseconds(300), kA, milliseconds(400)));
  EXPECT_TRUE(load.Stalled(kStart + milliseconds(500), kA, milliseconds(400)));
  const DispatchId other = load.OnDispatch(kStart + milliseconds(450), kA,
                                           PriorityTier::kTimely, 1, 1);
  load.OnPrefillComplete(kStart + milliseconds(460), kA, other);
  EXPECT_FALSE(load.Stalled(kStart + milliseconds(500), kA, milliseconds(400)));
}

// An engine that reads a long prompt for a second answers nothing meanwhile.
TEST(UpstreamLoadTest, LongPrefillWithinItsPredictionIsNotStalled) {
  UpstreamLoad load(seconds(1));
  load.OnDispatch(kStart, kA, PriorityTier::kTimely, 900, 1000);
  EXPECT_FALSE(load.Stalled(kStart + seconds(2), kA, milliseconds(400)));
  EXPECT_TRUE(load.Stalled(kStart + seconds(3), kA, milliseconds(400)));
}

TEST(SpeedModelTest, PredictsEnginesOfUnknownSpeedAfterAFewPrompts) {
  constexpr double kTokensPerMs = 30;
  SpeedModel speed;
  UpstreamRecord engine;
  engine.id = kA;
  engine.role = UpstreamRole::kPrefill;
  Prompt prompt;
  prompt.tokens = 9000;
  const double actual_ms = prompt.tokens / kTokensPerMs;
  for (int i = 0; i < 8; ++i) {
    speed.Observe(engine, speed.ComputeMs(engine, prompt, 0), actual_ms);
  }
  EXPECT_NEAR(speed.ComputeMs(engine, prompt, 0) / actual_ms, 1, 0.15);
  // An engine that has not been used yet is expected to be like the others.
  engine.id = UpstreamId("other");
  EXPECT_NEAR(speed.ComputeMs(engine, prompt, 0) / actual_ms, 1, 0.3);
}

// Prefix cache that searches a list of its parts.
class ReferenceCache {
 public:
  explicit ReferenceCache(uint64_t capacity) : capacity_(capacity) {}
  uint32_t CachedTokens(const Prompt& prompt) const {
    uint32_t cached = 0;
    for (const PromptPart& part : prompt.parts) {
      bool found = false;
      for (const PromptPart& entry : parts_) {
        if (entry.id == part.id && entry.tokens >= part.tokens) found = true;
      }
      if (!found) break;
      cached += part.tokens;
    }
    return cached;
  }
  void Use(const std::vector<PromptPart>& parts) {
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
      std::erase_if(parts_, [&](const auto& p) { return p.id == part->id; });
      parts_.push_front(*part);
    }
    uint64_t sum = 0;
    for (const PromptPart& part : parts_) sum += part.tokens;
    while (sum > capacity_) {
      sum -= parts_.back().tokens;
      parts_.pop_back();
    }
  }

 private:
  uint64_t capacity_;
  std::deque<PromptPart> parts_;
};

RC_GTEST_PROP(PrefixCacheModelTest, AgreesWithAReferenceImplementation, ()) {
  const uint64_t capacity = *rc::gen::inRange(1, 400);
  PrefixCacheModel cache(capacity);
  ReferenceCache reference(capacity);
  for (int i = 0; i < 50; ++i) {
    Prompt prompt;
    const int count = *rc::gen::inRange(0, 4);
    for (int j = 0; j < count; ++j) {
      prompt.parts.push_back({*rc::gen::inRange<uint64_t>(0, 9),
                              *rc::gen::inRange<uint32_t>(1, 90)});
    }
    RC_ASSERT(cache.CachedTokens(prompt) == reference.CachedTokens(prompt));
    cache.Use(prompt.parts);
    reference.Use(prompt.parts);
  }
}

TEST(SpeedModelTest, AdaptsToASlowEngine) {
  SpeedModel model;
  UpstreamRecord slow;
  slow.id = UpstreamId("slow");
  slow.role = UpstreamRole::kPrefill;
  UpstreamRecord other = slow;
  other.id = UpstreamId("other");
  Prompt prompt;
  prompt.tokens = 3000;
  for (int i = 0; i < 60; ++i) {
    const double predicted = model.ComputeMs(slow, prompt, 0);
    model.Observe(slow, predicted, 40);
    model.Observe(other, model.ComputeMs(other, prompt, 0), 10);
  }
  EXPECT_NEAR(model.ComputeMs(slow, prompt, 0), 40, 8);
  EXPECT_NEAR(model.ComputeMs(other, prompt, 0), 10, 2);
}

TEST(SpeedModelTest, OneOutlierHasLittleEffect) {
  SpeedModel model;
  UpstreamRecord engine;
  engine.id = kA;
  engine.role = UpstreamRole::kPrefill;
  const double before = model.Factor(engine);
  model.Observe(engine, 10, 10000);
  EXPECT_LT(model.Factor(engine), before * 1.15);
}

TEST(ClientTimeoutEstimateTest,
     FirstAttemptsThatVarySlightlyHaveNoElapsedTime) {
  ClientTimeoutEstimate estimate;
  for (int i = 0; i < 500; ++i) {
    const Duration first = milliseconds(1700 + i * 37 % 300);
    estimate.Add(first);
    // A few clients have a much longer timeout.
    if (i % 20 == 0) estimate.Add(milliseconds(9000));
    if (i < 64) continue;
    EXPECT_EQ(estimate.Elapsed(first), Duration::zero());
  }
}

TEST(ClientTimeoutEstimateTest,
     RetriesAreDetectedWhileHalfOfAllRequestsAreRetries) {
  ClientTimeoutEstimate estimate;
  int detected = 0;
  for (int i = 0; i < 500; ++i) {
    estimate.Add(milliseconds(1700 + i * 37 % 300));
    const Duration retry_timeout = milliseconds(1100 + i * 41 % 250);
    estimate.Add(retry_timeout);
    if (estimate.Elapsed(retry_timeout) > milliseconds(300)) ++detected;
  }
  EXPECT_GT(detected, 480);
}

TEST(ClientTimeoutEstimateTest, FollowsAChangeOfTheTimeout) {
  ClientTimeoutEstimate estimate;
  for (int i = 0; i < 500; ++i) estimate.Add(milliseconds(2000));
  for (int i = 0; i < 100; ++i) estimate.Add(milliseconds(500));
  EXPECT_EQ(estimate.Value(), Duration(milliseconds(500)));
}

TEST(DecayingRateTest, ApproachesTheRateAndDecays) {
  DecayingRate rate(seconds(2));
  for (int i = 0; i < 1000; ++i) rate.Add(kStart + i * milliseconds(10), 3);
  const Time end = kStart + seconds(10);
  EXPECT_NEAR(rate.PerSecond(end), 300, 10);
  EXPECT_LT(rate.PerSecond(end + seconds(20)), 1);
}

// Four gateways together never exceed the total budget in any window.
RC_GTEST_PROP(RetryWindowTest, AllGatewaysTogetherStayWithinTheBudget, ()) {
  constexpr size_t kGateways = 4;
  const RetryLimits limits{0.2, 40, seconds(10)};
  std::vector<RetryWindow> gateways(kGateways, RetryWindow(limits));
  std::vector<Time> requests;
  std::vector<Time> retries;
  Time now = kStart;
  for (int i = 0; i < 1500; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 40));
    RetryWindow& gateway = gateways[*rc::gen::inRange<size_t>(0, kGateways)];
    if (*rc::gen::inRange(0, 3) > 0) {
      gateway.OnRequest(now);
      requests.push_back(now);
    } else if (gateway.TryRetry(now, kGateways)) {
      retries.push_back(now);
    }
    const auto in_window = [&](const std::vector<Time>& times) {
      return static_cast<double>(
          std::count_if(times.begin(), times.end(),
                        [&](Time t) { return t >= now - limits.window; }));
    };
    RC_ASSERT(in_window(retries) <=
              limits.ratio * in_window(requests) + limits.slack);
  }
}

/// Gateways that send a service as many retries as they may, while they lose
/// each other.
class LostPeersBudgetTest : public ::testing::Test {
 protected:
  static constexpr size_t kGateways = 8;
  static constexpr Duration kStep = milliseconds(5);
  // A peer that has been silent for so long is not live.
  static constexpr Duration kPeerTimeout = milliseconds(1500);

  void Run(Duration time) {
    const Time end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      for (size_t i = 0; i < running_; ++i) Step(i);
      ExpectWithinBudget();
      if (HasFatalFailure()) return;
    }
  }
  /// From now on gateways hear nothing of each other.
  void Cut() { cut_at_ = now_; }
  void Heal() { cut_at_.reset(); }
  /// All but the first end.
  void EndOthers() {
    running_ = 1;
    Cut();
  }

 private:
  size_t Live() const {
    return cut_at_ && now_ > *cut_at_ + kPeerTimeout ? 1 : kGateways;
  }
  void Step(size_t i) {
    if ((now_ - kStart) % milliseconds(50) == Duration::zero()) {
      gateways_[i].OnRequest(now_);
      requests_.push_back(now_);
    }
    sharing_[i].Update(now_, Live());
    if (gateways_[i].TryRetry(now_, sharing_[i].count())) {
      retries_.push_back(now_);
    }
  }
  void ExpectWithinBudget() {
    const auto in_window = [this](std::deque<Time>& times) {
      while (!times.empty() && times.front() < now_ - limits_.window) {
        times.pop_front();
      }
      return static_cast<double>(times.size());
    };
    const double allowed = limits_.ratio * in_window(requests_) + limits_.slack;
    ASSERT_LE(in_window(retries_), allowed) << ToSeconds(now_ - kStart);
  }

  const RetryLimits limits_{0.1, 192, seconds(10)};
  Time now_ = kStart;
  std::optional<Time> cut_at_;
  size_t running_ = kGateways;
  std::vector<RetryWindow> gateways_ =
      std::vector<RetryWindow>(kGateways, RetryWindow(limits_));
  std::vector<SharingGateways> sharing_ =
      std::vector<SharingGateways>(kGateways);
  std::deque<Time> requests_;
  std::deque<Time> retries_;
};

TEST_F(LostPeersBudgetTest, GatewaysThatLoseEachOtherKeepTheBudget) {
  Run(seconds(15));
  Cut();
  Run(seconds(25));
  Heal();
  Run(seconds(15));
}

TEST(SharingGatewaysTest, ShareGrowsWhenGatewaysHaveGoneForGood) {
  SharingGateways sharing;
  sharing.Update(kStart, 8);
  for (int i = 0; i <= 61; ++i) sharing.Update(kStart + seconds(i), 2);
  EXPECT_EQ(sharing.count(), 2U);
  sharing.Update(kStart + seconds(62), 9);
  EXPECT_EQ(sharing.count(), 9U);
}

TEST_F(LostPeersBudgetTest, LastGatewayOfManyKeepsTheBudget) {
  Run(seconds(15));
  EndOthers();
  Run(seconds(15));
}

RC_GTEST_PROP(EventSplitterTest, SplitsEventsRegardlessOfChunking, ()) {
  const std::string stream =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\nda";
  EventSplitter splitter;
  std::string joined;
  std::vector<std::optional<uint64_t>> ids;
  size_t at = 0;
  while (at < stream.size()) {
    const size_t n = *rc::gen::inRange<size_t>(1, 9);
    splitter.Feed(std::string_view{stream}.substr(at, n));
    at += n;
    while (auto event = splitter.Next()) {
      joined += event->bytes;
      ids.push_back(event->id);
    }
  }
  RC_ASSERT(joined + splitter.rest() == stream);
  RC_ASSERT(splitter.rest() == "id: 3\nda");
  const std::vector<std::optional<uint64_t>> expected = {1, 2, std::nullopt};
  RC_ASSERT(ids == expected);
}

}  // namespace
}  // namespace corianderlink
