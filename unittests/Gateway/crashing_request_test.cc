// A request under which each upstream ends that begins to run it, and that
// comes again and again.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "Gateway/gateway_fleet.h"

namespace corianderlink {
namespace {

using Exchange = FakeUpstream::Exchange;
using Results = std::vector<std::shared_ptr<ClientResult>>;

constexpr char kConfig[] =
    R"({"version":4,"routes":[{"name":"s","host":"h.example","prefix":"/safe/",)"
    R"("kind":"safe","timeout_ms":2500,"slo_ms":150,"priority":1,)"
    R"("service":"shop","attempts":2},)"
    R"({"name":"u","host":"h.example","prefix":"/unsafe/",)"
    R"("kind":"unsafe","timeout_ms":2500,"slo_ms":150,"priority":1,)"
    R"("service":"shop","attempts":1}],)"
    R"("services":[{"name":"shop","max_conns":200,)"
    R"("health_path":"/healthz"}]})";
constexpr char kBadSafe[] = "/safe/bad";
constexpr char kBadUnsafe[] = "/unsafe/bad";
constexpr char kBadBody[] = "bad body";
// Time from an upstream's end until it is back under a new id.
constexpr Duration kRestart = milliseconds(1500);
// Time after the third crash from when the request must be stopped.
constexpr Duration kContact = seconds(3);

class CrashingRequestTest : public ::testing::Test {
 protected:
  void Start(size_t gateways, size_t upstreams) {
    for (size_t i = 0; i < upstreams; ++i) StartUpstream();
    fleet_.Start(gateways);
    fronts_ = fleet_.fronts();
  }
  void StartUpstream() {
    const std::string id = "u" + std::to_string(++started_);
    upstreams_[id] = fleet_.AddUpstream(id, R"("service":"shop","slots":6)");
    upstreams_[id]->on_request = [this, id](const Exchange& exchange) {
      OnUpstreamRequest(id, exchange);
    };
  }

  static bool IsBad(const Exchange& exchange) {
    return exchange->head().target.starts_with(kBadSafe) ||
           (exchange->head().target == kBadUnsafe &&
            exchange->body() == kBadBody);
  }
  void OnUpstreamRequest(const std::string& id, const Exchange& exchange) {
    const bool bad = IsBad(exchange);
    if (bad) bad_arrivals_.push_back(BootClock::now());
    timers_.push_back(
        harness_.loop.After(milliseconds(20), [this, id, exchange, bad] {
          if (bad) {
            Crash(id);
          } else {
            exchange->SendResponse(200, FakeUpstream::Signed(exchange), "ok");
          }
        }));
  }
  /// The process ends: its port is closed with all connections.
  void Crash(const std::string& id) {
    if (upstreams_.erase(id) == 0) return;
    crashes_.push_back(BootClock::now());
    timers_.push_back(harness_.loop.After(kRestart, [this, id] {
      fleet_.RemoveUpstream(id);
      StartUpstream();
    }));
  }

  std::shared_ptr<ClientResult> Send(const std::string& method,
                                     const std::string& target,
                                     const std::string& body) {
    harness_.front = fronts_[static_cast<size_t>(++requests_) % fronts_.size()];
    return harness_.Send(method, target, {}, body,
                         "r" + std::to_string(requests_));
  }
  std::shared_ptr<ClientResult> SendBadSafe() {
    return Send("GET", kBadSafe, "");
  }
  std::shared_ptr<ClientResult> SendBadUnsafe() {
    return Send("POST", kBadUnsafe, kBadBody);
  }
  /// Four bad requests a second among sixty sound ones.
  void Play(Duration time, bool unsafe) {
    const auto steps = static_cast<int>(time / milliseconds(50));
    for (int i = 0; i < steps; ++i) {
      if (i % 5 == 0) bad_.push_back(unsafe ? SendBadUnsafe() : SendBadSafe());
      for (int j = 0; j < 3; ++j) {
        const std::string item = std::to_string(requests_);
        sound_.push_back(j == 0 ? Send("POST", kBadUnsafe, "sound body " + item)
                                : Send("GET", "/safe/" + item, ""));
      }
      harness_.RunFor(milliseconds(50));
    }
    harness_.RunFor(milliseconds(500));
  }
  /// Bad requests that reached upstreams later than `kContact` after the third
  /// crash.
  std::ptrdiff_t LateArrivals() const {
    if (crashes_.size() < 3) return 0;
    return std::count_if(
        bad_arrivals_.begin(), bad_arrivals_.end(),
        [this](Time at) { return at > crashes_[2] + kContact; });
  }
  static double ServedShare(const Results& results, size_t first = 0) {
    const auto served = std::count_if(
        results.begin() + static_cast<std::ptrdiff_t>(first), results.end(),
        [](const auto& result) { return result->status == 200; });
    return static_cast<double>(served) /
           static_cast<double>(results.size() - first);
  }

