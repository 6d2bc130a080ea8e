// Tests of the check whether an upstream responds.
#include "corianderlink/Gateway/upstream_probe.h"

#include <gtest/gtest.h>

#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

constexpr char kHealthPath[] = "/healthz";

class UpstreamProbeTest : public ::testing::Test {
 protected:
  UpstreamProbeTest() {
    record_.id = UpstreamId("e1");
    record_.address = engine_->address;
  }
  void Probe() {
    probe_.Start(record_, kHealthPath,
                 [this](ProbeResult result) { results_.push_back(result); });
  }
  void RunFor(Duration time) {
    const EventHandle stop = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  EventLoop loop_;
  UpstreamPool pool_{loop_};
  const OrderCodec codec_ = platform::MakeCodecs().orders;
  UpstreamProbe probe_{loop_, pool_, codec_};
  std::unique_ptr<FakeUpstream> engine_ =
      std::make_unique<FakeUpstream>(loop_, "e1");
  UpstreamRecord record_;
  std::vector<ProbeResult> results_;
};

TEST_F(UpstreamProbeTest, EngineThatAnswersIsNotGone) {
  engine_->on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->SendResponse(200, {}, "{}");
  };
  Probe();
  RunFor(milliseconds(300));
  EXPECT_EQ(results_, std::vector{ProbeResult::kAnswers});
}

TEST_F(UpstreamProbeTest, RequestsThatAskTogetherShareOneProbe) {
  engine_.reset();
  Probe();
  Probe();
  RunFor(milliseconds(500));
  const std::vector gone{ProbeResult::kGone, ProbeResult::kGone};
  EXPECT_EQ(results_, gone);
  EXPECT_EQ(pool_.connections_opened(), 1U);
}

// The first probe meets an engine that accepts the connection and does not
// answer.
TEST_F(UpstreamProbeTest, SilentEngineDoesNotHideItsLaterEnd) {
  Probe();
  RunFor(milliseconds(1500));
  engine_.reset();
  Probe();
  RunFor(milliseconds(500));
  const std::vector expected{ProbeResult::kUnresponsive, ProbeResult::kGone};
  EXPECT_EQ(results_, expected);
}

TEST_F(UpstreamProbeTest, ProbeFromBeforeTheEndDoesNotHideIt) {
  Probe();
  RunFor(milliseconds(100));
  ASSERT_EQ(engine_->requests.size(), 1U);
  engine_.reset();
  Probe();
  RunFor(milliseconds(500));
  ASSERT_EQ(results_.size(), 2U);
  EXPECT_EQ(results_[1], ProbeResult::kGone);
}

// Its connection is in the queue of an engine that ends before it accepts it.
TEST_F(UpstreamProbeTest, EndBeforeTheProbeIsAcceptedIsNotHidden) {
  Probe();
  engine_.reset();
  Probe();
  RunFor(milliseconds(500));
  ASSERT_EQ(results_.size(), 2U);
  EXPECT_EQ(results_[1], ProbeResult::kGone);
}

TEST_F(UpstreamProbeTest, LaterRequestsShareOneFurtherProbe) {
  Probe();
  RunFor(milliseconds(100));
  ASSERT_EQ(engine_->requests.size(), 1U);
  Probe();
  Probe();
  Probe();
  RunFor(milliseconds(100));
  EXPECT_EQ(pool_.connections_opened(), 1U);
  engine_.reset();
  RunFor(milliseconds(500));
  const std::vector expected{ProbeResult::kAnswers, ProbeResult::kGone,
                             ProbeResult::kGone, ProbeResult::kGone};
  EXPECT_EQ(results_, expected);
  EXPECT_EQ(pool_.connections_opened(), 2U);
}

}  // namespace
}  // namespace corianderlink
