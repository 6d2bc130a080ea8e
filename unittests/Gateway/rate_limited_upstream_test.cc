// Upstreams that name a rate limit, before real gateways on loopback sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "Gateway/gateway_fleet.h"

namespace corianderlink {
namespace {

using Exchange = FakeUpstream::Exchange;

constexpr char kConfig[] =
    R"({"version":4,"routes":[{"name":"r","host":"h.example","prefix":"/p/",)"
    R"("kind":"safe","timeout_ms":2500,"slo_ms":150,"priority":1,)"
    R"("service":"shop","attempts":2}],)"
    R"("services":[{"name":"shop","max_conns":200}]})";
constexpr Duration kWindow = seconds(4);
// Time after an upstream first named a limit until it binds.
constexpr Duration kGrace = seconds(3);

/// Largest number of `times` in a window that begins at `from` or later.
size_t MaxInWindow(const std::vector<Time>& times, Time from) {
  size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    if (*first < from) continue;
    const auto end = std::lower_bound(first, times.end(), *first + kWindow);
    most = std::max(most, static_cast<size_t>(end - first));
  }
  return most;
}

/// What a limit allows in a window.
size_t Allowed(double per_second) {
  return static_cast<size_t>(1.5 * 4 * per_second + 5);
}

class RateLimitedUpstreamTest : public ::testing::Test {
 protected:
  void Start(size_t gateways, size_t upstreams) {
    for (size_t i = 0; i < upstreams; ++i) {
      const std::string id = "u" + std::to_string(i);
      upstreams_.push_back(
          fleet_.AddUpstream(id, R"("service":"shop","slots":6)"));
      upstreams_.back()->on_request = [this, id](const Exchange& exchange) {
        OnUpstreamRequest(id, exchange);
      };
    }
    fleet_.Start(gateways);
  }

  void OnUpstreamRequest(const std::string& id, const Exchange& exchange) {
    arrivals_[id].push_back(BootClock::now());
    timers_.push_back(
        harness_.loop.After(milliseconds(20), [this, id, exchange] {
          HeaderFields fields = FakeUpstream::Signed(exchange);
          const auto limit = limits_.find(id);
          if (limit != limits_.end()) {
            fields.push_back({"Server-Limit", std::to_string(limit->second)});
          }
          exchange->SendResponse(200, fields, "ok");
        }));
  }

  /// Sends a hundred requests a second through the gateways in turn.
  void Play(Duration time) {
    const auto count = static_cast<size_t>(time / milliseconds(10));
    for (size_t i = 0; i < count; ++i) {
      harness_.front = fleet_.fronts()[i % fleet_.fronts().size()];
      results_.push_back(harness_.Send("GET", "/p/1", {}, "",
                                       "r" + std::to_string(++requests_)));
      harness_.RunFor(milliseconds(10));
    }
  }
  void ExpectLimitsKept(Time named_at) {
    for (const auto& [id, per_second] : limits_) {
      const size_t most = MaxInWindow(arrivals_[id], named_at + kGrace);
      EXPECT_LE(most, Allowed(per_second)) << id;
    }
  }
  /// The other upstreams serve what the limited ones cannot.  At the lowest
  /// limit the time is too short to see how much of it is used.
  void PlayAndExpectLimitsKeptAndUsed() {
    const Time named_at = BootClock::now();
    Play(seconds(9));
    ExpectLimitsKept(named_at);
    EXPECT_GE(Rate("u0", named_at + kGrace), 0.8 * limits_["u0"]);
    EXPECT_GE(Rate("u1", named_at + kGrace), 0.8 * limits_["u1"]);
    harness_.RunFor(milliseconds(200));
    EXPECT_EQ(ServedShare(0), 1);
  }
  /// Requests that an upstream got a second from `from` on.
  double Rate(const std::string& id, Time from) {
    const auto& times = arrivals_[id];
    const auto first = std::lower_bound(times.begin(), times.end(), from);
    return static_cast<double>(times.end() - first) /
           ToSeconds(BootClock::now() - from);
  }
  /// Share of the results from index `first` on that were served.
  double ServedShare(size_t first) const {
    const auto served = std::count_if(
        results_.begin() + static_cast<std::ptrdiff_t>(first), results_.end(),
        [](const auto& result) { return result->status == 200; });
    return static_cast<double>(served) /
           static_cast<double>(results_.size() - first);
  }

  GatewayTestHarness harness_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  GatewayFleet fleet_{harness_, kConfig};
  std::vector<EventHandle> timers_;
  std::vector<std::shared_ptr<ClientResult>> results_;
  /// Limits that the upstreams name, in requests per second.
  std::map<std::string, double> limits_;
  std::map<std::string, std::vector<Time>> arrivals_;
  int requests_ = 0;
};

TEST_F(RateLimitedUpstreamTest, OneGatewayKeepsTheLimitsOfUpstreams) {
  Start(1, 8);
  limits_ = {{"u0", 6.4}, {"u1", 1.5}};
  PlayAndExpectLimitsKeptAndUsed();
}

TEST_F(RateLimitedUpstreamTest, ManyGatewaysKeepTheLimitsTogether) {
  Start(12, 8);
  limits_ = {{"u0", 6.4}, {"u1", 1.5}, {"u2", 0.5}};
  PlayAndExpectLimitsKeptAndUsed();
}

TEST_F(RateLimitedUpstreamTest, RequestsBeyondAllLimitsAreRefusedAtOnce) {
  Start(3, 8);
  Play(milliseconds(500));
  for (int i = 0; i < 8; ++i) limits_["u" + std::to_string(i)] = 3;
  const Time named_at = BootClock::now();
  Play(kGrace);
  const size_t first = results_.size();
  Play(seconds(6));
  harness_.RunFor(milliseconds(200));
  ExpectLimitsKept(named_at);
  EXPECT_GE(ServedShare(first), 0.8 * 8 * 3 / 100);
  for (size_t i = first; i < results_.size(); ++i) {
    const auto& result = *results_[i];
    if (result.status == 200) continue;
    EXPECT_EQ(result.status, 503);
    EXPECT_NE(result.Field("Retry-After"), "");
  }
}

TEST_F(RateLimitedUpstreamTest, UpstreamIsUsedFullyAfterItsLimitHasEnded) {
  Start(3, 2);
  limits_ = {{"u0", 0.5}};
  Play(seconds(4));
  limits_.clear();
  Play(seconds(4));
  const Time ended_at = BootClock::now();
  Play(seconds(2));
  EXPECT_GE(Rate("u0", ended_at), 25);
}

}  // namespace
}  // namespace corianderlink