  GatewayTestHarness harness_;
  std::map<std::string, std::unique_ptr<FakeUpstream>> upstreams_;
  int started_ = 0;
  GatewayFleet fleet_{harness_, kConfig};
  // Clients use these in turn.
  std::vector<Address> fronts_;
  std::vector<EventHandle> timers_;
  Results bad_;
  Results sound_;
  std::vector<Time> bad_arrivals_;
  std::vector<Time> crashes_;
  int requests_ = 0;
};

TEST_F(CrashingRequestTest, OneGatewayStopsASafeRequestThatCrashesUpstreams) {
  Start(1, 8);
  Play(seconds(8), false);
  EXPECT_LE(LateArrivals(), 3);
  EXPECT_LE(crashes_.size(), 4U);
  EXPECT_EQ(bad_.back()->status, 503);
  EXPECT_NE(bad_.back()->Field("Retry-After"), "");
  EXPECT_GE(ServedShare(sound_), 0.95);
}

TEST_F(CrashingRequestTest, GatewaysStopARequestThatNoneOfThemSawOften) {
  Start(5, 8);
  Play(seconds(8), false);
  EXPECT_LE(LateArrivals(), 3);
  EXPECT_LE(crashes_.size(), 4U);
  EXPECT_EQ(bad_.back()->status, 503);
  EXPECT_GE(ServedShare(sound_), 0.95);
}

TEST_F(CrashingRequestTest, UnsafeRequestThatCrashesUpstreamsIsStopped) {
  Start(3, 8);
  Play(seconds(8), true);
  EXPECT_LE(LateArrivals(), 3);
  EXPECT_LE(crashes_.size(), 5U);
  EXPECT_EQ(bad_.back()->status, 503);
  EXPECT_GE(ServedShare(sound_), 0.95);
}

TEST_F(CrashingRequestTest, SmallServiceKeepsAnUpstream) {
  Start(3, 3);
  Play(seconds(8), false);
  EXPECT_LE(LateArrivals(), 3);
  EXPECT_LE(crashes_.size(), 4U);
  // Two seconds in which upstreams end and start are left out.
  EXPECT_GE(ServedShare(sound_, 120), 0.95);
}

TEST_F(CrashingRequestTest, OneRequestIsTriedAfterAQuarantine) {
  Start(5, 8);
  for (int i = 0; i < 4; ++i) {
    SendBadSafe();
    harness_.RunFor(milliseconds(250));
  }
  harness_.RunFor(seconds(13));
  const size_t before = bad_arrivals_.size();
  for (int i = 0; i < 300; ++i) {
    for (size_t j = 0; j < 2 * fronts_.size(); ++j) {
      bad_.push_back(SendBadSafe());
    }
    harness_.RunFor(milliseconds(20));
  }
  EXPECT_EQ(bad_arrivals_.size(), before + 1);
  EXPECT_EQ(bad_.back()->status, 503);
}

TEST_F(CrashingRequestTest, GatewayThatStartsLaterKnowsTheBadRequest) {
  Start(2, 8);
  Play(seconds(3), false);
  const size_t before = bad_arrivals_.size();
  ASSERT_TRUE(fleet_.AddLater("late"));
  fronts_ = {fleet_.fronts().back()};
  for (int i = 0; i < 4; ++i) {
    const auto result = SendBadSafe();
    harness_.Await(result);
    EXPECT_EQ(result->status, 503);
  }
  EXPECT_EQ(bad_arrivals_.size(), before);
}

TEST_F(CrashingRequestTest, SoundRequestSurvivesTheEndOfTwoUpstreams) {
  Start(1, 8);
  // Upstreams end for a reason of their own, while one request keeps coming.
  for (int i = 0; i < 60; ++i) {
    if (i == 5 || i == 12) {
      const std::string id = upstreams_.begin()->first;
      timers_.push_back(
          harness_.loop.After(milliseconds(10), [this, id] { Crash(id); }));
    }
    for (int j = 0; j < 8; ++j) sound_.push_back(Send("GET", "/safe/same", ""));
    harness_.RunFor(milliseconds(50));
  }
  harness_.RunFor(milliseconds(500));
  EXPECT_GE(ServedShare(sound_), 0.98);
}

TEST_F(CrashingRequestTest, RequestOfManyClientsSurvivesASeriesOfBadOnes) {
  Start(3, 3);
  // Each bad request is another one; the sound one is in progress at most
  // crashes.
  for (int i = 0; i < 200; ++i) {
    if (i < 60 && i % 8 == 0) {
      bad_.push_back(
          Send("GET", std::string(kBadSafe) + std::to_string(i), ""));
    }
    for (int j = 0; j < 4; ++j) sound_.push_back(Send("GET", "/safe/same", ""));
    harness_.RunFor(milliseconds(50));
  }
  harness_.RunFor(milliseconds(500));
  // The last crash is long over.
  EXPECT_GE(ServedShare(sound_, 520), 0.98);
}

}  // namespace
}  // namespace corianderlink
