// Tests of the server against clients that send arbitrary bytes.
#include <string>

#include "Http/http_server_fixture.h"

namespace corianderlink {
namespace {

const char kChunkedPost[] =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a request that is never read: after the first request the
// limit for early data stayed on the connection.
TEST_F(HttpServerTest, LongBodyOnAKeptConnectionIsRead) {
  const RawClient client(address_);
  const std::string body(200 * 1024, 'b');
  for (size_t i = 1; i <= 3; ++i) {
    SendAll(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    RunFor(milliseconds(50));
    ASSERT_EQ(bodies_.size(), i);
    EXPECT_EQ(bodies_.back(), body);
    EXPECT_NE(client.Receive().find(" 200 "), std::string::npos);
  }
}

// Guards against a process that exceeds its memory: a client never ended the
// header line of a chunk, or its trailers, and all of it was kept.
TEST_F(HttpServerTest, ChunkHeaderAndTrailersWithoutEndAreNotKept) {
  // What the sockets hold, and the server's buffer.
  constexpr size_t kMostBytes = 12 * 1024 * 1024;
  const std::string block(256 * 1024, 'j');
  for (const char* begin : {"5;x=", "0\r\nX-Trace: "}) {
    const RawClient client(address_);
    client.Send(std::string(kChunkedPost) + begin);
    EXPECT_LT(SendWithoutEnd(client, block, seconds(2)), kMostBytes) << begin;
  }
  EXPECT_TRUE(bodies_.empty());
}

// Guards against a smuggled request: the body of a malformed request was read
// as a request of its own after the answer to the first one.
TEST_F(HttpServerTest, BodyOfAMalformedRequestIsNotARequest) {
  const RawClient client(address_);
  const std::string inner_body(6000, 'x');
  SendAll(client, std::string(kChunkedPost) +
                      "POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                      std::to_string(inner_body.size()) + "\r\n\r\n" +
                      inner_body);
  RunFor(milliseconds(50));
  EXPECT_TRUE(bodies_.empty());
}

// Guards against a next request on a connection that the process then closes.
TEST_F(HttpServerTest, StreamFromBeforeAStopEndsItsConnection) {
  std::shared_ptr<HttpExchange> stream;
  HttpServer server(
      loop_, {}, [&](const std::shared_ptr<HttpExchange>& e) { stream = e; });
  const Address address = FreeAddress();
  ASSERT_TRUE(server.Listen(address));
  const int fd = ConnectTo(address);
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  ASSERT_EQ(send(fd, request.data(), request.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(request.size()));
  RunFor(milliseconds(50));
  ASSERT_TRUE(stream);
  stream->StartStream(200, "text/plain");
  server.CloseAfterAnswers();
  EXPECT_EQ(server.unanswered_requests(), 1U);
  stream->SendChunk("x");
  stream->EndStream();
  RunFor(milliseconds(50));
  EXPECT_EQ(server.unanswered_requests(), 0U);
  std::string answer;
  char buffer[4096];
  ssize_t n = 0;
  while ((n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
    answer.append(buffer, static_cast<size_t>(n));
  }
  EXPECT_EQ(n, 0) << "the connection is open";
  EXPECT_EQ(answer.substr(answer.size() - 5), "0\r\n\r\n");
  close(fd);
}

}  // namespace
}  // namespace corianderlink
