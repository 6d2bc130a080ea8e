// Placement under overload, with failing upstreams, and with connection limits.
#include "corianderlink/Gateway/placer.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>

namespace corianderlink {
namespace {

constexpr Time kStart = Time(seconds(1000));
const ServiceId kModel("model");
const ServiceId kPlainService("shop");

UpstreamRecord Record(const std::string& id, const ServiceId& service,
                      UpstreamRole role, int slots) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = service;
  record.address = {
      "127.0.0.1",
      static_cast<uint16_t>(1000 + std::hash<std::string>()(id) % 60000)};
  record.zone = ZoneId("z");
  record.slots = slots;
  record.role = role;
  return record;
}

class PlacerTest : public ::testing::Test {
 protected:
  PlacerTest() {
    OutlierEjectorLimits ejector;
    placer_ = std::make_unique<Placer>(PlacerLimits{}, ejector, seconds(1),
                                       ZoneId("z"), random_);
    engine_.cache_tokens = 200000;
    engine_.link_bytes_per_ms = 1e9;
    engine_.cache_bytes_per_token = 300000;
  }

  void AddEngines(int prefill, int decode) {
    for (int i = 0; i < prefill; ++i) {
      placer_->directory().Put(
          Record("p" + std::to_string(i), kModel, UpstreamRole::kPrefill, 32));
    }
    for (int i = 0; i < decode; ++i) {
      placer_->directory().Put(
          Record("d" + std::to_string(i), kModel, UpstreamRole::kDecode, 32));
    }
  }

  PlacementQuery Query(const Prompt& prompt, double objective_ms = 150,
                       double deadline_ms = 2000) {
    PlacementQuery query;
    query.service = kModel;
    query.engine = &engine_;
    query.prompt = &prompt;
    query.objective_left_ms = objective_ms;
    query.deadline_left_ms = deadline_ms;
    query.excluded = &excluded_;
    return query;
  }

  static Prompt LongPrompt(uint64_t shared_id, uint64_t unique_id) {
    Prompt prompt;
    prompt.parts = {{1, 2500}, {shared_id, 3800}, {unique_id, 2900}};
    prompt.tokens = 9200;
    return prompt;
  }

