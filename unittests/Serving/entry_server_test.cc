// Tests of an entry that stops while a client has yet to read its answer.
#include "corianderlink/Serving/entry_server.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "Common/raw_tcp_client.h"
#include "Serving/entry_harness.h"

namespace corianderlink {
namespace {

constexpr size_t kAnswerBytes = 16 * 1024 * 1024;

/// Connects with a small receive buffer and sends `request`.
int SendAsSlowReader(const Address& address, const std::string& request) {
  constexpr int kBufferBytes = 4096;
  const int fd = ConnectTo(address, kBufferBytes);
  const ssize_t n = send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  (void)n;
  return fd;
}

size_t CountBytesUntilEnd(int fd, size_t limit) {
  size_t received = 0;
  std::string buffer(64 * 1024, '\0');
  while (received < limit) {
    const ssize_t n = read(fd, buffer.data(), buffer.size());
    if (n <= 0) break;
    received += static_cast<size_t>(n);
  }
  return received;
}

std::string ReadUntilEnd(int fd) {
  std::string text;
  char buffer[4096];
  ssize_t n = 0;
  while ((n = read(fd, buffer, sizeof(buffer))) > 0) {
    text.append(buffer, static_cast<size_t>(n));
  }
  return text;
}

/// An entry whose client has sent a call that a worker answers at length.
class EntryServerTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(server_->Start());
    const Address worker = FreeAddress();
    ASSERT_TRUE(worker_.Listen(worker));
    DesiredState state;
    state.revision = 1;
    state.items.services[ServiceId("s")].workers = {worker};
    EngineSpec engine;
    engine.address = FreeAddress();
    engine.models = {ModelId("m")};
    state.items.engines[EngineId("e0")] = engine;
    entry_.node.release().ApplyState(state);
    entry_.node.signal_state_changed.emit();
    client_ =
        SendAsSlowReader(entry_.node.settings().entry.listen,
                         "GET /v1/services/s/x HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(entry_.RunUntil(seconds(5), [this] { return answered_; }));
  }

  static TimingSettings ShortKeep() {
    TimingSettings timing;
    timing.directory_keep = milliseconds(10);
    return timing;
  }

