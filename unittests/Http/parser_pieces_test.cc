// Tests that a message means the same in whatever pieces it arrives: a reader
// of pieces and a reader of the whole agree on head, body, end and refusal.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <type_traits>
#include <vector>

#include "Common/invalid_response_heads.h"
#include "Common/refused_framings.h"
#include "corianderlink/Http/message_parser.h"

namespace corianderlink {
namespace {

constexpr ParserLimits kLimits{4096, 64 * 1024};
constexpr uint32_t kSeed = 20261207;
constexpr int kCutsOfEach = 200;

/// What a reader concludes of a connection's bytes.
struct Reading {
  ParseState state = ParseState::kHead;
  size_t fields = 0;
  std::string body;
  size_t consumed = 0;
  bool operator==(const Reading&) const = default;
};

/// Of a refused message, whose head and body do not count.
Reading Refused() {
  Reading reading;
  reading.state = ParseState::kFailed;
  return reading;
}

/// Reads `bytes` in pieces that end at `cuts`, up to the end of the connection.
template <typename Parser>
Reading Read(const std::string& bytes, const std::vector<size_t>& cuts) {
  Parser parser(kLimits);
  Reading reading;
  std::string unread;
  size_t begin = 0;
  for (const size_t cut : cuts) {
    unread += bytes.substr(begin, cut - begin);
    begin = cut;
    const size_t used = parser.Feed(unread);
    reading.consumed += used;
    unread.erase(0, used);
  }
  if constexpr (std::is_same_v<Parser, ResponseParser>) parser.FeedEof();
  reading.state = parser.state();
  if (reading.state == ParseState::kFailed) return Refused();
  reading.fields = parser.head().fields.size();
  reading.body = parser.body();
  return reading;
}

/// Random places at which `size` bytes are cut; the last one is the end.
std::vector<size_t> CutAtRandom(size_t size, std::mt19937& random) {
  std::vector<size_t> cuts;
  const uint32_t step = 1 + random() % 40;
  for (size_t at = 1 + random() % step; at < size; at += 1 + random() % step) {
    cuts.push_back(at);
  }
  cuts.push_back(size);
  return cuts;
}

template <typename Parser>
void ExpectSameInPieces(const std::vector<std::string>& messages) {
  std::mt19937 random(kSeed);
  for (const std::string& message : messages) {
    const Reading whole = Read<Parser>(message, {message.size()});
    for (int i = 0; i < kCutsOfEach; ++i) {
      const auto cuts = CutAtRandom(message.size(), random);
      ASSERT_EQ(Read<Parser>(message, cuts), whole)
          << "seed " << kSeed << ": " << Readable(message);
    }
  }
}

const char* const kSoundEnds[] = {
    "Content-Length: 7\r\n\r\nabcdefg",
    "Content-Length: 7\r\n\r\nabcdefgPOST /next HTTP/1.1\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
    "Transfer-Encoding: Chunked\r\n\r\n7\r\nabcdefg\r\n0\r\nId: 2\r\n\r\nnext",
    "\r\n",
};

TEST(ParserPiecesTest, RequestsMeanTheSameInPieces) {
  std::vector<std::string> messages;
  for (const char* end : kSoundEnds) {
    messages.push_back(std::string("POST / HTTP/1.1\r\nHost: a\r\n") + end);
  }
  for (const RefusedFraming& framing : kRefusedFramings) {
    messages.push_back(std::string("POST / HTTP/") + framing.version +
                       "\r\nHost: a\r\n" + framing.fields +
                       "\r\n\r\n0\r\n\r\nPOST /inner HTTP/1.1\r\n\r\n");
    EXPECT_EQ(Read<RequestParser>(messages.back(), {messages.back().size()}),
              Refused())
        << framing.fields;
  }
  ExpectSameInPieces<RequestParser>(messages);
}

TEST(ParserPiecesTest, ResponsesMeanTheSameInPieces) {
  std::vector<std::string> messages;
  for (const char* end : kSoundEnds) {
    messages.push_back(std::string("HTTP/1.1 200 OK\r\nId: 1\r\n") + end);
  }
  messages.emplace_back("HTTP/1.1 200 OK\r\n\r\nup to the close");
  messages.emplace_back("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  messages.emplace_back("HTTP/1.1 204 No Content\r\n\r\n");
  for (const std::string& head : InvalidResponseHeads()) {
    messages.push_back(head + "xyz");
    EXPECT_EQ(Read<ResponseParser>(messages.back(), {messages.back().size()}),
              Refused())
        << Readable(head);
  }
  ExpectSameInPieces<ResponseParser>(messages);
}

}  // namespace
}  // namespace corianderlink
