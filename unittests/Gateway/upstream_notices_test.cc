// Upstreams that say they are leaving, or ask for a pause.
#include "corianderlink/Gateway/upstream_notices.h"

#include <gtest/gtest.h>

#include "corianderlink/Gateway/placer.h"

namespace corianderlink {
namespace {

constexpr Time kStart = Time(seconds(1000));
const ServiceId kService("shop");

UpstreamRecord Record(const std::string& id, int64_t started_ms = 100) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = kService;
  record.address = {"127.0.0.1", static_cast<uint16_t>(9000 + id.back())};
  record.slots = 4;
  record.started_ms = started_ms;
  return record;
}

TEST(UpstreamNoticesTest, OnlyALaterStartEndsLeaving) {
  UpstreamNotices notices;
  EXPECT_TRUE(notices.OnLeaving(UpstreamId("a"), 100));
  EXPECT_FALSE(notices.OnLeaving(UpstreamId("a"), 100));
  EXPECT_TRUE(notices.Blocks(kStart, Record("a", 100)));
  EXPECT_TRUE(notices.Blocks(kStart, Record("a", 50)));
  EXPECT_FALSE(notices.Blocks(kStart, Record("a", 101)));
  // A delayed notice of the earlier incarnation does not block the later one.
  notices.OnLeaving(UpstreamId("a"), 200);
  notices.OnLeaving(UpstreamId("a"), 100);
  EXPECT_TRUE(notices.Blocks(kStart, Record("a", 200)));
}

TEST(UpstreamNoticesTest, PauseEndsAndIsBounded) {
  UpstreamNotices notices;
  const UpstreamId id("a");
  notices.OnPauseRequested(kStart, id, seconds(2));
  // A shorter pause, or a negative one, does not end a longer one.
  notices.OnPauseRequested(kStart, id, milliseconds(100));
  notices.OnPauseRequested(kStart, id, seconds(-5));
  EXPECT_TRUE(notices.Blocks(kStart + milliseconds(1999), Record("a")));
  EXPECT_FALSE(notices.Blocks(kStart + seconds(2), Record("a")));
  const Time end = notices.OnPauseRequested(kStart, id, seconds(365 * 86400));
  EXPECT_LE(end - kStart, seconds(60));
}

class NoticePlacementTest : public ::testing::Test {
 protected:
  NoticePlacementTest() {
    for (const char* id : {"a", "b"}) placer_.directory().Put(Record(id));
  }

  std::string Place(Time now) {
    const PlacementResult result = placer_.PlacePlain(now, kService, {}, {});
    retry_after_ = result.retry_after;
    return result.placement ? result.placement->upstream.id.value() : "";
  }

  RandomSource random_{1};
  Placer placer_{PlacerLimits{}, OutlierEjectorLimits{}, seconds(1),
                 ZoneId("z"), random_};
  Duration retry_after_{};
};

TEST_F(NoticePlacementTest, LeavingUpstreamGetsNoRequestsUntilItStartsAgain) {
  placer_.notices().OnLeaving(UpstreamId("a"), 100);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Place(kStart), "b");
  // The store shows an older record of it, without the notice.
  placer_.directory().Put(Record("a"));
  EXPECT_EQ(Place(kStart + seconds(10)), "b");
  placer_.directory().Put(Record("a", 200));
  placer_.notices().OnLeaving(UpstreamId("b"), 100);
  EXPECT_EQ(Place(kStart), "a");
}

TEST_F(NoticePlacementTest, RefusesAtOnceIfAllUpstreamsArePaused) {
  placer_.notices().OnPauseRequested(kStart, UpstreamId("a"), seconds(3));
  EXPECT_EQ(Place(kStart), "b");
  placer_.notices().OnPauseRequested(kStart, UpstreamId("b"), seconds(5));
  EXPECT_EQ(Place(kStart + seconds(1)), "");
  EXPECT_EQ(retry_after_, Duration(seconds(2)));
  EXPECT_EQ(Place(kStart + seconds(3)), "a");
}

}  // namespace
}  // namespace corianderlink
