// Resumed streams while upstreams of several software versions serve.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <sstream>

#include "Gateway/gateway_fleet.h"
#include "corianderlink/Wire/peer_bus.h"
#include "peer.pb.h"

namespace corianderlink {
namespace {

using Exchange = FakeUpstream::Exchange;

constexpr char kConfig[] =
    R"({"version":4,"routes":[{"name":"r","host":"h.example","prefix":"/c/",)"
    R"("kind":"stream","timeout_ms":5000,"slo_ms":200,"priority":1,)"
    R"("service":"chat","attempts":3,"resumable":true,"gap_aim_ms":50}],)"
    R"("services":[{"name":"chat","max_conns":50}]})";
constexpr int kStreams = 12;
constexpr int kEvents = 6;
// A stream breaks off after so many events.
constexpr int kEventsBeforeBreak = 3;

/// How an upstream answers.
enum class Behavior { kServe, kBreakOff, kStopInMidStream, kFail };

class StreamVersionTest : public ::testing::Test {
 protected:
  void AddUpstream(const std::string& id, const std::string& version) {
    auto upstream = fleet_.AddUpstream(
        id, R"("service":"chat","slots":8,"version":")" + version + "\"");
    upstream->on_request = [this, version](const Exchange& exchange) {
      OnUpstreamRequest(version, exchange);
    };
    upstreams_[id] = std::move(upstream);
  }
  void RemoveUpstream(const std::string& id) {
    fleet_.RemoveUpstream(id);
    upstreams_.erase(id);
  }

  /// Each event names the version that wrote it.
  void OnUpstreamRequest(const std::string& version, const Exchange& exchange) {
    if (behavior_ == Behavior::kFail) {
      exchange->SendResponse(500, FakeUpstream::Signed(exchange), "a failure");
      return;
    }
    const std::string after = FakeUpstream::Field(exchange, "Last-Event-Id");
    const int first = after.empty() ? 1 : std::stoi(after) + 1;
    const bool whole = behavior_ == Behavior::kServe;
    const int last = whole ? kEvents : kEventsBeforeBreak;
    exchange->StartResponse(200, FakeUpstream::Signed(exchange), std::nullopt);
    for (int i = first; i <= last; ++i) {
      exchange->SendBody("id: " + std::to_string(i) + "\ndata: " + version +
                         "\n\n");
    }
    if (whole) exchange->CompleteResponse();
    if (behavior_ == Behavior::kBreakOff) {
      behavior_ = after_break_;
      pending_.push_back(harness_.loop.After(
          milliseconds(20), [exchange] { exchange->Abort(); }));
    }
  }

