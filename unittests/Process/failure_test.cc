// Guarantees to clients while real processes are killed, paused or shut down
// and the table service is down.
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
  // Each test uses its own range of ports, so that it needn't wait until those
  // of the previous test are free.
  FailureTest() : fleet_(NextPort(), kInstances, kEngines, kServices) {}

  void SetUp() override {
    ASSERT_TRUE(fleet_.Start());
    ASSERT_TRUE(fleet_.ApplyInitialNote());
  }

  static int NextPort() {
    static int port = 3000;
    port += 500;
    return port;
  }

  HttpResponse SendBooking(int entry, const std::string& key) {
    return SendRequest(fleet_.entry(entry), "POST", "/v1/services/booking/book",
                       "slot 9", {{"Idempotency-Key", key}});
  }

  void SetServiceFault(const Json& fault) {
    for (int i = 0; i < kServices; ++i) {
      SendRequest(fleet_.service(i), "POST", "/faults", fault.dump());
    }
  }

  LocalFleet fleet_;
};

/// Sends streamed chat requests from four background threads, to the entries
/// that the entry directory lists.
class BackgroundChatLoad {
 public:
  explicit BackgroundChatLoad(const LocalFleet& fleet) : fleet_(fleet) {
    for (int i = 0; i < 4; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }
  ~BackgroundChatLoad() { Stop(); }

  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }

  std::atomic<int> sent{0};
  /// Number of responses that were complete and correct.
  std::atomic<int> completed{0};

 private:
  void Run(int number) {
    std::vector<std::string> entries;
    Time directory_expires_at{};
    for (int count = 0; !stop_; ++count) {
      if (BootClock::now() >= directory_expires_at) {
        const Json directory = FetchDirectory();
        entries.clear();
        for (const Json& entry : directory["entries"]) {
          entries.push_back(entry["address"].get<std::string>());
        }
        directory_expires_at =
            BootClock::now() + seconds(directory["keep_s"].get<int>());
      }
      const std::string content =
          std::to_string(number) + " " + std::to_string(count);
      ++sent;
      const auto index = static_cast<size_t>(number + count) % entries.size();
      const HttpResponse response =
          SendRequest(entries[index], "POST", "/v1/chat/completions",
                      LocalFleet::ChatBody(content, 30, true));
      const StreamedResponse parsed = ParseStreamedResponse(response.body);
      const bool correct =
          parsed.done && parsed.text == LocalFleet::ExpectedText(content, 30);
      if (correct) ++completed;
    }
  }

  Json FetchDirectory() const {
    for (int i = 0;; i = (i + 1) % kInstances) {
      const HttpResponse response =
          SendRequest(fleet_.entry(i), "GET", "/v1/entries");
      if (!response.ok()) continue;
      const Json json = Json::parse(response.body);
      if (!json["entries"].empty()) return json;
    }
  }

  const LocalFleet& fleet_;
  std::atomic<bool> stop_{false};
  std::vector<std::thread> threads_;
};

TEST_F(FailureTest, StreamOfKilledEntryResumesThroughAnotherEntry) {
  const std::string body = LocalFleet::ChatBody("long story", 200, true);
  std::string received;
  std::thread caller([&] {
    received =
        SendRequest(fleet_.entry(0), "POST", "/v1/chat/completions", body).body;
  });
  // Wait until the stream is running.
  ASSERT_TRUE(WaitFor(seconds(5), [this] {
    const Json dump = fleet_.AdminGet(fleet_.entry_admin(0), "/v1/dump");
    return !dump["requests"].empty() &&
           dump["requests"][0]["delivered"].get<int>() > 20;
  }));
  fleet_.Kill("entry-0");
  caller.join();
  const StreamedResponse first = ParseStreamedResponse(received);
  EXPECT_FALSE(first.done) << "a cut response must not look complete";
  ASSERT_FALSE(first.last_event_id.empty());
  const HttpResponse rest =
      SendRequest(fleet_.entry(1), "POST", "/v1/chat/completions", body,
                  {{"Last-Event-ID", first.last_event_id}});
  const StreamedResponse second = ParseStreamedResponse(rest.body);
  EXPECT_TRUE(second.done);
  EXPECT_EQ(first.text + second.text,
            LocalFleet::ExpectedText("long story", 200));
}

