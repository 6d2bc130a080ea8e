// Where streams may begin and go on, by what a gateway knows.
#include "corianderlink/Gateway/stream_versions.h"

#include <gtest/gtest.h>

#include "corianderlink/Gateway/prompt.h"

namespace corianderlink {
namespace {

const ServiceId kService("chat");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");
constexpr int64_t kUnixNowMs = 1'700'000'000'000;
// Stores may take no larger values.
constexpr size_t kMaxRecordBytes = 65536;

class StreamVersionsTest : public ::testing::Test {
 protected:
  void Register(const std::string& id, const SoftwareVersion& version) {
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.service = kService;
    record.version = version;
    record.started_ms = 1;
    record.sequence = ++sequence_;
    directory_.Put(record);
    versions_.Update(now_);
  }
  void Leave(const std::string& id) {
    directory_.Remove(now_, UpstreamId(id), {1, 1});
    versions_.Update(now_);
  }
  void Pass(Duration time) {
    now_ += time;
    versions_.Update(now_);
  }
  /// As above, while the store tells of the upstreams.
  void PassInTouch(Duration time) {
    for (const Time end = now_ + time; now_ < end;) {
      Pass(std::min<Duration>(seconds(1), end - now_));
      versions_.OnKnowledge(now_);
    }
  }
  /// The version at which a stream that no gateway knows goes on.
  std::optional<SoftwareVersion> Unknown(Duration knowledge_age = {}) {
    versions_.OnKnowledge(now_ - knowledge_age);
    return Find(versions_, 999);
  }
  void Begin(uint64_t key, const SoftwareVersion& version) {
    versions_.origins().Add({{key}, kService, version, now_});
  }
  std::optional<SoftwareVersion> Find(StreamVersions& versions, uint64_t key) {
    return versions.Resolve(now_, {key}, kService, Time::max()).version;
  }
  std::set<SoftwareVersion> Avoided(
      const std::vector<const StreamVersionReport*>& peers) {
    return versions_.ForNewStream(now_, kService, peers).avoided;
  }

