// What must hold while real processes are killed, stopped and cut off.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "Process/local_fleet.h"

namespace corianderlink {
namespace {

constexpr int kInstances = 4;
constexpr int kEngines = 3;
constexpr int kServices = 3;

class FailureTest : public testing::Test {
 protected:
  // Each test has ports of its own, so that none waits for another's.
  FailureTest() : fleet_(NextPort(), kInstances, kEngines, kServices) {}

  void SetUp() override {
    ASSERT_TRUE(fleet_.Start());
    ASSERT_TRUE(fleet_.ApplyFirstNote());
  }

  static int NextPort() {
    static int port = 23000;
    port += 500;
    return port;
  }

  HttpResponse Book(int entry, const std::string& key) {
    return Call(fleet_.entry(entry), "POST", "/v1/services/booking/book",
                "slot 9", {{"Idempotency-Key", key}});
  }

  void SetServiceFault(const Json& fault) {
    for (int i = 0; i < kServices; ++i) {
      Call(fleet_.service(i), "POST", "/faults", fault.dump());
    }
  }

  LocalFleet fleet_;
};

/// Streams chats in the background through the entries of the directory.
class BackgroundChats {
 public:
  explicit BackgroundChats(const LocalFleet& fleet) : fleet_(fleet) {
    for (int i = 0; i < 4; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }
  ~BackgroundChats() { Stop(); }

  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }

  std::atomic<int> sent{0};
  std::atomic<int> whole{0};

 private:
  void Run(int number) {
    std::vector<std::string> entries;
    Time keep_until{};
    for (int count = 0; !stop_; ++count) {
      if (BootClock::now() >= keep_until) {
        const Json directory = AskDirectory();
        entries.clear();
        for (const Json& entry : directory["entries"]) {
          entries.push_back(entry["address"].get<std::string>());
        }
        keep_until = BootClock::now() + seconds(directory["keep_s"].get<int>());
      }
      const std::string content =
          std::to_string(number) + " " + std::to_string(count);
      ++sent;
      const auto index = static_cast<size_t>(number + count) % entries.size();
      const HttpResponse response =
          Call(entries[index], "POST", "/v1/chat/completions",
               LocalFleet::Chat(content, 30, true));
      const StreamedAnswer answer = ParseStream(response.body);
      const bool right =
          answer.done && answer.text == LocalFleet::ExpectedText(content, 30);
      if (right) ++whole;
    }
  }

  Json AskDirectory() const {
    for (int i = 0;; i = (i + 1) % kInstances) {
      const HttpResponse answer = Call(fleet_.entry(i), "GET", "/v1/entries");
      if (!answer.ok()) continue;
      const Json json = Json::parse(answer.body);
      if (!json["entries"].empty()) return json;
    }
  }

