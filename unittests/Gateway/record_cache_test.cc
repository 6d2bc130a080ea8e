// Records of upstreams that a peer tells of, after the store was restored.
#include "corianderlink/Gateway/record_cache.h"

#include <gtest/gtest.h>

#include "platform/codecs.h"

namespace corianderlink {
namespace {

constexpr Time kStart = Time(seconds(1000));

StoreRecord Upstream(const std::string& key, int sequence) {
  return {key,
          R"({"service":"s","addr":"127.0.0.1:80","zone":"z","slots":1,)"
          R"("state":"ready","born":7,"seq":)" +
              std::to_string(sequence) + "}",
          1};
}

TEST(RecordCacheTest, PeerThatTellsOfARestoreBringsNoGoneUpstreamBack) {
  const GatewayCodecs codecs = platform::MakeCodecs();
  UpstreamDirectory directory(seconds(2));
  Metrics metrics;
  RecordCache cache(codecs.records, directory, metrics);
  cache.ReplaceUpstreams(kStart, {Upstream("a", 5), Upstream("b", 5)}, {1, 50});
  cache.ApplyUpstreamChanges(kStart, {{"a", std::nullopt, 51}}, {1, 51});
  PeerRecords restored;
  restored.upstreams = {Upstream("a", 5)};
  restored.upstreams_position = {2, 40};
  cache.ApplyPeerRecords(kStart, restored);
  EXPECT_EQ(directory.Find(UpstreamId("a")), nullptr);
  // What the copy lacks may still be alive.
  EXPECT_NE(directory.Find(UpstreamId("b")), nullptr);
  // A peer that is still in the older era does not overrule.
  PeerRecords older;
  older.upstreams = {Upstream("c", 1)};
  older.upstreams_position = {1, 900};
  cache.ApplyPeerRecords(kStart, older);
  EXPECT_EQ(directory.Find(UpstreamId("c")), nullptr);
}

TEST(RecordCacheTest, PeersGetTheRecordsInForceAndNoRowsOfGoneUpstreams) {
  const GatewayCodecs codecs = platform::MakeCodecs();
  UpstreamDirectory directory(seconds(2));
  Metrics metrics;
  RecordCache cache(codecs.records, directory, metrics);
  cache.ReplaceUpstreams(kStart, {Upstream("a", 5), Upstream("b", 9)}, {1, 50});
  cache.ApplyUpstreamChanges(kStart, {{"a", std::nullopt, 51}}, {1, 51});
  // The restored store has older rows of both.
  cache.ReplaceUpstreams(kStart, {Upstream("a", 5), Upstream("b", 4)}, {2, 40});
  const PeerRecords records = cache.RecordsForPeer(true);
  ASSERT_EQ(records.upstreams.size(), 1U);
  EXPECT_EQ(records.upstreams[0].value, Upstream("b", 9).value);
  EXPECT_EQ(records.upstreams[0].era, 1U);
  ASSERT_EQ(records.departures.size(), 1U);
  EXPECT_EQ(records.departures[0].id, UpstreamId("a"));
}

TEST(RecordCacheTest, OddRecordOfAPeerHidesNoOthers) {
  const GatewayCodecs codecs = platform::MakeCodecs();
  UpstreamDirectory directory(seconds(2));
  Metrics metrics;
  RecordCache cache(codecs.records, directory, metrics);
  PeerRecords records;
  for (const std::string& value :
       {std::string(), std::string(100'000, '['), std::string("\xff"),
        std::string(R"({"service":"s","addr":"127.0.0.1:0","zone":"z",)"
                    R"("slots":1,"state":"ready"})")}) {
    records.config = StoreRecord{"config", value, 1};
    records.upstreams.push_back(
        {"odd" + std::to_string(records.upstreams.size()), value, 1});
  }
  records.upstreams.push_back({"none", std::nullopt, 1});
  records.upstreams.push_back(Upstream("a", 5));
  records.upstreams_position = {1, 50};
  cache.ApplyPeerRecords(kStart, records);
  // A list that is not newer is merged.
  cache.ApplyPeerRecords(kStart, records);
  EXPECT_EQ(directory.records().size(), 1U);
  EXPECT_NE(directory.Find(UpstreamId("a")), nullptr);
  EXPECT_EQ(cache.RecordsForPeer(true).upstreams.size(), 1U);
}

TEST(RecordCacheTest, OddRecordHidesNoLaterOneOfItsUpstream) {
  const GatewayCodecs codecs = platform::MakeCodecs();
  UpstreamDirectory directory(seconds(2));
  Metrics metrics;
  RecordCache cache(codecs.records, directory, metrics);
  cache.ReplaceUpstreams(kStart, {Upstream("a", 5)}, {1, 50});
  const uint64_t digest = directory.Digest();
  for (const char* sequence : {"1e300", "-1", "18446744073709551615"}) {
    StoreRecord odd = Upstream("a", 6);
    odd.value->replace(odd.value->find(":6}") + 1, 1, sequence);
    cache.ApplyUpstreamChanges(kStart, {odd}, {1, 51});
    EXPECT_EQ(directory.Find(UpstreamId("a"))->sequence, 5U) << sequence;
  }
  // Rows without a key are read twice, as after a lost history.
  cache.ApplyUpstreamChanges(kStart, {Upstream("", 1)}, {1, 52});
  cache.ApplyUpstreamChanges(kStart, {Upstream("", 2)}, {1, 53});
  cache.ApplyUpstreamChanges(kStart, {{"", std::nullopt, 54}}, {1, 54});
  EXPECT_EQ(directory.Digest(), digest);
  StoreRecord draining = Upstream("a", 7);
  draining.value->replace(draining.value->find("ready"), 5, "draining");
  cache.ApplyUpstreamChanges(kStart, {draining}, {1, 55});
  EXPECT_TRUE(directory.Find(UpstreamId("a"))->draining);
}

}  // namespace
}  // namespace corianderlink
