// Tests of a fleet process that stops while it answers an administrator.
#include "corianderlink/Fleet/fleet_server.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>

#include "Common/fake_platform.h"
#include "Common/raw_tcp_client.h"

namespace corianderlink {
namespace {

class FleetServerTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string reason;
    ASSERT_TRUE(node_.Start(reason)) << reason;
    ASSERT_TRUE(server_.Start());
    ASSERT_TRUE(RunUntil(seconds(5), [this] {
      return node_.release().has_state() &&
             node_.MayAcceptNotes(BootClock::now());
    }));
  }

  static NodeSettings MakeSettings(const Address& platform) {
    NodeSettings settings;
    settings.deployment = "test";
    settings.instance = "i0";
    settings.platform = platform;
    settings.fleet.peer = FreeAddress();
    settings.fleet.admin = FreeAddress();
    settings.timing.instance_poll = milliseconds(20);
    settings.timing.store_poll = milliseconds(20);
    return settings;
  }

  bool RunUntil(Duration limit, const std::function<bool()>& condition) {
    const Time end = BootClock::now() + limit;
    const EventHandle poll = loop_.Every(milliseconds(2), [&] {
      if (condition() || BootClock::now() >= end) loop_.Stop();
    });
    loop_.Run();
    return condition();
  }

  int SubmitNote() const {
    const std::string body =
        R"({"id": "n1", "base_revision": 0,)"
        R"( "added": {"models": {"m": {"weights": "m@1"}}}})";
    const std::string request =
        "POST /v1/notes HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    const int fd = ConnectTo(node_.settings().fleet.admin);
    EXPECT_EQ(send(fd, request.data(), request.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(request.size()));
    return fd;
  }

  static std::string Receive(int fd) {
    char buffer[4096];
    const ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    return {buffer, static_cast<size_t>(std::max<ssize_t>(n, 0))};
  }

  EventLoop loop_;
  FakePlatform platform_{loop_};
  Node node_{loop_, MakeSettings(platform_.address), NodeKind::kFleet,
             std::nullopt, "token"};
  FleetServer server_{node_};
};

// Guards against an end during a commit, which leaves the operator in doubt.
TEST_F(FleetServerTest, NoteThatIsBeingCommittedIsAnsweredInAPlannedStop) {
  platform_.holds_answer = [](const TableTransaction& txn) {
    return !txn.writes.empty() &&
           txn.writes.front().key.rfind("release/", 0) == 0;
  };
  const int note = SubmitNote();
  ASSERT_TRUE(RunUntil(seconds(5), [this] {
    return platform_.held_answers() > 0;
  })) << Receive(note);
  server_.BeginStop();
  const EventHandle release = loop_.After(
      milliseconds(400), [this] { platform_.ReleaseHeldAnswers(); });
  loop_.Run();
  const std::string answer = Receive(note);
  EXPECT_EQ(answer.find("HTTP/1.1 200"), 0U) << answer;
  close(note);
}

TEST_F(FleetServerTest, NoteIsRefusedInAPlannedStop) {
  server_.BeginStop();
  const int note = SubmitNote();
  loop_.Run();
  const std::string answer = Receive(note);
  EXPECT_EQ(answer.find("HTTP/1.1 503"), 0U) << answer;
  EXPECT_NE(answer.find("not run"), std::string::npos) << answer;
  close(note);
}

}  // namespace
}  // namespace corianderlink