  const LocalFleet& fleet_;
  std::atomic<bool> stop_{false};
  std::vector<std::thread> threads_;
};

TEST_F(FailureTest, StreamOfKilledEntryResumesThroughAnother) {
  const std::string body = LocalFleet::Chat("long story", 200, true);
  std::string received;
  std::thread caller([&] {
    received = Call(fleet_.entry(0), "POST", "/v1/chat/completions", body).body;
  });
  // Killed once the stream is running.
  ASSERT_TRUE(WaitFor(seconds(5), [this] {
    const Json dump = fleet_.AdminGet(fleet_.entry_admin(0), "/v1/dump");
    return !dump["requests"].empty() &&
           dump["requests"][0]["delivered"].get<int>() > 20;
  }));
  fleet_.Kill("entry-0");
  caller.join();
  const StreamedAnswer first = ParseStream(received);
  EXPECT_FALSE(first.done) << "a cut answer must not look whole";
  ASSERT_FALSE(first.last_marker.empty());
  const HttpResponse rest =
      Call(fleet_.entry(1), "POST", "/v1/chat/completions", body,
           {{"Last-Event-ID", first.last_marker}});
  const StreamedAnswer second = ParseStream(rest.body);
  EXPECT_TRUE(second.done);
  EXPECT_EQ(first.text + second.text,
            LocalFleet::ExpectedText("long story", 200));
}

TEST_F(FailureTest, MarkerOfAnotherRequestGivesNobodyElsesBytes) {
  const std::string secret = LocalFleet::Chat("secret", 50, true);
  const HttpResponse whole =
      Call(fleet_.entry(0), "POST", "/v1/chat/completions", secret);
  std::string marker = ParseStream(whole.body).last_marker;
  marker = marker.substr(0, marker.rfind('~')) + "~0";
  const HttpResponse stolen =
      Call(fleet_.entry(1), "POST", "/v1/chat/completions",
           LocalFleet::Chat("thief", 50, true), {{"Last-Event-ID", marker}});
  EXPECT_EQ(ParseStream(stolen.body).text,
            LocalFleet::ExpectedText("thief", 50));
}

TEST_F(FailureTest, EngineKilledMidStreamIsContinuedElsewhere) {
  std::string received;
  std::thread caller([&] {
    received = Call(fleet_.entry(0), "POST", "/v1/chat/completions",
                    LocalFleet::Chat("engine dies", 200, true))
                   .body;
  });
  std::string engine;
  ASSERT_TRUE(WaitFor(seconds(5), [&] {
    const Json dump = fleet_.AdminGet(fleet_.entry_admin(0), "/v1/dump");
    const bool running = !dump["requests"].empty() &&
                         dump["requests"][0]["delivered"].get<int>() > 20;
    if (running) engine = dump["requests"][0]["engine"].get<std::string>();
    return running;
  }));
  fleet_.Kill("engine-" + engine.substr(1));
  caller.join();
  const StreamedAnswer answer = ParseStream(received);
  EXPECT_TRUE(answer.done);
  EXPECT_EQ(answer.text, LocalFleet::ExpectedText("engine dies", 200));
}

TEST_F(FailureTest, BookingOfKilledEntryNeverRunsTwice) {
  SetServiceFault({{"slow_ms", 600}});
  std::thread caller([this] { Book(0, "k1"); });
  ASSERT_TRUE(WaitFor(seconds(5), [this] {
    const Json dump = fleet_.AdminGet(fleet_.entry_admin(0), "/v1/dump");
    return dump["service_calls"] == 1;
  }));
  fleet_.Kill("entry-0");
  caller.join();
  for (int i = 1; i < kInstances; ++i) {
    const HttpResponse retry = Book(i, "k1");
    EXPECT_EQ(retry.status, 502) << retry.body;
    EXPECT_EQ(Json::parse(retry.body)["verdict"], "may have run");
  }
  EXPECT_LE(fleet_.Effects(), 1u);
}

TEST_F(FailureTest, BookingOfStoppedEntryNeverRunsTwice) {
  SetServiceFault({{"slow_ms", 600}});
  std::string first;
  std::thread caller([&] { first = Book(0, "k2").body; });
  ASSERT_TRUE(WaitFor(seconds(5), [this] {
    const Json dump = fleet_.AdminGet(fleet_.entry_admin(0), "/v1/dump");
    return dump["service_calls"] == 1;
  }));
  fleet_.Signal("entry-0", SIGSTOP);
  EXPECT_EQ(Book(1, "k2").status, 502);
  fleet_.Signal("entry-0", SIGCONT);
  caller.join();
  SetServiceFault({{"slow_ms", 0}});
  const HttpResponse again = Book(2, "k2");
  EXPECT_EQ(again.body, first);
  EXPECT_EQ(fleet_.Effects(), 1u);
}

TEST_F(FailureTest, RefusedBookingRunsWhenRepeatedWithItsKey) {
  for (int i = 0; i < kServices; ++i) {
    fleet_.Kill("service-" + std::to_string(i));
  }
  const HttpResponse refused = Book(0, "k3");
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(Json::parse(refused.body)["verdict"], "not run");
  for (int i = 0; i < kServices; ++i) fleet_.StartService(i);
  // Through another entry than the first one's.
  EXPECT_TRUE(WaitFor(seconds(10), [this] { return Book(1, "k3").ok(); }));
  EXPECT_EQ(fleet_.Effects(), 1u);
}

TEST_F(FailureTest, RepeatedCallSaysNotRunOnlyIfNoAttemptMayHaveRun) {
  // One worker breaks off, the others refuse connections.  Whatever worker
  // comes last, the first one may have run the call if it received it.
  Call(fleet_.service(0), "POST", "/faults", R"({"close_before":1000})");
  fleet_.Kill("service-1");
  fleet_.Kill("service-2");
  const auto received = [this] {
    const HttpResponse ledger = Call(fleet_.service(0), "GET", "/ledger");
    return Json::parse(ledger.body)["received"].get<int>();
  };
  int may_have_run = 0;
  for (int i = 0; i < 2 * kServices; ++i) {
    const int before = received();
    const HttpResponse answer =
        Call(fleet_.entry(0), "GET", "/v1/services/booking/stock");
    const bool seen = received() > before;
    may_have_run += seen ? 1 : 0;
    EXPECT_EQ(Json::parse(answer.body)["verdict"],
              seen ? "may have run" : "not run")
        << answer.body;
  }
  EXPECT_GT(may_have_run, 0);
}

TEST_F(FailureTest, AcceptedJobSurvivesItsEntry) {
  const HttpResponse accepted = Call(fleet_.entry(0), "POST", "/v1/jobs",
                                     LocalFleet::Chat("manual", 100, false));
  ASSERT_EQ(accepted.status, 202) << accepted.body;
  const std::string path =
      "/v1/jobs/" + Json::parse(accepted.body)["id"].get<std::string>();
  std::string owner;
  ASSERT_TRUE(WaitFor(seconds(10), [&] {
    for (int i = 0; i < kInstances; ++i) {
      const Json dump = fleet_.AdminGet(fleet_.entry_admin(i), "/v1/dump");
      if (dump["jobs_running"] == 1) owner = "entry-" + std::to_string(i);
    }
    return !owner.empty();
  }));
  fleet_.Kill(owner);
  const int reader = owner == "entry-1" ? 2 : 1;
  Json job;
  ASSERT_TRUE(WaitFor(seconds(30), [&] {
    const HttpResponse answer = Call(fleet_.entry(reader), "GET", path);
    job = Json::parse(answer.body, nullptr, false);
    return answer.ok() && job["status"] == "done";
  }));
  EXPECT_EQ(job["result"], LocalFleet::ExpectedText("manual", 100));
}

TEST_F(FailureTest, StoreOutageRefusesTruthfullyAndServingGoesOn) {
  Call(fleet_.platform(), "POST", "/faults", R"({"down":true})");
  const HttpResponse booking = Book(0, "k4");
  EXPECT_EQ(booking.status, 503);
  EXPECT_EQ(Json::parse(booking.body)["verdict"], "not run");
  EXPECT_FALSE(booking.Header("Retry-After").empty());
  const HttpResponse job = Call(fleet_.entry(0), "POST", "/v1/jobs",
                                LocalFleet::Chat("manual", 10, false));
  EXPECT_EQ(job.status, 503);
  EXPECT_EQ(Json::parse(job.body)["verdict"], "not run");
  // Longer than every lease and freshness window.
  const Time end = BootClock::now() + seconds(4);
  while (BootClock::now() < end) {
    for (int i = 0; i < kInstances; ++i) {
      const HttpResponse chat =
          Call(fleet_.entry(i), "POST", "/v1/chat/completions",
               LocalFleet::Chat("hello", 5, false));
      EXPECT_EQ(chat.status, 200) << chat.body;
    }
  }
  Call(fleet_.platform(), "POST", "/faults", R"({"down":false})");
  EXPECT_TRUE(WaitFor(seconds(5), [this] { return Book(0, "k4").ok(); }));
  EXPECT_EQ(fleet_.Effects(), 1u);
}

TEST_F(FailureTest, WithdrawnEngineGetsNoNewWorkWithinThreeSeconds) {
  const HttpResponse applied =
      fleet_.Apply(1, {{"id", "withdraw"},
                       {"base_revision", 1},
                       {"withdrawn", {{"engines", {"e0"}}}}});
  ASSERT_TRUE(applied.ok()) << applied.body;
  const Time bound = BootClock::now() + seconds(3);
  EXPECT_TRUE(WaitFor(bound - BootClock::now(), [this] {
    for (int i = 0; i < kInstances; ++i) {
      const Json dump = fleet_.AdminGet(fleet_.entry_admin(i), "/v1/dump");
      if (dump["engines"].contains("e0")) return false;
    }
    return true;
  }));
}

TEST_F(FailureTest, RollingStopUnderLoadCutsAndRefusesNothing) {
  BackgroundChats chats(fleet_);
  for (int i = 0; i < kInstances; ++i) {
    const std::string entry = "entry-" + std::to_string(i);
    const std::string process = "fleet-" + std::to_string(i);
    fleet_.Signal(entry, SIGTERM);
    fleet_.Signal(entry, SIGTERM);  // A second one cuts nothing either.
    fleet_.Signal(process, SIGTERM);
    EXPECT_EQ(fleet_.WaitExit(entry, seconds(30)), 0);
    EXPECT_EQ(fleet_.WaitExit(process, seconds(30)), 0);
    fleet_.StartInstance(i);
    ASSERT_TRUE(WaitFor(seconds(10), [this, i] {
      const Json dump = fleet_.AdminGet(fleet_.entry_admin(i), "/v1/dump");
      return dump.is_object() && dump["revision"] == 1;
    }));
  }
  chats.Stop();
  EXPECT_GT(chats.sent, 20);
  EXPECT_EQ(chats.sent, chats.whole);
}

TEST_F(FailureTest, RoleChangeUnderLoadCutsNothing) {
  BackgroundChats chats(fleet_);
  const HttpResponse applied = fleet_.Apply(
      1,
      {{"id", "roles"},
       {"base_revision", 1},
       {"changed", {{"engines", {{"e0", fleet_.EngineItem(0, "decode")}}}}}});
  ASSERT_TRUE(applied.ok()) << applied.body;
  EXPECT_TRUE(WaitFor(seconds(30), [this] {
    const HttpResponse state = Call(fleet_.engine(0), "GET", "/v1/state");
    const Json json = Json::parse(state.body, nullptr, false);
    return json.is_object() && json["role"] == "decode" &&
           json["away"] == false;
  }));
  chats.Stop();
  EXPECT_EQ(chats.sent, chats.whole);
  const HttpResponse record = Call(fleet_.engine(0), "GET", "/record");
  EXPECT_EQ(Json::parse(record.body)["streams_cut"], 0);
}

TEST_F(FailureTest, AcceptedStateSurvivesTheLossOfAllInstances) {
  const HttpResponse job = Call(fleet_.entry(0), "POST", "/v1/jobs",
                                LocalFleet::Chat("manual", 400, false));
  ASSERT_EQ(job.status, 202) << job.body;
  const std::string path =
      "/v1/jobs/" + Json::parse(job.body)["id"].get<std::string>();
  ASSERT_TRUE(Book(0, "k5").ok());
  for (int i = 0; i < kInstances; ++i) {
    fleet_.Kill("entry-" + std::to_string(i));
    fleet_.Kill("fleet-" + std::to_string(i));
    fleet_.MoveInstance(i);
  }
  fleet_.PublishList({0, 1, 2, 3});
  const Time began = BootClock::now();
  for (int i = 0; i < kInstances; ++i) fleet_.StartInstance(i);
  ASSERT_TRUE(WaitFor(seconds(10), [this] {
    return Call(fleet_.entry(2), "POST", "/v1/chat/completions",
                LocalFleet::Chat("hello", 2, false))
        .ok();
  }));
  RecordProperty("serving_again_ms",
                 std::to_string(ToMillis(BootClock::now() - began)));
  EXPECT_EQ(Book(3, "k5").status, 200);
  EXPECT_EQ(fleet_.Effects(), 1u);
  EXPECT_TRUE(WaitFor(seconds(30), [&] {
    const HttpResponse answer = Call(fleet_.entry(1), "GET", path);
    const Json json = Json::parse(answer.body, nullptr, false);
    return answer.ok() && json["status"] == "done";
  }));
}

TEST_F(FailureTest, StoppedFleetHolderSendsNoOrderAfterItsLease) {
  // All holders are stopped in the middle of changes, then go on.
  for (int round = 0; round < 2; ++round) {
    const std::string role = round % 2 == 0 ? "decode" : "mixed";
    const HttpResponse applied = fleet_.Apply(
        round,
        {{"id", "round" + std::to_string(round)},
         {"base_revision", 1 + round},
         {"changed", {{"engines", {{"e1", fleet_.EngineItem(1, role)}}}}}});
    ASSERT_TRUE(applied.ok()) << applied.body;
    const std::string frozen = "fleet-" + std::to_string(round + 2);
    fleet_.Signal(frozen, SIGSTOP);
    EXPECT_TRUE(WaitFor(seconds(30), [&] {
      const HttpResponse state = Call(fleet_.engine(1), "GET", "/v1/state");
      const Json json = Json::parse(state.body, nullptr, false);
      return json.is_object() && json["role"] == role;
    }));
    fleet_.Signal(frozen, SIGCONT);
  }
  uint64_t last = 0;
  const HttpResponse record = Call(fleet_.engine(1), "GET", "/record");
  const Json orders = Json::parse(record.body)["orders"];
  for (const Json& order : orders) {
    EXPECT_GE(order["sequence"].get<uint64_t>(), last);
    last = order["sequence"].get<uint64_t>();
  }
}

}  // namespace
}  // namespace corianderlink
