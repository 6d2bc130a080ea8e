// An InboundConnection whose client is the other end of a socket pair.
#ifndef CORIANDERLINK_UNITTESTS_HTTP_INBOUND_CONNECTION_FIXTURE_H_
#define CORIANDERLINK_UNITTESTS_HTTP_INBOUND_CONNECTION_FIXTURE_H_

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "corianderlink/Http/inbound_connection.h"

namespace corianderlink {

using Exchange = std::shared_ptr<InboundExchange>;

// Of the bodies of all requests.
constexpr uint64_t kCapacityBytes = 100'000;

class InboundConnectionTest : public ::testing::Test {
 protected:
  InboundConnectionTest() {
    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds_);
    connection_ = std::make_unique<InboundConnection>(context_, fds_[0]);
  }
  ~InboundConnectionTest() override { CloseClientSocket(); }

  void Send(const std::string& text) {
    ASSERT_EQ(write(fds_[1], text.data(), text.size()),
              static_cast<ssize_t>(text.size()));
  }
  void CloseClientSocket() {
    if (fds_[1] >= 0) close(fds_[1]);
    fds_[1] = -1;
  }
  void RunFor(Duration duration) {
    const EventHandle stop = loop_.After(duration, [this] { loop_.Stop(); });
    loop_.Run();
  }
  /// Runs the loop for a while and returns what the client received.
  std::string Receive(Duration time = milliseconds(30)) {
    RunFor(time);
    std::string text;
    char buffer[4096];
    ssize_t n = 0;
    while ((n = read(fds_[1], buffer, sizeof(buffer))) > 0) {
      text.append(buffer, static_cast<size_t>(n));
    }
    return text;
  }

  EventLoop loop_;
  InboundLimits limits_{1024, 4096, milliseconds(60), milliseconds(500)};
  bool shutting_down_ = false;
  bool closed_ = false;
  std::vector<Exchange> requests_;
  std::vector<std::string> malformed_;
  std::function<void(Exchange)> on_request_ = [this](Exchange exchange) {
    requests_.push_back(std::move(exchange));
  };
  std::function<void()> on_rejected_;
  std::shared_ptr<RequestMemory> memory_ =
      std::make_shared<RequestMemory>(kCapacityBytes);
  InboundContext context_{
      loop_,
      limits_,
      shutting_down_,
      [this](Exchange exchange) { on_request_(std::move(exchange)); },
      [this](InboundConnection*) {
        closed_ = true;
        std::shared_ptr<InboundConnection> owned = std::move(connection_);
        loop_.Post([owned] {});
      },
      [this](const std::string& reason) {
        malformed_.push_back(reason);
        if (on_rejected_) on_rejected_();
      },
      memory_};
  int fds_[2] = {-1, -1};
  std::unique_ptr<InboundConnection> connection_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_HTTP_INBOUND_CONNECTION_FIXTURE_H_