  std::shared_ptr<ClientResult> Send(size_t gateway, const std::string& id,
                                     HeaderFields fields = {}) {
    harness_.front = fleet_.fronts()[gateway];
    return harness_.Send("POST", "/c/1", std::move(fields), "b", id);
  }
  /// Begins streams at gateway 0, all at once, so that they spread over the
  /// upstreams, and leaves them after their first events.
  std::map<std::string, std::shared_ptr<ClientResult>> BeginAndLeave(
      const std::set<std::string>& ids) {
    behavior_ = Behavior::kStopInMidStream;
    std::map<std::string, std::shared_ptr<ClientResult>> results;
    std::vector<std::shared_ptr<UpstreamCall>> calls;
    for (const std::string& id : ids) {
      results[id] = Send(0, id);
      calls.push_back(harness_.call);
    }
    harness_.RunFor(milliseconds(100));
    for (const auto& call : calls) call->Cancel();
    harness_.RunFor(milliseconds(300));
    behavior_ = Behavior::kServe;
    return results;
  }
  /// Begins to resume the stream that the attempt `id` began.
  std::shared_ptr<ClientResult> SendRest(size_t gateway,
                                         const std::string& id) {
    return Send(gateway, id + "-again",
                {{"Resumes", id},
                 {"Last-Event-Id", std::to_string(kEventsBeforeBreak)}});
  }
  /// Resumes the stream and returns the status of the response.
  int Resume(size_t gateway, const std::string& id) {
    const auto result = SendRest(gateway, id);
    harness_.Await(result);
    return result->status;
  }
  /// Versions that wrote the events in these bodies.
  static std::set<std::string> Versions(const std::string& body) {
    std::set<std::string> versions;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("data: ", 0) == 0) versions.insert(line.substr(6));
    }
    return versions;
  }

  /// Begins streams, restarts all gateways or not, resumes the streams at the
  /// given gateway, and returns how many went on.  None may do so at another
  /// version than its own.
  int CountResumed(size_t gateway, bool restart_all) {
    std::set<std::string> ids;
    for (int i = 0; i < kStreams; ++i) ids.insert("s" + std::to_string(i));
    const auto begun = BeginAndLeave(ids);
    if (restart_all) fleet_.RestartAll();
    std::map<std::string, std::shared_ptr<ClientResult>> rests;
    // In the other order, so that they would go to other upstreams.
    for (auto id = ids.rbegin(); id != ids.rend(); ++id) {
      rests[*id] = SendRest(gateway, *id);
    }
    std::set<std::string> versions;
    int resumed = 0;
    for (const auto& [id, rest] : rests) {
      harness_.Await(rest);
      const std::string& body = begun.at(id)->body;
      versions.merge(Versions(body));
      if (rest->status != 200) continue;
      ++resumed;
      EXPECT_EQ(Versions(body + rest->body).size(), 1U) << id;
    }
    EXPECT_EQ(versions.size(), 2U);
    return resumed;
  }

  /// A version joins while a gateway stands still; `wait` later streams begin
  /// elsewhere, and are resumed at that gateway as it goes on.
  void ExpectNoneJoinedAtAGatewayThatStoodStill(
      Duration wait, const std::set<std::string>& begun_versions) {
    constexpr size_t kStill = 3;
    for (const char* id : {"a1", "a2"}) AddUpstream(id, "v1");
    fleet_.PrepareStandstill(kStill);
    fleet_.Start(kStill + 1);
    EXPECT_EQ(Resume(kStill, "unknown"), 200);
    fleet_.BeginStandstill(kStill);
    // Until the version joins, peers send more than is read at once later.
    harness_.RunFor(seconds(5));
    for (const char* id : {"b1", "b2", "b3", "b4"}) AddUpstream(id, "v2");
    harness_.RunFor(wait);
    const std::vector<std::string> ids = {"s1", "s2", "s3", "s4", "s5", "s6"};
    const auto begun = BeginAndLeave({ids.begin(), ids.end()});
    std::set<std::string> versions;
    std::map<std::string, std::shared_ptr<ClientResult>> rests;
    // Those of the new version first, as the first connection is kept.
    for (const bool is_new : {true, false}) {
      for (const auto& [id, result] : begun) {
        const bool began_at_new = Versions(result->body).count("v2") > 0;
        if (began_at_new == is_new) rests[id] = SendRest(kStill, id);
        versions.merge(Versions(result->body));
      }
    }
    EXPECT_EQ(versions, begun_versions);
    harness_.RunFor(milliseconds(50));
    fleet_.EndStandstill(kStill);
    for (const auto& [id, rest] : rests) {
      harness_.Await(rest);
      const std::string& body = begun.at(id)->body;
      ASSERT_EQ(Versions(body).size(), 1U);
      if (rest->status != 200) continue;
      EXPECT_EQ(Versions(body + rest->body).size(), 1U)
          << id << " began at " << *Versions(body).begin();
    }
  }

  GatewayTestHarness harness_;
  std::map<std::string, std::unique_ptr<FakeUpstream>> upstreams_;
  GatewayFleet fleet_{harness_, kConfig};
  Behavior behavior_ = Behavior::kServe;
  Behavior after_break_ = Behavior::kServe;
  std::vector<EventHandle> pending_;
};

