// Tests of where a response ends that ends with its connection: only if the
// connection ended in order is all of it there.
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>
#include <thread>
#include <vector>

#include "Http1/upstream_pool_fixture.h"

namespace corianderlink {
namespace {

// More than the kernel keeps of both directions on loopback.
constexpr size_t kLongUploadBytes = 32'000'000;
constexpr int kCalls = 20;
const char kHeadWithoutLength[] = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n";

/// Closing `fd` resets its connection.
void ResetOnClose(int fd) {
  const linger reset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

class ResponseEndTest : public UpstreamPoolTest {
 protected:
  /// A call whose upload cannot be written while the peer does not read it, as
  /// the peer does `then` after a part of its response.
  CallResult CallDuringUpload(Duration pause, const std::string& part,
                              const std::function<void(int)>& then) {
    RawTcpServer peer([&](int fd) {
      ReadUntil(fd, "\r\n\r\n");
      Write(fd, part);
      std::this_thread::sleep_for(pause);
      then(fd);
    });
    return Call(peer.address, "1", std::string(kLongUploadBytes, 'u'));
  }
  static void ExpectPartRefused(const CallResult& result) {
    EXPECT_FALSE(result.ended) << result.body.size() << " bytes";
    ASSERT_TRUE(result.failure);
    EXPECT_EQ(result.failure->verdict, Verdict::kMayHaveRun);
  }
};

// Guards against parts of answers that look complete: the write of an upload
// fetched the error of the reset, and the read that followed saw an end of
// file.
TEST_F(ResponseEndTest, ResetDuringAnUploadIsNoEnd) {
  for (int i = 0; i < kCalls; ++i) {
    const Duration pause = milliseconds(i % 4 * 10);
    ExpectPartRefused(CallDuringUpload(
        pause, kHeadWithoutLength + std::string(1200, 'x'), ResetOnClose));
  }
}

// The kernel resets a connection that is closed with input.
TEST_F(ResponseEndTest, CloseWithTheUploadUnreadIsNoEnd) {
  for (int i = 0; i < kCalls; ++i) {
    const Duration pause = milliseconds(i % 4 * 10);
    ExpectPartRefused(CallDuringUpload(
        pause, kHeadWithoutLength + std::string(1200, 'x'), [](int) {}));
  }
}

// Guards against parts of answers that look complete: a peer that ended its
// output before it had the whole request resets the connection afterwards.
TEST_F(ResponseEndTest, EndOfOutputBeforeTheWholeUploadIsNoEnd) {
  ExpectPartRefused(
      CallDuringUpload(milliseconds(10),
                       kHeadWithoutLength + std::string(1200, 'x'), [](int fd) {
                         shutdown(fd, SHUT_WR);
                         std::this_thread::sleep_for(milliseconds(50));
                       }));
}

// A response with a length, or in chunks, says itself that it is complete.
TEST_F(ResponseEndTest, FramedResponseBeforeTheWholeUploadIsComplete) {
  const std::vector<std::string> responses = {
      MakeResponse("1", "whole"),
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nwhole\r\n0\r\n\r\n"};
  for (const std::string& response : responses) {
    const CallResult result =
        CallDuringUpload(milliseconds(10), response, ResetOnClose);
    EXPECT_TRUE(result.ended);
    EXPECT_EQ(result.body, "whole");
  }
}

// What the kernel has received before the reset is read, however long it is.
TEST_F(ResponseEndTest, LongFramedResponseBeforeTheWholeUploadIsComplete) {
  const std::string body(40'000, 'b');
  const CallResult result =
      CallDuringUpload(milliseconds(0), MakeResponse("1", body), ResetOnClose);
  EXPECT_TRUE(result.ended);
  EXPECT_EQ(result.body.size(), body.size());
}

TEST_F(ResponseEndTest, CloseAfterTheWholeUploadIsTheEnd) {
  RawTcpServer peer([](int fd) {
    std::string received;
    std::vector<char> buffer(1 << 20);
    while (received.find("the end") == std::string::npos) {
      const ssize_t n = read(fd, buffer.data(), buffer.size());
      if (n <= 0) return;
      received.append(buffer.data(), static_cast<size_t>(n));
      received.erase(0,
                     received.size() - std::min<size_t>(16, received.size()));
    }
    Write(fd, kHeadWithoutLength + std::string(3006, 'x'));
  });
  const CallResult result =
      Call(peer.address, "1", std::string(kLongUploadBytes, 'u') + "the end");
  EXPECT_TRUE(result.ended);
  EXPECT_EQ(result.body.size(), 3006U);
}

}  // namespace
}  // namespace corianderlink