TEST_F(FailureTest, ResumeMarkerOfAnotherRequestDoesNotLeakItsResponse) {
  const std::string other_body = LocalFleet::ChatBody("secret", 50, true);
  const HttpResponse complete =
      SendRequest(fleet_.entry(0), "POST", "/v1/chat/completions", other_body);
  std::string marker = ParseStreamedResponse(complete.body).last_event_id;
  marker = marker.substr(0, marker.rfind('~')) + "~0";
  const HttpResponse response = SendRequest(
      fleet_.entry(1), "POST", "/v1/chat/completions",
      LocalFleet::ChatBody("thief", 50, true), {{"Last-Event-ID", marker}});
  EXPECT_EQ(ParseStreamedResponse(response.body).text,
            LocalFleet::ExpectedText("thief", 50));
}

TEST_F(FailureTest, StreamOfKilledEngineContinuesOnAnotherEngine) {
  std::string received;
  std::thread caller([&] {
    received = SendRequest(fleet_.entry(0), "POST", "/v1/chat/completions",
                           LocalFleet::ChatBody("engine dies", 200, true))
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
  const StreamedResponse parsed = ParseStreamedResponse(received);
  EXPECT_TRUE(parsed.done);
  EXPECT_EQ(parsed.text, LocalFleet::ExpectedText("engine dies", 200));
}

TEST_F(FailureTest, BookingRunsAtMostOnceWhenItsEntryIsKilled) {
  SetServiceFault({{"slow_ms", 600}});
  std::thread caller([this] { SendBooking(0, "k1"); });
  ASSERT_TRUE(WaitFor(seconds(5), [this] {
    const Json dump = fleet_.AdminGet(fleet_.entry_admin(0), "/v1/dump");
    return dump["service_calls"] == 1;
  }));
  fleet_.Kill("entry-0");
  caller.join();
  for (int i = 1; i < kInstances; ++i) {
    const HttpResponse retry = SendBooking(i, "k1");
    EXPECT_EQ(retry.status, 502) << retry.body;
    EXPECT_EQ(Json::parse(retry.body)["verdict"], "may have run");
  }
  EXPECT_LE(fleet_.CountServiceEffects(), 1u);
}

TEST_F(FailureTest, BookingRunsAtMostOnceWhenItsEntryIsPaused) {
  SetServiceFault({{"slow_ms", 600}});
  std::string first;
  std::thread caller([&] { first = SendBooking(0, "k2").body; });
  ASSERT_TRUE(WaitFor(seconds(5), [this] {
    const Json dump = fleet_.AdminGet(fleet_.entry_admin(0), "/v1/dump");
    return dump["service_calls"] == 1;
  }));
  fleet_.Signal("entry-0", SIGSTOP);
  EXPECT_EQ(SendBooking(1, "k2").status, 502);
  fleet_.Signal("entry-0", SIGCONT);
  caller.join();
  SetServiceFault({{"slow_ms", 0}});
  const HttpResponse again = SendBooking(2, "k2");
  EXPECT_EQ(again.body, first);
  EXPECT_EQ(fleet_.CountServiceEffects(), 1u);
}

TEST_F(FailureTest, RejectedBookingRunsOnceWhenRetriedWithItsKey) {
  for (int i = 0; i < kServices; ++i) {
    fleet_.Kill("service-" + std::to_string(i));
  }
  const HttpResponse rejected = SendBooking(0, "k3");
  EXPECT_EQ(rejected.status, 503);
  EXPECT_EQ(Json::parse(rejected.body)["verdict"], "not run");
  for (int i = 0; i < kServices; ++i) fleet_.StartService(i);
  // The retry is sent to another entry.
  EXPECT_TRUE(
      WaitFor(seconds(10), [this] { return SendBooking(1, "k3").ok(); }));
  EXPECT_EQ(fleet_.CountServiceEffects(), 1u);
}

TEST_F(FailureTest, RetriedCallReportsNotRunOnlyIfNoAttemptMayHaveRun) {
  // One worker closes the connection without a response, the others refuse
  // connections.  If the first worker received the call, it may have run it,
  // whichever worker is tried last.
  SendRequest(fleet_.service(0), "POST", "/faults", R"({"close_before":1000})");
  fleet_.Kill("service-1");
  fleet_.Kill("service-2");
  const auto count_received = [this] {
    const HttpResponse ledger =
        SendRequest(fleet_.service(0), "GET", "/ledger");
    return Json::parse(ledger.body)["received"].get<int>();
  };
  int may_have_run = 0;
  for (int i = 0; i < 2 * kServices; ++i) {
    const int before = count_received();
    const HttpResponse response =
        SendRequest(fleet_.entry(0), "GET", "/v1/services/booking/stock");
    const bool reached_worker = count_received() > before;
    may_have_run += reached_worker ? 1 : 0;
    EXPECT_EQ(Json::parse(response.body)["verdict"],
              reached_worker ? "may have run" : "not run")
        << response.body;
  }
  EXPECT_GT(may_have_run, 0);
}

TEST_F(FailureTest, AcceptedJobCompletesAfterItsEntryIsKilled) {
  const HttpResponse accepted =
      SendRequest(fleet_.entry(0), "POST", "/v1/jobs",
                  LocalFleet::ChatBody("manual", 100, false));
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
  const int other_entry = owner == "entry-1" ? 2 : 1;
  Json job;
  ASSERT_TRUE(WaitFor(seconds(30), [&] {
    const HttpResponse response =
        SendRequest(fleet_.entry(other_entry), "GET", path);
    job = Json::parse(response.body, nullptr, false);
    return response.ok() && job["status"] == "done";
  }));
  EXPECT_EQ(job["result"], LocalFleet::ExpectedText("manual", 100));
}

TEST_F(FailureTest, StoreOutageRejectsWritesAndChatsAreStillServed) {
  SendRequest(fleet_.platform(), "POST", "/faults", R"({"down":true})");
  const HttpResponse booking = SendBooking(0, "k4");
  EXPECT_EQ(booking.status, 503);
  EXPECT_EQ(Json::parse(booking.body)["verdict"], "not run");
  EXPECT_FALSE(booking.Header("Retry-After").empty());
  const HttpResponse job =
      SendRequest(fleet_.entry(0), "POST", "/v1/jobs",
                  LocalFleet::ChatBody("manual", 10, false));
  EXPECT_EQ(job.status, 503);
  EXPECT_EQ(Json::parse(job.body)["verdict"], "not run");
  // 4 s is longer than every lease and freshness window of the test settings.
  const Time end = BootClock::now() + seconds(4);
  while (BootClock::now() < end) {
    for (int i = 0; i < kInstances; ++i) {
      const HttpResponse chat =
          SendRequest(fleet_.entry(i), "POST", "/v1/chat/completions",
                      LocalFleet::ChatBody("hello", 5, false));
      EXPECT_EQ(chat.status, 200) << chat.body;
    }
  }
  SendRequest(fleet_.platform(), "POST", "/faults", R"({"down":false})");
  EXPECT_TRUE(
      WaitFor(seconds(5), [this] { return SendBooking(0, "k4").ok(); }));
  EXPECT_EQ(fleet_.CountServiceEffects(), 1u);
}

TEST_F(FailureTest, EntriesDropWithdrawnEngineWithinThreeSeconds) {
  const HttpResponse applied =
      fleet_.AddNote(1, {{"id", "withdraw"},
                         {"base_revision", 1},
                         {"withdrawn", {{"engines", {"e0"}}}}});
  ASSERT_TRUE(applied.ok()) << applied.body;
  const Time deadline = BootClock::now() + seconds(3);
  EXPECT_TRUE(WaitFor(deadline - BootClock::now(), [this] {
    for (int i = 0; i < kInstances; ++i) {
      const Json dump = fleet_.AdminGet(fleet_.entry_admin(i), "/v1/dump");
      if (dump["engines"].contains("e0")) return false;
    }
    return true;
  }));
}

TEST_F(FailureTest, RollingStopUnderLoadCutsAndRefusesNothing) {
  BackgroundChatLoad chats(fleet_);
  for (int i = 0; i < kInstances; ++i) {
    const std::string entry = "entry-" + std::to_string(i);
    const std::string process = "fleet-" + std::to_string(i);
    fleet_.Signal(entry, SIGTERM);
    // A repeated SIGTERM must not interrupt requests either.
    fleet_.Signal(entry, SIGTERM);
    fleet_.Signal(process, SIGTERM);
    EXPECT_EQ(fleet_.WaitForExit(entry, seconds(30)), 0);
    EXPECT_EQ(fleet_.WaitForExit(process, seconds(30)), 0);
    fleet_.StartInstance(i);
    ASSERT_TRUE(WaitFor(seconds(10), [this, i] {
      const Json dump = fleet_.AdminGet(fleet_.entry_admin(i), "/v1/dump");
      return dump.is_object() && dump["revision"] == 1;
    }));
  }
  chats.Stop();
  EXPECT_GT(chats.sent, 20);
  EXPECT_EQ(chats.sent, chats.completed);
}

TEST_F(FailureTest, RoleChangeUnderLoadInterruptsNoStream) {
  BackgroundChatLoad chats(fleet_);
  const HttpResponse applied = fleet_.AddNote(
      1,
      {{"id", "roles"},
       {"base_revision", 1},
       {"changed", {{"engines", {{"e0", fleet_.EngineItem(0, "decode")}}}}}});
  ASSERT_TRUE(applied.ok()) << applied.body;
  EXPECT_TRUE(WaitFor(seconds(30), [this] {
    const HttpResponse state =
        SendRequest(fleet_.engine(0), "GET", "/v1/state");
    const Json json = Json::parse(state.body, nullptr, false);
    return json.is_object() && json["role"] == "decode" &&
           json["away"] == false;
  }));
  chats.Stop();
  EXPECT_EQ(chats.sent, chats.completed);
  const HttpResponse record = SendRequest(fleet_.engine(0), "GET", "/record");
  EXPECT_EQ(Json::parse(record.body)["streams_cut"], 0);
}

TEST_F(FailureTest, AcceptedStateSurvivesTheLossOfAllInstances) {
  const HttpResponse job =
      SendRequest(fleet_.entry(0), "POST", "/v1/jobs",
                  LocalFleet::ChatBody("manual", 400, false));
  ASSERT_EQ(job.status, 202) << job.body;
  const std::string path =
      "/v1/jobs/" + Json::parse(job.body)["id"].get<std::string>();
  ASSERT_TRUE(SendBooking(0, "k5").ok());
  for (int i = 0; i < kInstances; ++i) {
    fleet_.Kill("entry-" + std::to_string(i));
    fleet_.Kill("fleet-" + std::to_string(i));
    fleet_.MoveInstance(i);
  }
  fleet_.PublishInstances({0, 1, 2, 3});
  const Time restarted_at = BootClock::now();
  for (int i = 0; i < kInstances; ++i) fleet_.StartInstance(i);
  ASSERT_TRUE(WaitFor(seconds(10), [this] {
    return SendRequest(fleet_.entry(2), "POST", "/v1/chat/completions",
                       LocalFleet::ChatBody("hello", 2, false))
        .ok();
  }));
  RecordProperty("serving_again_ms",
                 std::to_string(ToMillis(BootClock::now() - restarted_at)));
  EXPECT_EQ(SendBooking(3, "k5").status, 200);
  EXPECT_EQ(fleet_.CountServiceEffects(), 1u);
  EXPECT_TRUE(WaitFor(seconds(30), [&] {
    const HttpResponse response = SendRequest(fleet_.entry(1), "GET", path);
    const Json json = Json::parse(response.body, nullptr, false);
    return response.ok() && json["status"] == "done";
  }));
}

TEST_F(FailureTest, PausedFleetProcessSendsNoOrderAfterItsLease) {
  // Each round pauses one fleet process, which may hold the engine's lease, in
  // the middle of a role change and resumes it afterwards.  The sequence
  // numbers of the orders that the engine received must never decrease.
  for (int round = 0; round < 2; ++round) {
    const std::string role = round % 2 == 0 ? "decode" : "mixed";
    const HttpResponse applied = fleet_.AddNote(
        round,
        {{"id", "round" + std::to_string(round)},
         {"base_revision", 1 + round},
         {"changed", {{"engines", {{"e1", fleet_.EngineItem(1, role)}}}}}});
    ASSERT_TRUE(applied.ok()) << applied.body;
    const std::string paused = "fleet-" + std::to_string(round + 2);
    fleet_.Signal(paused, SIGSTOP);
    EXPECT_TRUE(WaitFor(seconds(30), [&] {
      const HttpResponse state =
          SendRequest(fleet_.engine(1), "GET", "/v1/state");
      const Json json = Json::parse(state.body, nullptr, false);
      return json.is_object() && json["role"] == role;
    }));
    fleet_.Signal(paused, SIGCONT);
  }
  uint64_t last_sequence = 0;
  const HttpResponse record = SendRequest(fleet_.engine(1), "GET", "/record");
  const Json orders = Json::parse(record.body)["orders"];
  for (const Json& order : orders) {
    EXPECT_GE(order["sequence"].get<uint64_t>(), last_sequence);
    last_sequence = order["sequence"].get<uint64_t>();
  }
}

}  // namespace
}  // namespace corianderlink