  Time now_ = Time(seconds(1000));
  UpstreamDirectory directory_{seconds(2)};
  RandomSource random_{1};
  StreamVersions versions_{directory_, random_};
  uint64_t sequence_ = 0;
};

TEST_F(StreamVersionsTest, OddRecordsOfTheStoreNameNoVersions) {
  const std::string now = std::to_string(kUnixNowMs);
  const std::string huge(70'000, 'x');
  std::vector<StoreRecord> records;
  for (const std::string& value :
       {std::string("["), std::string(100'000, '['), std::string("{}"),
        R"([7,null,[],{},{"last_seen_ms":)" + now + "}]",
        R"([{"service":"chat","version":")" + huge + R"(","last_seen_ms":)" +
            now + "}]",
        R"([{"service":")" + huge + R"(","version":"v9","last_seen_ms":0}])",
        std::string(R"([{"service":"chat","version":"v3","last_seen_ms":-1},)"
                    R"({"service":"chat","version":"v4","last_seen_ms":1e300},)"
                    R"({"service":"chat","version":"v5",)"
                    R"("last_seen_ms":18446744073709551615},)"
                    R"({"service":"chat","version":"v6",)"
                    R"("last_seen_ms":-9223372036854775808},)"
                    R"({"service":"chat","version":"v7","last_seen_ms":"0"},)"
                    R"({"service":"chat","version":"v8","keys":{"a":1},)"
                    R"("written_ms":0},{"service":"chat","version":"v2",)"
                    R"("last_seen_ms":0}])")}) {
    records.push_back({"versions/" + std::to_string(records.size()), value, 1});
  }
  records.push_back({"versions/none", std::nullopt, 1});
  versions_.Restore(now_, records, kUnixNowMs, now_);
  const std::vector<VersionSighting> sightings =
      versions_.history().Sightings();
  ASSERT_EQ(sightings.size(), 1U);
  EXPECT_EQ(sightings[0].version, kNew);
}

TEST_F(StreamVersionsTest, UnknownStreamNeedsASingleVersionOfItsLifetime) {
  versions_.Restore(now_, {}, kUnixNowMs, now_);
  EXPECT_FALSE(Unknown());
  Register("a", kOld);
  EXPECT_EQ(Unknown(), kOld);
  Register("b", kNew);
  EXPECT_FALSE(Unknown());
  Leave("a");
  EXPECT_FALSE(Unknown());
  PassInTouch(versions_.history().stream_lifetime() - seconds(1));
  EXPECT_FALSE(Unknown());
  PassInTouch(seconds(2));
  EXPECT_EQ(Unknown(), kNew);
}

TEST_F(StreamVersionsTest, UnknownStreamWaitsForTheHistoryAfterAStart) {
  Register("b", kNew);
  EXPECT_FALSE(Unknown());
  versions_.OnReport(now_, {false, {}, {}, {}}, now_);
  EXPECT_FALSE(Unknown());
  versions_.OnReport(now_, {true, {}, {}, {}}, now_);
  EXPECT_EQ(Unknown(), kNew);
}

TEST_F(StreamVersionsTest, UnknownStreamWaitsUntilPeersKnowThisGateway) {
  versions_.Restore(now_, {}, kUnixNowMs, now_);
  Register("a", kOld);
  versions_.OnKnowledge(now_);
  const auto resume = [&](Time reported_until) {
    return versions_.Resolve(now_, {999}, kService, reported_until).version;
  };
  EXPECT_FALSE(resume(now_ - milliseconds(1)));
  EXPECT_EQ(resume(now_), kOld);
}

TEST_F(StreamVersionsTest, UnknownStreamIsNotResumedByOldKnowledge) {
  versions_.Restore(now_, {}, kUnixNowMs, now_);
  Register("a", kOld);
  EXPECT_FALSE(Unknown(StreamVersions::kMaxKnowledgeAge + seconds(1)));
  Begin(1, kOld);
  Pass(seconds(50));
  EXPECT_EQ(Find(versions_, 1), kOld);
}

TEST_F(StreamVersionsTest, ReportThatWaitedUnreadShowsNoFreshKnowledge) {
  versions_.Restore(now_, {}, kUnixNowMs, now_);
  Register("a", kOld);
  const StreamVersionReport report{true, {}, {}, milliseconds(100)};
  versions_.OnReport(now_, report, now_);
  EXPECT_EQ(Find(versions_, 999), kOld);
  const Time before_standstill = now_;
  Pass(StreamVersions::kMaxKnowledgeAge);
  versions_.OnReport(now_, report, before_standstill);
  EXPECT_FALSE(Find(versions_, 999));
  versions_.OnReport(now_, report, std::nullopt);
  EXPECT_FALSE(Find(versions_, 999));
  versions_.OnReport(now_, report, now_ - milliseconds(50));
  EXPECT_EQ(Find(versions_, 999), kOld);
}

TEST_F(StreamVersionsTest, VersionThatCameAndWentUnseenMayHaveBegunAStream) {
  versions_.Restore(now_, {}, kUnixNowMs, now_);
  Register("a", kOld);
  EXPECT_EQ(Unknown(), kOld);
  // Cut off from the store and all peers.
  Pass(seconds(20));
  EXPECT_FALSE(Unknown());
  PassInTouch(versions_.history().stream_lifetime() - seconds(1));
  EXPECT_FALSE(Unknown());
  PassInTouch(seconds(2));
  EXPECT_EQ(Unknown(), kOld);
}

TEST_F(StreamVersionsTest, PeerOrStoreTellsWhatCameAndWentUnseen) {
  const std::vector<VersionSighting> old_only = {{kService, kOld, now_}};
  versions_.Restore(now_, {}, kUnixNowMs, now_);
  Register("a", kOld);
  EXPECT_EQ(Unknown(), kOld);
  Pass(seconds(20));
  EXPECT_FALSE(Unknown());
  // From before the cut.
  versions_.OnReport(now_, {true, old_only, {}, seconds(1)}, now_ - seconds(9));
  EXPECT_FALSE(Unknown());
  versions_.OnReport(now_, {false, old_only, {}, seconds(1)}, now_);
  EXPECT_FALSE(Unknown());
  versions_.OnReport(now_, {true, old_only, {}, seconds(1)}, now_);
  EXPECT_EQ(Unknown(), kOld);
  Pass(seconds(20));
  EXPECT_FALSE(Unknown());
  versions_.Restore(now_, {}, kUnixNowMs, now_);
  EXPECT_EQ(Unknown(), kOld);
  Pass(seconds(20));
  versions_.OnReport(
      now_, {true, {{kService, kNew, now_ - seconds(9)}}, {}, {}}, now_);
  EXPECT_FALSE(Unknown());
}

TEST_F(StreamVersionsTest, NewVersionBeginsStreamsOnceAllPeersKnowIt) {
  Register("a", kOld);
  Pass(seconds(10));
  Register("b", kNew);
  const StreamVersionReport ignorant;
  const StreamVersionReport informed{true, {{kService, kNew, now_}}, {}};
  EXPECT_EQ(Avoided({&ignorant, &informed}).count(kNew), 1U);
  EXPECT_TRUE(Avoided({&informed}).empty());
  // A peer that says nothing of versions does not hold it up for long.
  Pass(seconds(6));
  EXPECT_TRUE(Avoided({&ignorant}).empty());
}

TEST_F(StreamVersionsTest, NewVersionWaitsForPeersThatMayPlaceByAnother) {
  Register("a", kOld);
  Pass(seconds(10));
  Register("b", kNew);
  const StreamVersionReport ignorant{true, {{kService, kOld, now_}}, {}, {}};
  const StreamVersionReport informed{
      true, {{kService, kOld, now_}, {kService, kNew, now_}}, {}, {}};
  const std::set<SoftwareVersion> only_new = {kNew};
  EXPECT_EQ(Avoided({&informed, &ignorant}), only_new);
  EXPECT_TRUE(Avoided({&informed}).empty());
  // That no other version serves is not known to that peer either.
  Leave("a");
  EXPECT_EQ(Avoided({&informed, &ignorant}), only_new);
  Pass(StreamVersions::kMaxKnowledgeAge + milliseconds(400));
  EXPECT_EQ(Avoided({&ignorant}), only_new);
  Pass(milliseconds(200));
  EXPECT_TRUE(Avoided({&ignorant}).empty());
}

TEST_F(StreamVersionsTest, GatewayThatHasStartedUsesVersionsThatPeersKnow) {
  // All versions are new to it.
  Register("a", kOld);
  Register("b", kNew);
  const StreamVersionReport informed{
      true, {{kService, kOld, now_}, {kService, kNew, now_}}, {}, {}};
  const StreamVersionReport older_build;
  EXPECT_TRUE(Avoided({&informed}).empty());
  EXPECT_TRUE(Avoided({&informed, &older_build}).empty());
}

TEST_F(StreamVersionsTest, NewVersionBeginsStreamsIfNoOtherServes) {
  Register("a", kOld);
  Pass(seconds(10));
  Register("b", kNew);
  Leave("a");
  const StreamVersionReport ignorant;
  EXPECT_TRUE(Avoided({&ignorant}).empty());
}

TEST_F(StreamVersionsTest, OriginsAreToldWhileSeveralVersionsServe) {
  Register("a", kOld);
  Begin(1, kOld);
  EXPECT_TRUE(versions_.NextReport(now_, {}).origins.empty());
  Register("b", kNew);
  Begin(2, kNew);
  EXPECT_EQ(versions_.NextReport(now_, {}).origins.size(), 2U);
  EXPECT_TRUE(versions_.NextReport(now_, {}).origins.empty());
}

TEST_F(StreamVersionsTest, OriginsAreToldWhileTheStoreIsAway) {
  Register("a", kOld);
  Begin(1, kOld);
  EXPECT_EQ(versions_.NextReport(now_, seconds(4)).origins.size(), 1U);
}

TEST_F(StreamVersionsTest, GatewayThatComesBackDoesNotReplaceWhatOthersKept) {
  Register("a", kOld);
  EXPECT_FALSE(versions_.NextRecord(now_, kUnixNowMs, 0));
  versions_.Restore(now_, {}, kUnixNowMs, now_);
  versions_.OnKnowledge(now_);
  EXPECT_TRUE(versions_.NextRecord(now_, kUnixNowMs, 0));
  versions_.OnRecordWritten(false);
  // Cut off from the store and all peers.
  Pass(seconds(20));
  EXPECT_FALSE(versions_.NextRecord(now_, kUnixNowMs, 0));
  versions_.OnKnowledge(now_);
  EXPECT_FALSE(versions_.NextRecord(now_, kUnixNowMs, 0));
  versions_.Restore(now_, {}, kUnixNowMs, now_);
  EXPECT_TRUE(versions_.NextRecord(now_, kUnixNowMs, 0));
}

TEST_F(StreamVersionsTest, StoreKeepsWhatAStartOfAllGatewaysNeeds) {
  versions_.Restore(now_, {}, kUnixNowMs, now_);
  versions_.OnKnowledge(now_);
  Register("a", kOld);
  Register("b", kNew);
  std::map<std::string, std::string> store;
  const auto write = [&](bool written) {
    while (const auto record = versions_.NextRecord(now_, kUnixNowMs, 0)) {
      if (written) store[record->key] = *record->value;
      versions_.OnRecordWritten(written);
      if (!written) return;
    }
  };
  for (uint64_t key = 1; key <= 500; ++key) {
    Begin(key, key % 2 == 0 ? kNew : kOld);
    // Some writes fail.
    if (key % 10 == 0) write(key % 30 != 0);
  }
  Leave("a");
  write(true);
  UpstreamDirectory empty(seconds(2));
  StreamVersions restarted(empty, random_);
  std::vector<StoreRecord> records = {{"origins/0/9", "garbage", 1},
                                      {"origins/1/9", R"([{"keys":7},3])", 1}};
  for (const auto& [key, value] : store) records.push_back({key, value, 1});
  restarted.Restore(now_, records, kUnixNowMs + 2000, now_);
  for (uint64_t key = 1; key <= 500; ++key) {
    EXPECT_EQ(Find(restarted, key), key % 2 == 0 ? kNew : kOld) << key;
  }
  restarted.OnKnowledge(now_);
  EXPECT_FALSE(Find(restarted, 999));
  StreamVersions later(empty, random_);
  later.Restore(now_, records, kUnixNowMs + 3'600'000, now_);
  EXPECT_EQ(later.origins().size(), 0U);
}

TEST_F(StreamVersionsTest, RecordsStayWritableAfterTheStoreWasAway) {
  Register("a", kOld);
  Register("b", kNew);
  // Digests have all their digits.
  constexpr uint64_t kFirstKey = 0xF000'0000'0000'0000;
  uint64_t streams = 0;
  for (int write = 0; write < 60; ++write) {
    for (int i = 0; i < 100; ++i) Begin(kFirstKey + ++streams, kOld);
    Pass(milliseconds(100));
    const auto record = versions_.NextRecord(now_, kUnixNowMs, 1);
    ASSERT_TRUE(record);
    EXPECT_LE(record->value->size(), kMaxRecordBytes);
    versions_.OnRecordWritten(false);
  }
  std::string stored;
  while (const auto record = versions_.NextRecord(now_, kUnixNowMs, 1)) {
    EXPECT_LE(record->value->size(), kMaxRecordBytes);
    versions_.OnRecordWritten(true);
    stored += *record->value;
  }
  // None is lost.
  for (uint64_t key = 1; key <= streams; ++key) {
    EXPECT_NE(stored.find(FormatPartId(kFirstKey + key)), std::string::npos);
  }
}

TEST_F(StreamVersionsTest, MemoryIsBounded) {
  Register("a", kOld);
  Register("b", kNew);
  for (uint64_t key = 0; key < 3 * StreamOrigins::kMaxOrigins; ++key) {
    Begin(key, kOld);
  }
  EXPECT_EQ(versions_.origins().size(), StreamOrigins::kMaxOrigins);
  EXPECT_FALSE(Find(versions_, 0));
  EXPECT_EQ(Find(versions_, 3 * StreamOrigins::kMaxOrigins - 1), kOld);
  Pass(2 * versions_.history().stream_lifetime());
  EXPECT_EQ(versions_.origins().size(), 0U);
}

}  // namespace
}  // namespace corianderlink
