// Tests that the client takes for an answer only what is one, whole and with
// the head that its peer sent.
#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

#include "Common/invalid_response_heads.h"
#include "Common/raw_tcp_server.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_client.h"

namespace corianderlink {
namespace {

// More than the kernel keeps of both directions on loopback.
constexpr size_t kLongUploadBytes = 32'000'000;
// Less than the time limit of the calls.
constexpr Duration kMaxWait = seconds(1);

void Write(int fd, const std::string& text) {
  const ssize_t n = write(fd, text.data(), text.size());
  (void)n;
}

/// Reads up to the end of a head.
void ReadHead(int fd) {
  std::string text;
  char byte = 0;
  while (text.find("\r\n\r\n") == std::string::npos && read(fd, &byte, 1) > 0) {
    text += byte;
  }
}

struct Answer {
  HttpResponse response;
  /// What was delivered before the end.
  std::string chunks;
};

/// One call of a peer that writes `answer` once it has the request's head, and
/// then does `then`.
class HttpAnswerTest : public ::testing::TestWithParam<bool> {
 protected:
  Answer Call(const std::string& answer, const std::string& body,
              const std::function<void(int)>& then) const {
    RawTcpServer peer([&](int fd) {
      ReadHead(fd);
      Write(fd, answer);
      then(fd);
    });
    EventLoop loop;
    HttpClient client(loop);
    HttpRequest request;
    request.address = peer.address;
    request.method = method_;
    request.body = body;
    request.timeout = seconds(3);
    Answer result;
    HttpClient::ChunkCallback on_chunk;
    if (GetParam()) {
      on_chunk = [&](int, const std::string& chunk) { result.chunks += chunk; };
    }
    client.Start(
        request,
        [&](const HttpResponse& response) {
          result.response = response;
          loop.Stop();
        },
        on_chunk);
    loop.Run();
    const EventHandle end = loop.After(milliseconds(1), [&] { loop.Stop(); });
    loop.Run();
    return result;
  }
  std::string method_ = "POST";

  /// A call whose peer keeps the connection open.
  Answer CallAnsweredBy(const std::string& answer) const {
    return Call(answer, "", [](int fd) { ReadToEnd(fd); });
  }
  /// The whole body, however it was delivered.
  static std::string BodyOf(const Answer& answer) {
    return answer.chunks + answer.response.body;
  }
};

// Guards against heads that are no HTTP and are taken for answers: evhttp takes
// any bytes before a colon for a name and any three digits for a status, and
// reads a body by the first length that it finds.
TEST_P(HttpAnswerTest, WhatIsNoHttpFailsAtOnce) {
  for (const std::string& head : InvalidResponseHeads()) {
    SCOPED_TRACE(Readable(head));
    const Time start = BootClock::now();
    const Answer answer = CallAnsweredBy(head + "xyz");
    EXPECT_LT(BootClock::now() - start, kMaxWait);
    EXPECT_EQ(answer.response.outcome.verdict, Verdict::kMayHaveRun);
    EXPECT_EQ(answer.response.status, 0);
    EXPECT_EQ(BodyOf(answer), "");
  }
}

// Guards against answers made of two: evhttp ends with an interim response, and
// gives its fields to the final one.
TEST_P(HttpAnswerTest, InterimResponsesAreSkippedWithTheirFields) {
  const Answer answer = CallAnsweredBy(
      "HTTP/1.1 100 Continue\r\nX-First: 1\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
  EXPECT_EQ(answer.response.status, 200);
  EXPECT_EQ(BodyOf(answer), "whole");
  EXPECT_EQ(answer.response.Header("X-First"), "");
}

// Guards against calls that wait for their whole time limit: the length of an
// answer to HEAD is that of a body that does not come.
TEST_P(HttpAnswerTest, AnswerToHeadHasNoBody) {
  method_ = "HEAD";
  for (const char* field :
       {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    SCOPED_TRACE(field);
    const Answer answer =
        CallAnsweredBy("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" +
                       std::string(field) + "\r\n");
    EXPECT_EQ(answer.response.status, 200);
    EXPECT_EQ(BodyOf(answer), "");
  }
}

TEST_P(HttpAnswerTest, TrailersAreNoPartOfTheHead) {
  const Answer answer = CallAnsweredBy(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nwhole\r\n0\r\nX-Trailer: 1\r\n\r\n");
  EXPECT_EQ(answer.response.status, 200);
  EXPECT_EQ(BodyOf(answer), "whole");
  EXPECT_EQ(answer.response.Header("X-Trailer"), "");
}

// Guards against an empty body in place of the peer's: without a length, evhttp
// reads one only if the field Connection is absent or "close".
TEST_P(HttpAnswerTest, BodyWithoutLengthIsReadWhateverConnectionSays) {
  for (const char* field :
       {"", "Connection: close\r\n", "Connection: keep-alive\r\n",
        "Connection: close, x\r\n"}) {
    SCOPED_TRACE(field);
    const Answer answer =
        Call(std::string("HTTP/1.1 200 OK\r\n") + field + "\r\nwhole", "",
             [](int) {});
    EXPECT_EQ(answer.response.status, 200);
    EXPECT_EQ(BodyOf(answer), "whole");
  }
}

// Guards against parts of answers that look complete.
TEST_P(HttpAnswerTest, EndDuringAnUploadIsNoEndOfABodyWithoutLength) {
  const std::vector<std::function<void(int)>> ends = {
      [](int) {},
      [](int fd) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      },
      [](int fd) {
        shutdown(fd, SHUT_WR);
        std::this_thread::sleep_for(milliseconds(50));
      }};
  // The second one is taken by the kernel as a whole.
  for (const size_t upload_bytes : {kLongUploadBytes, size_t{600'000}}) {
    for (size_t i = 0; i < 4 * ends.size(); ++i) {
      SCOPED_TRACE(i);
      const Answer answer = Call(
          "HTTP/1.1 200 OK\r\n\r\npart", std::string(upload_bytes, 'u'),
          [&](int fd) {
            std::this_thread::sleep_for(milliseconds(i / ends.size() * 10));
            ends[i % ends.size()](fd);
          });
      EXPECT_EQ(answer.response.outcome.verdict, Verdict::kMayHaveRun);
      EXPECT_FALSE(answer.response.ok());
    }
  }
}

INSTANTIATE_TEST_SUITE_P(WholeAndByChunks, HttpAnswerTest, ::testing::Bool());

}  // namespace
}  // namespace corianderlink