  EntryHarness entry_{RequestSettings{}, LimitSettings{}, ShortKeep()};
  std::unique_ptr<EntryServer> server_ =
      std::make_unique<EntryServer>(entry_.node);
  bool answered_ = false;
  HttpServer worker_{entry_.loop, {}, [this](const Node::Exchange& exchange) {
                       answered_ = true;
                       if (exchange->path() == "/held") {
                         held_ = exchange;
                         return;
                       }
                       exchange->Reply(200, "text/plain",
                                       std::string(kAnswerBytes, 'x'));
                     }};
  Node::Exchange held_;
  int client_ = -1;
};

TEST_F(EntryServerTest, AnswerThatAClientHasYetToReadSurvivesAPlannedStop) {
  server_->BeginStop();
  size_t received = 0;
  std::thread reader([&] {
    std::this_thread::sleep_for(seconds(2));
    received = CountBytesUntilEnd(client_, kAnswerBytes);
  });
  entry_.loop.Run();
  server_.reset();
  reader.join();
  close(client_);
  EXPECT_GE(received, kAnswerBytes);
}

// Guards against requests that are taken late in a planned stop: steady traffic
// on open connections kept the process until it was killed, with calls in
// progress.
TEST_F(EntryServerTest, LateRequestIsRefusedInAPlannedStop) {
  const Address address = entry_.node.settings().entry.listen;
  const int late =
      SendAsSlowReader(address, "GET /v1/services/s/x HTTP/1.1\r\n");
  entry_.RunUntil(milliseconds(100), [] { return false; });
  server_->BeginStop();
  // No client knows the address from then on.
  entry_.RunUntil(milliseconds(1050), [] { return false; });
  answered_ = false;
  const std::string rest = "Host: h\r\n\r\n";
  ASSERT_EQ(send(late, rest.data(), rest.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(rest.size()));
  entry_.RunUntil(milliseconds(200), [this] { return answered_; });
  char buffer[4096];
  const ssize_t n = recv(late, buffer, sizeof(buffer), MSG_DONTWAIT);
  const std::string answer(buffer,
                           static_cast<size_t>(std::max<ssize_t>(n, 0)));
  EXPECT_EQ(answer.find("HTTP/1.1 503"), 0U) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  EXPECT_FALSE(answered_);
  close(late);
  close(client_);
}

// Guards against an end during a commit, which leaves the client in doubt.
TEST_F(EntryServerTest, JobThatIsBeingCommittedIsAnsweredInAPlannedStop) {
  close(client_);
  entry_.platform.holds_answer = [](const TableTransaction&) { return true; };
  server_->BeginStop();
  // The address expires 1,010 ms after the stop began.
  entry_.RunUntil(milliseconds(900), [] { return false; });
  const std::string body = EntryHarness::Body(1);
  const int job =
      SendAsSlowReader(entry_.node.settings().entry.listen,
                       "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
  const EventHandle release = entry_.loop.After(
      milliseconds(400), [this] { entry_.platform.ReleaseHeldAnswers(); });
  entry_.loop.Run();
  server_.reset();
  const std::string answer = ReadUntilEnd(job);
  EXPECT_EQ(answer.find("HTTP/1.1 202"), 0U) << answer;
  close(job);
}

// Guards against an end during a body, which leaves the client in doubt.
TEST_F(EntryServerTest, RequestThatIsSentSlowlyIsAnsweredInAPlannedStop) {
  close(client_);
  server_->BeginStop();
  entry_.RunUntil(milliseconds(900), [] { return false; });
  const int slow =
      SendAsSlowReader(entry_.node.settings().entry.listen,
                       "POST /v1/services/s/x HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 2\r\n\r\nx");
  const EventHandle rest = entry_.loop.After(milliseconds(600), [slow] {
    EXPECT_EQ(send(slow, "x", 1, MSG_NOSIGNAL), 1);
  });
  entry_.loop.Run();
  server_.reset();
  const std::string answer = ReadUntilEnd(slow);
  EXPECT_EQ(answer.find("HTTP/1.1 503"), 0U) << answer;
  EXPECT_NE(answer.find("not run"), std::string::npos) << answer;
  close(slow);
}

// Guards against a next request on a connection that the process then closes.
TEST_F(EntryServerTest, RequestFromBeforeAPlannedStopEndsItsConnection) {
  close(client_);
  answered_ = false;
  const int call =
      SendAsSlowReader(entry_.node.settings().entry.listen,
                       "GET /v1/services/s/held HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(entry_.RunUntil(seconds(5), [this] { return held_ != nullptr; }));
  server_->BeginStop();
  held_->Reply(200, "text/plain", "x");
  entry_.RunUntil(milliseconds(200), [] { return false; });
  char buffer[4096];
  const ssize_t n = recv(call, buffer, sizeof(buffer), MSG_DONTWAIT);
  const std::string answer(buffer,
                           static_cast<size_t>(std::max<ssize_t>(n, 0)));
  EXPECT_EQ(answer.find("HTTP/1.1 200"), 0U) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  close(call);
}

TEST_F(EntryServerTest, ClientThatLeftDelaysNoPlannedStop) {
  server_->BeginStop();
  const Time began = BootClock::now();
  close(client_);
  entry_.loop.Run();
  EXPECT_LT(BootClock::now() - began, seconds(5));
}

TEST_F(EntryServerTest, ClientThatLeftWithinItsRequestDelaysNoPlannedStop) {
  close(client_);
  const int partial = SendAsSlowReader(entry_.node.settings().entry.listen,
                                       "POST /v1/services/s/x HTTP/1.1\r\n"
                                       "Content-Length: 2\r\n\r\nx");
  entry_.RunUntil(milliseconds(100), [] { return false; });
  server_->BeginStop();
  const Time began = BootClock::now();
  close(partial);
  entry_.loop.Run();
  EXPECT_LT(BootClock::now() - began, seconds(5));
}

}  // namespace
}  // namespace corianderlink
