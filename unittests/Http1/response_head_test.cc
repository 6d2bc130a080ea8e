// Tests that a head that is no HTTP is taken for no answer, and that the call
// ends at once.
#include <string>

#include "Common/invalid_response_heads.h"
#include "Http1/upstream_pool_fixture.h"

namespace corianderlink {
namespace {

// Less than any deadline of a request, and than the fixture's limit.
constexpr Duration kMaxWait = seconds(1);

class ResponseHeadTest : public UpstreamPoolTest {
 protected:
  /// A call whose peer keeps the connection open after its response.
  CallResult CallAnsweredBy(const std::string& response) {
    RawTcpServer peer([&](int fd) {
      ReadUntil(fd, "\r\n\r\n");
      Write(fd, response);
      ReadUntil(fd, "until the client closes");
    });
    CallResult result = Call(peer.address, kNamedId);
    if (!result.failure && !result.ended) call_->Cancel();
    pool_.CloseIdleConnections(peer.address);
    RunFor(milliseconds(1));
    return result;
  }
};

// Guards against heads that are no HTTP and are taken for answers, and against
// callers that wait for their whole deadline: a status below 100 counted as an
// interim response.
TEST_F(ResponseHeadTest, WhatIsNoHttpFailsAtOnce) {
  for (const std::string& head : InvalidResponseHeads()) {
    SCOPED_TRACE(Readable(head));
    const Time start = BootClock::now();
    const CallResult result = CallAnsweredBy(head + "xyz");
    EXPECT_LT(BootClock::now() - start, kMaxWait);
    EXPECT_FALSE(result.ended);
    EXPECT_EQ(result.body, "");
    EXPECT_TRUE(result.failure);
    if (result.failure) {
      EXPECT_EQ(result.failure->verdict, Verdict::kMayHaveRun);
    }
  }
}

// Guards against callers that wait for their whole deadline: the length of a
// response to HEAD is that of a body that does not come.
TEST_F(ResponseHeadTest, ResponseToHeadHasNoBody) {
  method_ = "HEAD";
  for (const char* field :
       {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    SCOPED_TRACE(field);
    const CallResult result = CallAnsweredBy(
        std::string("HTTP/1.1 200 OK\r\nId: 1\r\n") + field + "\r\n");
    EXPECT_TRUE(result.ended);
    EXPECT_EQ(result.body, "");
  }
}

TEST_F(ResponseHeadTest, InterimResponsesAreSkipped) {
  const CallResult result = CallAnsweredBy(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n" +
      MakeResponse(kNamedId, "whole"));
  EXPECT_TRUE(result.ended);
  EXPECT_EQ(result.body, "whole");
}

}  // namespace
}  // namespace corianderlink
