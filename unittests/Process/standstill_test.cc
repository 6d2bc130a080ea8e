// Guarantees to clients while the platform or the workers of a service stand
// still: what was sent to them is read and run once they go on.
#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "Process/local_fleet.h"

namespace corianderlink {
namespace {

constexpr int kInstances = 2;
constexpr int kEngines = 2;
constexpr int kServices = 2;

class StandstillTest : public testing::Test {
 protected:
  StandstillTest() : fleet_(NextPort(), kInstances, kEngines, kServices) {}

  void SetUp() override {
    ASSERT_TRUE(fleet_.Start());
    ASSERT_TRUE(fleet_.ApplyInitialNote());
  }

  // Each test uses its own range of ports.
  static int NextPort() {
    static int port = 10000;
    port += 500;
    return port;
  }

  HttpResponse SendBooking(int entry, const HttpHeaders& headers) {
    return SendRequest(fleet_.entry(entry), "POST", "/v1/services/booking/book",
                       "slot 9", headers);
  }

  void SignalServices(int signal_number) {
    for (int i = 0; i < kServices; ++i) {
      fleet_.Signal("service-" + std::to_string(i), signal_number);
    }
  }

  LocalFleet fleet_;
};

std::string VerdictOf(const HttpResponse& response) {
  return Json::parse(response.body, nullptr, false).value("verdict", "");
}

TEST_F(StandstillTest, CallOfStoppedWorkersRunsOnceAndIsNeverCalledNotRun) {
  SignalServices(SIGSTOP);
  HttpResponse without_key;
  std::thread other([&] { without_key = SendBooking(1, {}); });
  const HttpResponse first = SendBooking(0, {{"Idempotency-Key", "k"}});
  other.join();
  EXPECT_EQ(VerdictOf(first), "may have run") << first.body;
  EXPECT_EQ(VerdictOf(without_key), "may have run") << without_key.body;
  SignalServices(SIGCONT);
  const HttpResponse again = SendBooking(1, {{"Idempotency-Key", "k"}});
  EXPECT_EQ(VerdictOf(again), "may have run") << again.body;
  // Both requests lay in the sockets of the workers.
  EXPECT_TRUE(WaitFor(seconds(2),
                      [this] { return fleet_.CountServiceEffects() == 2; }));
}

TEST_F(StandstillTest, ClaimWrittenLateByAStoppedStoreBlocksNoLaterCall) {
  fleet_.Signal("platform", SIGSTOP);
  const HttpResponse first = SendBooking(0, {{"Idempotency-Key", "k"}});
  EXPECT_EQ(VerdictOf(first), "not run") << first.body;
  EXPECT_EQ(fleet_.CountServiceEffects(), 0U);
  fleet_.Signal("platform", SIGCONT);
  HttpResponse again;
  EXPECT_TRUE(WaitFor(seconds(10), [&] {
    again = SendBooking(1, {{"Idempotency-Key", "k"}});
    return again.ok();
  })) << again.body;
  EXPECT_EQ(fleet_.CountServiceEffects(), 1U);
}

TEST_F(StandstillTest, JobWrittenLateByAStoppedStoreIsNeverCalledNotRun) {
  const std::string body = LocalFleet::ChatBody("manual", 20, false);
  const HttpHeaders key = {{"Idempotency-Key", "k"}};
  fleet_.Signal("platform", SIGSTOP);
  const HttpResponse first =
      SendRequest(fleet_.entry(0), "POST", "/v1/jobs", body, key);
  EXPECT_EQ(VerdictOf(first), "may have run") << first.body;
  fleet_.Signal("platform", SIGCONT);
  HttpResponse again;
  ASSERT_TRUE(WaitFor(seconds(10), [&] {
    again = SendRequest(fleet_.entry(1), "POST", "/v1/jobs", body, key);
    return again.ok();
  })) << again.body;
  const std::string path =
      "/v1/jobs/" + Json::parse(again.body)["id"].get<std::string>();
  Json job;
  EXPECT_TRUE(WaitFor(seconds(10), [&] {
    const HttpResponse found = SendRequest(fleet_.entry(1), "GET", path);
    job = Json::parse(found.body, nullptr, false);
    return found.ok() && job["status"] == "done";
  }));
  EXPECT_EQ(job["result"], LocalFleet::ExpectedText("manual", 20));
}

}  // namespace
}  // namespace corianderlink
