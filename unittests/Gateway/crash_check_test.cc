// Telling a crashed engine from a broken connection.
#include "corianderlink/Gateway/crash_check.h"

#include <gtest/gtest.h>

#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

constexpr char kHealthPath[] = "/healthz";

class CrashCheckTest : public ::testing::Test {
 protected:
  CrashCheckTest() {
    record_.id = UpstreamId("e1");
    record_.address = engine_->address;
  }
  void Check() {
    check_.Start(record_, kHealthPath, [this] { ++crashes_; });
  }
  void RunFor(Duration time) {
    const EventHandle stop = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  EventLoop loop_;
  UpstreamPool pool_{loop_};
  const OrderCodec codec_ = platform::MakeCodecs().orders;
  CrashCheck check_{loop_, pool_, codec_};
  std::unique_ptr<FakeUpstream> engine_ =
      std::make_unique<FakeUpstream>(loop_, "e1");
  UpstreamRecord record_;
  int crashes_ = 0;
};

TEST_F(CrashCheckTest, EngineThatAnswersHasNotCrashed) {
  engine_->on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->SendResponse(200, {}, "{}");
  };
  Check();
  RunFor(milliseconds(300));
  EXPECT_EQ(crashes_, 0);
}

TEST_F(CrashCheckTest, RequestsThatBrokeTogetherShareOneCheck) {
  engine_.reset();
  Check();
  Check();
  RunFor(milliseconds(500));
  EXPECT_EQ(crashes_, 2);
  EXPECT_EQ(pool_.connections_opened(), 1U);
}

// The first check meets an engine that accepts the connection and does not
// answer.
TEST_F(CrashCheckTest, SilentEngineDoesNotHideItsLaterCrash) {
  Check();
  RunFor(milliseconds(1500));
  engine_.reset();
  Check();
  RunFor(milliseconds(500));
  EXPECT_EQ(crashes_, 1);
}

}  // namespace
}  // namespace corianderlink