TEST_F(StreamVersionTest, StreamThatBreaksOffGoesOnAtItsVersion) {
  for (const char* id : {"a1", "a2", "a3"}) AddUpstream(id, "v1");
  for (const char* id : {"b1", "b2", "b3"}) AddUpstream(id, "v2");
  fleet_.Start(1);
  for (int i = 0; i < 12; ++i) {
    behavior_ = Behavior::kBreakOff;
    const auto result = Send(0, "r" + std::to_string(i));
    harness_.Await(result);
    EXPECT_TRUE(result->complete);
    EXPECT_EQ(Versions(result->body).size(), 1U) << result->body;
  }
}

TEST_F(StreamVersionTest, ResumptionAtAnotherGatewayStaysAtTheVersion) {
  for (const char* id : {"a1", "a2"}) AddUpstream(id, "v1");
  for (const char* id : {"b1", "b2"}) AddUpstream(id, "v2");
  fleet_.Start(3);
  EXPECT_EQ(CountResumed(1, false), kStreams);
}

TEST_F(StreamVersionTest, ResumptionAfterTheEndOfAllGatewaysStaysAtTheVersion) {
  for (const char* id : {"a1", "a2"}) AddUpstream(id, "v1");
  for (const char* id : {"b1", "b2"}) AddUpstream(id, "v2");
  fleet_.Start(3);
  EXPECT_EQ(CountResumed(1, true), kStreams);
}

TEST_F(StreamVersionTest, StreamOfAVersionThatHasLeftDoesNotGoOnAtAnother) {
  for (const char* id : {"a1", "a2"}) AddUpstream(id, "v1");
  fleet_.Start(3);
  BeginAndLeave({"s1", "s2"});
  AddUpstream("b1", "v2");
  harness_.RunFor(milliseconds(300));
  RemoveUpstream("a1");
  RemoveUpstream("a2");
  harness_.RunFor(milliseconds(300));
  EXPECT_EQ(Resume(1, "s1"), 503);
  EXPECT_EQ(Resume(1, "unknown"), 503);
  fleet_.RestartAll();
  EXPECT_EQ(Resume(1, "s2"), 503);
  EXPECT_EQ(Resume(2, "unknown"), 503);
  // New streams begin all the while.
  const auto fresh = Send(2, "new");
  harness_.Await(fresh);
  EXPECT_EQ(fresh->status, 200);
}

TEST_F(StreamVersionTest, SilenceOfAPeerIsNotTakenForConsentToANewVersion) {
  ExpectNoneJoinedAtAGatewayThatStoodStill(milliseconds(200), {"v1"});
}

TEST_F(StreamVersionTest, GatewayThatStoodStillDoesNotPlaceByOldKnowledge) {
  ExpectNoneJoinedAtAGatewayThatStoodStill(seconds(6), {"v1", "v2"});
}

TEST_F(StreamVersionTest, GatewayThatStartedAgainDoesNotHoldUpANewVersion) {
  AddUpstream("a1", "v1");
  fleet_.Start(2);
  fleet_.Restart(1);
  harness_.RunFor(GatewayPeers::kPeerTimeout + milliseconds(200));
  for (const char* id : {"b1", "b2", "b3"}) AddUpstream(id, "v2");
  harness_.RunFor(milliseconds(200));
  std::set<std::string> versions;
  for (const auto& [id, result] : BeginAndLeave({"s1", "s2", "s3", "s4"})) {
    versions.merge(Versions(result->body));
  }
  EXPECT_EQ(versions.count("v2"), 1U);
}

TEST_F(StreamVersionTest, UnknownStreamGoesOnWhileOneVersionServes) {
  for (const char* id : {"a1", "a2"}) AddUpstream(id, "v1");
  fleet_.Start(2);
  EXPECT_EQ(Resume(0, "unknown"), 200);
  fleet_.RestartAll();
  EXPECT_EQ(Resume(1, "unknown"), 200);
}

