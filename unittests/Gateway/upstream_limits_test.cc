// Which of the rate limits that an upstream has named is in force.
#include "corianderlink/Gateway/upstream_limits.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

constexpr Time kStart = Time(seconds(1000));

UpstreamRecord MakeUpstream(int64_t started_ms = 7) {
  UpstreamRecord upstream;
  upstream.id = UpstreamId("u");
  upstream.started_ms = started_ms;
  return upstream;
}

/// A notice in a response whose request was sent at `sent_ms`.
RateLimitNotice Notice(std::optional<double> per_second, int sent_ms,
                       int received_ms, int64_t started_ms = 7) {
  return {UpstreamId("u"), started_ms, per_second,
          kStart + milliseconds(sent_ms), kStart + milliseconds(received_ms)};
}

TEST(UpstreamLimitsTest, LatestNoticeIsInForce) {
  UpstreamLimits limits;
  EXPECT_FALSE(limits.OnNotice(Notice(std::nullopt, 0, 5)));
  EXPECT_FALSE(limits.PerSecond(MakeUpstream()));
  EXPECT_TRUE(limits.OnNotice(Notice(5, 10, 20)));
  EXPECT_EQ(limits.PerSecond(MakeUpstream()), 5);
  EXPECT_FALSE(limits.OnNotice(Notice(5, 30, 40)));
  EXPECT_TRUE(limits.OnNotice(Notice(8, 50, 60)));
  EXPECT_EQ(limits.PerSecond(MakeUpstream()), 8);
  EXPECT_TRUE(limits.OnNotice(Notice(std::nullopt, 70, 80)));
  EXPECT_FALSE(limits.PerSecond(MakeUpstream()));
  EXPECT_EQ(limits.size(), 0U);
}

TEST(UpstreamLimitsTest, OvertakenResponseDoesNotRaiseOrEndALimit) {
  UpstreamLimits limits;
  limits.OnNotice(Notice(5, 10, 20));
  limits.OnNotice(Notice(9, 5, 30));
  limits.OnNotice(Notice(std::nullopt, 19, 31));
  EXPECT_EQ(limits.PerSecond(MakeUpstream()), 5);
  // A lower one counts, as it may be the later one.
  limits.OnNotice(Notice(3, 5, 32));
  EXPECT_EQ(limits.PerSecond(MakeUpstream()), 3);
}

TEST(UpstreamLimitsTest, OvertakenResponseDoesNotReviveALimit) {
  UpstreamLimits limits;
  limits.OnNotice(Notice(5, 10, 20));
  limits.OnNotice(Notice(std::nullopt, 30, 50));
  limits.OnNotice(Notice(5, 25, 60));
  EXPECT_FALSE(limits.PerSecond(MakeUpstream()));
  limits.OnNotice(Notice(4, 61, 70));
  EXPECT_EQ(limits.PerSecond(MakeUpstream()), 4);
}

TEST(UpstreamLimitsTest, LimitEndsWithTheIncarnation) {
  UpstreamLimits limits;
  limits.OnNotice(Notice(5, 10, 20));
  EXPECT_FALSE(limits.PerSecond(MakeUpstream(8)));
  // A response of the earlier incarnation arrives late.
  limits.OnNotice(Notice(6, 30, 40, 8));
  limits.OnNotice(Notice(2, 35, 45, 7));
  EXPECT_EQ(limits.PerSecond(MakeUpstream(8)), 6);
}

TEST(UpstreamLimitsTest, PeersTellWhatTheyHaveReceivedThemselves) {
  UpstreamLimits a;
  UpstreamLimits b;
  UpstreamLimits c;
  a.OnNotice(Notice(5, 10, 20));
  b.OnPeerNotices(a.OwnNotices(kStart + milliseconds(30)));
  EXPECT_EQ(b.PerSecond(MakeUpstream()), 5);
  EXPECT_TRUE(b.OwnNotices(kStart + milliseconds(30)).empty());
  // The end of a limit passes through any gateway that saw it.
  b.OnNotice(Notice(std::nullopt, 1000, 1010));
  c.OnPeerNotices(a.OwnNotices(kStart + milliseconds(1020)));
  c.OnPeerNotices(b.OwnNotices(kStart + milliseconds(1020)));
  EXPECT_FALSE(c.PerSecond(MakeUpstream()));
  // The older notice of the first one does not bring it back.
  c.OnPeerNotices(a.OwnNotices(kStart + milliseconds(1030)));
  EXPECT_FALSE(c.PerSecond(MakeUpstream()));
}

TEST(UpstreamLimitsTest, ReportsAreBounded) {
  UpstreamLimits limits;
  for (int i = 0; i < 1000; ++i) {
    RateLimitNotice notice = Notice(1, i, i + 1);
    notice.upstream = UpstreamId("u" + std::to_string(i));
    limits.OnNotice(notice);
  }
  const auto reports = limits.OwnNotices(kStart + seconds(2));
  ASSERT_EQ(reports.size(), 64U);
  EXPECT_EQ(reports.front().upstream, UpstreamId("u999"));
  EXPECT_TRUE(limits.OwnNotices(kStart + seconds(100)).empty());
}

}  // namespace
}  // namespace corianderlink
