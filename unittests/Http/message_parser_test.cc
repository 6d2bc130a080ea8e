// Tests of the limits of the parsers: what waits for its end is bounded.
#include "corianderlink/Http/message_parser.h"

#include <gtest/gtest.h>

#include <string>

namespace corianderlink {
namespace {

constexpr ParserLimits kLimits{4096, 64 * 1024};
// An endless line or section is sent in blocks of this size.
constexpr size_t kBlockBytes = 512;

const char kChunkedResponse[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const char kChunkedRequest[] =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A connection's input buffer and its parser.
template <typename Parser>
class Input {
 public:
  void Receive(const std::string& data) {
    unread_ += data;
    unread_.erase(0, parser_.Feed(unread_));
  }
  /// Receives copies of `block` until the parser fails, and returns the largest
  /// number of bytes that waited in the buffer.
  size_t ReceiveWithoutEnd(const std::string& block) {
    size_t most = 0;
    while (parser_.state() != ParseState::kFailed &&
           unread_.size() < 16 * kLimits.max_header_bytes) {
      Receive(block);
      most = std::max(most, unread_.size());
    }
    return most;
  }
  Parser& parser() { return parser_; }

 private:
  Parser parser_{kLimits};
  std::string unread_;
};

using ResponseInput = Input<ResponseParser>;
using RequestInput = Input<RequestParser>;

std::string FieldOfOneBlock() {
  const std::string name = "X-Trace: ";
  return name + std::string(kBlockBytes - name.size() - 2, 'j') + "\r\n";
}

// Guards against a process that exceeds its memory: a sender never ended the
// trailer section of its body, and all of it was kept.
TEST(MessageParserTest, TrailersWithoutEndOfAResponseFail) {
  ResponseInput input;
  input.Receive(std::string(kChunkedResponse) + "0\r\n");
  EXPECT_LE(input.ReceiveWithoutEnd(FieldOfOneBlock()),
            kLimits.max_header_bytes + kBlockBytes);
  EXPECT_EQ(input.parser().state(), ParseState::kFailed);
}

TEST(MessageParserTest, ChunkExtensionWithoutEndOfAResponseFails) {
  ResponseInput input;
  input.Receive(std::string(kChunkedResponse) + "3\r\nabc\r\n5;x=");
  EXPECT_LE(input.ReceiveWithoutEnd(std::string(kBlockBytes, 'j')),
            kLimits.max_header_bytes + kBlockBytes);
  EXPECT_EQ(input.parser().state(), ParseState::kFailed);
}

TEST(MessageParserTest, TrailersWithoutEndOfARequestFail) {
  RequestInput input;
  input.Receive(std::string(kChunkedRequest) + "0\r\n");
  EXPECT_LE(input.ReceiveWithoutEnd(FieldOfOneBlock()),
            kLimits.max_header_bytes + kBlockBytes);
  EXPECT_EQ(input.parser().state(), ParseState::kFailed);
  EXPECT_EQ(input.parser().rejection_status(), 413);
}

TEST(MessageParserTest, ChunkExtensionWithoutEndOfARequestFails) {
  RequestInput input;
  input.Receive(std::string(kChunkedRequest) + "5;x=");
  EXPECT_LE(input.ReceiveWithoutEnd(std::string(kBlockBytes, 'j')),
            kLimits.max_header_bytes + kBlockBytes);
  EXPECT_EQ(input.parser().state(), ParseState::kFailed);
  EXPECT_EQ(input.parser().rejection_status(), 413);
}

// The limit is for what has no end yet, not for the whole of a long body.
TEST(MessageParserTest, LongBodyWithExtensionsAndTrailersIsParsed) {
  ResponseInput input;
  input.Receive(kChunkedResponse);
  std::string body;
  while (body.size() < 8 * kLimits.max_header_bytes) {
    input.Receive("200;x=" + std::string(kBlockBytes, 'e') + "\r\n");
    input.Receive(std::string(kBlockBytes, 'b') + "\r\n");
    body += std::string(kBlockBytes, 'b');
  }
  input.Receive("0\r\n" + FieldOfOneBlock() + FieldOfOneBlock());
  EXPECT_EQ(input.parser().state(), ParseState::kBody);
  input.Receive("\r\n");
  EXPECT_EQ(input.parser().state(), ParseState::kDone);
  EXPECT_EQ(input.parser().body(), body);
}

// Guards against ids and signatures that come behind the body: they counted as
// the head's if all of a message was read at once, and doubled them.
TEST(MessageParserTest, TrailersOfARequestAreNoPartOfItsHead) {
  RequestInput input;
  input.Receive(std::string(kChunkedRequest) +
                "3\r\nabc\r\n0\r\nRequest-Id: other\r\n\r\n");
  EXPECT_EQ(input.parser().state(), ParseState::kDone);
  EXPECT_EQ(FindField(input.parser().head().fields, "Request-Id"), nullptr);
}

TEST(MessageParserTest, TrailersOfAResponseAreNoPartOfItsHead) {
  const std::string response =
      std::string(kChunkedResponse) + "0\r\nServer-Stamp: x\r\n\r\n";
  for (const size_t first : {response.size(), response.size() - 5}) {
    ResponseInput input;
    input.Receive(response.substr(0, first));
    input.Receive(response.substr(first));
    EXPECT_EQ(input.parser().state(), ParseState::kDone);
    EXPECT_EQ(FindField(input.parser().head().fields, "Server-Stamp"), nullptr);
  }
}

// Guards against an empty answer of status 0 from a peer that just closed.
TEST(MessageParserTest, EndBeforeTheEndOfAHeadIsNoMessage) {
  const std::string head = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n";
  for (size_t length = 0; length <= head.size(); ++length) {
    ResponseInput input;
    input.Receive(head.substr(0, length));
    input.parser().FeedEof();
    EXPECT_EQ(input.parser().state(),
              length == head.size() ? ParseState::kDone : ParseState::kFailed)
        << length;
  }
}

// The bytes of the next message are no part of this one.
TEST(MessageParserTest, PipelinedRequestsAreNoPartOfAMessage) {
  RequestInput input;
  const std::string next(4 * kLimits.max_header_bytes, 'n');
  input.Receive(std::string(kChunkedRequest) + "3\r\nabc\r\n0\r\n\r\n" + next);
  EXPECT_EQ(input.parser().state(), ParseState::kDone);
  EXPECT_EQ(input.parser().body(), "abc");
}

}  // namespace
}  // namespace corianderlink