TEST_F(StreamVersionTest, UnknownStreamGoesOnAtALoneGateway) {
  AddUpstream("a1", "v1");
  fleet_.Start(1);
  EXPECT_EQ(Resume(0, "unknown"), 200);
  fleet_.RestartAll();
  EXPECT_EQ(Resume(0, "unknown"), 200);
}

TEST_F(StreamVersionTest, UnknownStreamGoesOnWherePeersTellOfTheStore) {
  AddUpstream("a1", "v1");
  fleet_.Start(2);
  fleet_.CutFromStore(1);
  harness_.RunFor(StreamVersions::kMaxKnowledgeAge + milliseconds(500));
  EXPECT_EQ(Resume(1, "unknown"), 200);
}

TEST_F(StreamVersionTest, UnknownStreamGoesOnWhereAnOlderPeerTellsOfTheStore) {
  AddUpstream("a1", "v1");
  fleet_.Start(1);
  fleet_.CutFromStore(0);
  PeerBus older(harness_.loop, harness_.store.ToString(), ProcessId("old.1"),
                std::nullopt);
  wire::Envelope message;
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_kind("gateway");
  heartbeat.set_peer_address(FreeAddress().ToString());
  heartbeat.set_ready(true);
  heartbeat.set_store_age_ms(100);
  heartbeat.mutable_stream_versions()->set_is_complete(true);
  const EventHandle timer = harness_.loop.Every(
      milliseconds(25), [&] { older.Send(fleet_.settings(0).peer, message); });
  harness_.RunFor(StreamVersions::kMaxKnowledgeAge + milliseconds(500));
  EXPECT_EQ(Resume(0, "unknown"), 200);
}

TEST_F(StreamVersionTest, UnknownStreamGoesOnSoonAfterAStandstill) {
  AddUpstream("a1", "v1");
  fleet_.PrepareStandstill(1);
  fleet_.Start(2);
  fleet_.BeginStandstill(1);
  harness_.RunFor(StreamVersions::kMaxKnowledgeAge + seconds(1));
  fleet_.EndStandstill(1);
  harness_.RunFor(milliseconds(300));
  EXPECT_EQ(Resume(1, "unknown"), 200);
}

TEST_F(StreamVersionTest, UnknownStreamGoesOnSoonAfterALoneGatewayStoodStill) {
  AddUpstream("a1", "v1");
  fleet_.PrepareStandstill(0);
  fleet_.Start(1);
  fleet_.BeginStandstill(0);
  harness_.RunFor(StreamVersions::kMaxKnowledgeAge + seconds(1));
  fleet_.EndStandstill(0);
  harness_.RunFor(milliseconds(300));
  EXPECT_EQ(Resume(0, "unknown"), 200);
}

TEST_F(StreamVersionTest, UnknownStreamGoesOnSoonAfterTheStoreWasAway) {
  AddUpstream("a1", "v1");
  fleet_.Start(3);
  for (const size_t gateway : {0, 1, 2}) fleet_.CutFromStore(gateway);
  harness_.RunFor(StreamVersions::kMaxKnowledgeAge + seconds(1));
  for (const size_t gateway : {0, 1, 2}) {
    EXPECT_EQ(Resume(gateway, "unknown"), 503);
  }
  fleet_.EndCutsFromStore();
  harness_.RunFor(milliseconds(300));
  for (const size_t gateway : {0, 1, 2}) {
    EXPECT_EQ(Resume(gateway, "unknown"), 200);
  }
}

TEST_F(StreamVersionTest, FailureOfTheNextUpstreamDoesNotEndTheStreamAsWhole) {
  for (const char* id : {"a1", "a2", "a3"}) AddUpstream(id, "v1");
  fleet_.Start(1);
  behavior_ = Behavior::kBreakOff;
  after_break_ = Behavior::kFail;
  const auto result = Send(0, "r1");
  harness_.Await(result);
  EXPECT_FALSE(result->complete);
  EXPECT_EQ(result->body.find("failure"), std::string::npos);
}

}  // namespace
}  // namespace corianderlink