  EngineTraits engine_;
  std::set<UpstreamId> excluded_;
  RandomSource random_{1};
  std::unique_ptr<Placer> placer_;
};

TEST_F(PlacerTest, RequestsWithASharedPrefixGoToTheSameEngine) {
  AddEngines(4, 2);
  const Prompt first = LongPrompt(77, 1);
  const PlacementQuery query = Query(first);
  const auto placed = placer_->PlacePrompt(kStart, query);
  ASSERT_TRUE(placed.placement);
  const DispatchId id = placer_->OnDispatch(kStart, *placed.placement, &query);
  placer_->OnEnd(kStart, *placed.placement, id);
  const Prompt second = LongPrompt(77, 2);
  const auto again = placer_->PlacePrompt(kStart, Query(second));
  ASSERT_TRUE(again.placement);
  EXPECT_EQ(again.placement->upstream.id, placed.placement->upstream.id);
  EXPECT_LT(again.placement->cost_ms, placed.placement->cost_ms);
}

// Overload with as many shared prefixes as all engines can cache together.  If
// each prompt went to the shortest queue, engines would evict and recompute the
// same prefixes again and again.
TEST_F(PlacerTest, SharedPrefixesKeepTheirEngineUnderOverload) {
  constexpr uint64_t kSharedPrefixes = 80;
  AddEngines(6, 2);
  std::mt19937_64 random(3);
  uint32_t computed_count = 0;
  uint32_t prefix_computed_count = 0;
  std::deque<std::pair<Placement, DispatchId>> running;
  for (int i = 0; i < 3000; ++i) {
    const Prompt prompt =
        LongPrompt(100 + random() % kSharedPrefixes, 9000 + i);
    const PlacementQuery query = Query(prompt);
    const auto result = placer_->PlacePrompt(kStart, query);
    if (result.placement) {
      const DispatchId id =
          placer_->OnDispatch(kStart, *result.placement, &query);
      running.emplace_back(*result.placement, id);
      if (i > 1000) {
        ++computed_count;
        // Only a prompt whose prefix is not cached costs more than this.
        if (result.placement->cost_ms > 15) ++prefix_computed_count;
      }
    }
    // Keeps about two prompts waiting on each engine.
    if (running.size() > 12) {
      placer_->OnEnd(kStart, running.front().first, running.front().second);
      running.pop_front();
    }
  }
  EXPECT_GT(computed_count, 500U);
  EXPECT_LT(prefix_computed_count, computed_count / 3);
}

TEST_F(PlacerTest, PromptsOfPeersCountAsCached) {
  AddEngines(4, 2);
  const Prompt any = LongPrompt(5, 1);
  const PlacementQuery query = Query(any);
  placer_->OnEnd(
      kStart, Placement{},
      placer_->OnDispatch(
          kStart, *placer_->PlacePrompt(kStart, query).placement, &query));
  placer_->OnPeerUse({UpstreamId("p2"), LongPrompt(99, 8).parts});
  const Prompt same = LongPrompt(99, 9);
  const auto placed = placer_->PlacePrompt(kStart, Query(same));
  ASSERT_TRUE(placed.placement);
  EXPECT_EQ(placed.placement->upstream.id, UpstreamId("p2"));
}

// Overload of twice the engine capacity: prompts placed in the timely tier meet
// their objective, and the others are refused at once with a retry time.
TEST_F(PlacerTest, OverloadIsRefusedAtOnceAndAdmittedRequestsStayInTime) {
  AddEngines(4, 2);
  int timely = 0;
  int refused = 0;
  for (int i = 0; i < 300; ++i) {
    const Prompt prompt = LongPrompt(100 + i, 1000 + i);
    const PlacementQuery query = Query(prompt);
    const auto result = placer_->PlacePrompt(kStart, query);
    if (!result.placement) {
      ++refused;
      EXPECT_GT(result.retry_after, Duration::zero());
      continue;
    }
    if (result.placement->tier == PriorityTier::kTimely) {
      ++timely;
      EXPECT_LE(result.placement->predicted_ms, 150);
    }
    placer_->OnDispatch(kStart, *result.placement, &query);
  }
  EXPECT_GT(timely, 5);
  EXPECT_GT(refused, 200);
}

TEST_F(PlacerTest, LateRequestsDoNotDelayTimelyOnes) {
  AddEngines(2, 0);
  const Prompt prompt = LongPrompt(1, 2);
  const PlacementQuery query = Query(prompt);
  std::vector<std::pair<Placement, DispatchId>> sent;
  for (int i = 0; i < 4; ++i) {
    const Placement placement = *placer_->PlacePrompt(kStart, query).placement;
    sent.emplace_back(placement,
                      placer_->OnDispatch(kStart, placement, &query));
  }
  const Prompt other = LongPrompt(3, 4);
  const auto late = placer_->PlacePrompt(kStart, Query(other, -50));
  EXPECT_FALSE(late.placement);
  // Late requests are placed once the engines are nearly idle.
  for (const auto& [placement, id] : sent) {
    placer_->OnEnd(kStart + milliseconds(100), placement, id);
  }
  const auto later =
      placer_->PlacePrompt(kStart + milliseconds(200), Query(other, -50));
  ASSERT_TRUE(later.placement);
  EXPECT_EQ(later.placement->tier, PriorityTier::kLate);
}

TEST_F(PlacerTest, StreamsArePackedAwayFromLongPrompts) {
  AddEngines(2, 4);
  Prompt chat;
  chat.parts = {{9, 80}, {10, 140}};
  chat.tokens = 220;
  std::set<UpstreamId> chat_engines;
  for (int i = 0; i < 8; ++i) {
    const PlacementQuery query = Query(chat, 120, 15000);
    const auto placed = placer_->PlacePrompt(kStart, query);
    ASSERT_TRUE(placed.placement);
    EXPECT_EQ(placed.placement->upstream.role, UpstreamRole::kDecode);
    chat_engines.insert(placed.placement->upstream.id);
    const DispatchId id =
        placer_->OnDispatch(kStart, *placed.placement, &query);
    placer_->OnPrefillComplete(kStart, *placed.placement, id, 3);
  }
  EXPECT_LE(chat_engines.size(), 2U);
  for (int i = 0; i < 20; ++i) {
    const Prompt prompt = LongPrompt(100 + i, 1000 + i);
    const PlacementQuery query = Query(prompt);
    const auto next = placer_->PlacePrompt(kStart, query);
    if (!next.placement || next.placement->tier != PriorityTier::kTimely) break;
    EXPECT_EQ(chat_engines.count(next.placement->upstream.id), 0U);
    placer_->OnDispatch(kStart, *next.placement, &query);
  }
}

// Streams arrive faster than they end: none may be queued for a slot of one
// engine while another engine has free slots.
TEST_F(PlacerTest, StreamsDoNotWaitForASlotWhileOtherEnginesHaveFreeOnes) {
  AddEngines(2, 6);
  std::map<UpstreamId, int> streams;
  for (int i = 0; i < 130; ++i) {
    Prompt prompt;
    prompt.parts = {{9, 80}, {2000 + static_cast<uint64_t>(i), 140}};
    prompt.tokens = 220;
    const PlacementQuery query = Query(prompt);
    const auto result = placer_->PlacePrompt(kStart, query);
    ASSERT_TRUE(result.placement);
    ++streams[result.placement->upstream.id];
    const DispatchId id =
        placer_->OnDispatch(kStart, *result.placement, &query);
    placer_->OnPrefillComplete(kStart, *result.placement, id, 1);
  }
  for (const auto& [engine, count] : streams) EXPECT_LE(count, 32);
}

// An upstream resets connections beyond its limit.  Each gateway keeps to its
// quota, so that all gateways together stay below the limit.
TEST_F(PlacerTest, GatewaysStayWithinTheConnectionLimitOfAnUpstream) {
  placer_->directory().Put(
      Record("s0", kPlainService, UpstreamRole::kPlain, 100));
  placer_->directory().Put(
      Record("s1", kPlainService, UpstreamRole::kPlain, 100));
  placer_->SetMaxConnections(kPlainService, 40);
  placer_->SetGateways(4);
  std::map<UpstreamId, int> sent;
  for (int i = 0; i < 30; ++i) {
    const auto result = placer_->PlacePlain(kStart, kPlainService, {}, {});
    if (!result.placement) break;
    ++sent[result.placement->upstream.id];
    placer_->OnDispatch(kStart, *result.placement, nullptr);
  }
  EXPECT_EQ(sent[UpstreamId("s0")], 9);
  EXPECT_EQ(sent[UpstreamId("s1")], 9);
}

TEST_F(PlacerTest, ResumedStreamTakesAnyEngine) {
  AddEngines(0, 1);
  const Prompt prompt = LongPrompt(1, 2);
  PlacementQuery query = Query(prompt, -5000, 100);
  for (int i = 0; i < 10; ++i) {
    placer_->load().OnDispatch(kStart, UpstreamId("d0"), PriorityTier::kTimely,
                               50, 50);
  }
  EXPECT_FALSE(placer_->PlacePrompt(kStart, query).placement);
  query.resumed = true;
  EXPECT_TRUE(placer_->PlacePrompt(kStart, query).placement);
}

TEST_F(PlacerTest, EngineOnHoldGetsNoNewRequests) {
  AddEngines(0, 1);
  const Prompt prompt = LongPrompt(1, 2);
  placer_->SetHeld(kStart, "peer", {UpstreamId("d0")});
  EXPECT_FALSE(placer_->PlacePrompt(kStart, Query(prompt)).placement);
  // The hold of a peer lapses when its heartbeats stop.
  EXPECT_TRUE(
      placer_->PlacePrompt(kStart + seconds(2), Query(prompt)).placement);
}

// An upstream that fails each request at once looks idle and would attract all
// requests.
TEST_F(PlacerTest, FailingUpstreamDoesNotAttractAllRequests) {
  for (const char* id : {"s0", "s1", "s2"}) {
    placer_->directory().Put(
        Record(id, kPlainService, UpstreamRole::kPlain, 6));
  }
  int failures = 0;
  Time now = kStart;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(10);
    const auto placed = placer_->PlacePlain(now, kPlainService, excluded_, {});
    ASSERT_TRUE(placed.placement);
    const Placement placement = *placed.placement;
    const DispatchId id = placer_->OnDispatch(now, placement, nullptr);
    if (placement.upstream.id == UpstreamId("s1")) {
      ++failures;
      placer_->OnFailure(now, placement.upstream);
    } else {
      placer_->OnSuccess(placement.upstream);
    }
    placer_->OnEnd(now, placement, id);
  }
  EXPECT_LT(failures, 50);
}

