// A server that answers each request, and clients that send arbitrary bytes.
#ifndef CORIANDERLINK_UNITTESTS_HTTP_HTTP_SERVER_FIXTURE_H_
#define CORIANDERLINK_UNITTESTS_HTTP_HTTP_SERVER_FIXTURE_H_

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Common/free_address.h"
#include "Common/raw_tcp_client.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_server.h"

namespace corianderlink {

/// Non-blocking connection to a server on the loop of the same thread.
class RawClient {
 public:
  explicit RawClient(const Address& to) : fd_(ConnectTo(to)) {
    fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~RawClient() { close(fd_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  /// Returns how many bytes the kernel has taken.
  size_t Send(std::string_view text) const {
    const ssize_t n = send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    return n < 0 ? 0 : static_cast<size_t>(n);
  }
  std::string Receive() const {
    std::string text;
    char buffer[4096];
    ssize_t n = 0;
    while ((n = read(fd_, buffer, sizeof(buffer))) > 0) {
      text.append(buffer, static_cast<size_t>(n));
    }
    return text;
  }

 private:
  const int fd_;
};

class HttpServerTest : public ::testing::Test {
 protected:
  HttpServerTest() : address_(FreeAddress()) {
    EXPECT_TRUE(server_.Listen(address_));
  }
  void RunFor(Duration duration) {
    const EventHandle stop = loop_.After(duration, [this] { loop_.Stop(); });
    loop_.Run();
  }
  /// Sends all of `text` while the server runs, for 2 s at most.
  void SendAll(const RawClient& client, const std::string& text) {
    size_t sent = 0;
    for (int i = 0; i < 200 && sent < text.size(); ++i) {
      sent += client.Send(std::string_view{text}.substr(sent));
      RunFor(milliseconds(10));
    }
  }
  /// Sends `block` again and again for that long; returns the bytes taken.
  size_t SendWithoutEnd(const RawClient& client, const std::string& block,
                        Duration duration) {
    const Time end = BootClock::now() + duration;
    size_t sent = 0;
    while (BootClock::now() < end) {
      sent += client.Send(block);
      RunFor(milliseconds(1));
    }
    return sent;
  }

  EventLoop loop_;
  Address address_;
  std::vector<std::string> bodies_;
  HttpServer server_{loop_,
                     {16 * 1024, 256 * 1024, 20},
                     [this](const std::shared_ptr<HttpExchange>& exchange) {
                       bodies_.push_back(exchange->body());
                       exchange->Reply(200, "", "done");
                     }};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_HTTP_HTTP_SERVER_FIXTURE_H_