TEST_F(PlacerTest, UnreachableUpstreamIsEjectedAtOnce) {
  AddEngines(0, 2);
  const Prompt prompt = LongPrompt(1, 2);
  const auto first = placer_->PlacePrompt(kStart, Query(prompt));
  ASSERT_TRUE(first.placement);
  placer_->OnUnreachable(kStart, first.placement->upstream);
  const auto second = placer_->PlacePrompt(kStart, Query(prompt));
  ASSERT_TRUE(second.placement);
  EXPECT_NE(second.placement->upstream.id, first.placement->upstream.id);
  placer_->OnUnreachable(kStart, second.placement->upstream);
  EXPECT_FALSE(placer_->PlacePrompt(kStart, Query(prompt)).placement);
  EXPECT_TRUE(placer_->PlacePrompt(kStart + milliseconds(1100), Query(prompt))
                  .placement);
}

TEST_F(PlacerTest, ReplacedUpstreamGetsNoWorkUntilItsRecordIsRemoved) {
  AddEngines(0, 1);
  const Prompt prompt = LongPrompt(1, 2);
  placer_->OnReplaced(UpstreamId("d0"));
  EXPECT_FALSE(
      placer_->PlacePrompt(kStart + seconds(9), Query(prompt)).placement);
  placer_->directory().Remove(kStart, UpstreamId("d0"), {1, 20});
  placer_->Prune();
  AddEngines(0, 1);
  EXPECT_TRUE(placer_->PlacePrompt(kStart, Query(prompt)).placement);
}

// After engine failures, a computed prompt is used rather than discarded.
TEST_F(PlacerTest, ComputedPromptGoesToAnIneligibleEngineIfThereIsNoOther) {
  AddEngines(1, 1);
  const Prompt prompt = LongPrompt(1, 2);
  const UpstreamRecord source = *placer_->directory().Find(UpstreamId("p0"));
  placer_->OnUnreachable(kStart, *placer_->directory().Find(UpstreamId("d0")));
  EXPECT_TRUE(
      placer_->PlaceGeneration(kStart, Query(prompt), source).placement);
}

TEST_F(PlacerTest, FullPlainServiceRefuses) {
  placer_->directory().Put(
      Record("s0", kPlainService, UpstreamRole::kPlain, 2));
  int placed_count = 0;
  for (int i = 0; i < 100; ++i) {
    const auto placed =
        placer_->PlacePlain(kStart, kPlainService, excluded_, {});
    if (!placed.placement) {
      EXPECT_GT(placed.retry_after, Duration::zero());
      continue;
    }
    ++placed_count;
    placer_->OnDispatch(kStart, *placed.placement, nullptr);
  }
  EXPECT_EQ(placed_count, 6);
}

}  // namespace
}  // namespace corianderlink
