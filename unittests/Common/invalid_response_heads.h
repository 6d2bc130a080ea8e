// Heads of responses that are none, for the tests of all clients.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_INVALID_RESPONSE_HEADS_H_
#define CORIANDERLINK_UNITTESTS_COMMON_INVALID_RESPONSE_HEADS_H_

#include <string>
#include <vector>

namespace corianderlink {

/// The request id that the heads bear, in the field Id.
inline constexpr char kNamedId[] = "1";

/// Each is a head up to its empty line, with the field Id.  A body of three
/// bytes follows; a reader that takes a head for one finds some end to it.
inline std::vector<std::string> InvalidResponseHeads() {
  const std::string id = std::string("Id: ") + kNamedId + "\r\n";
  const std::string length = "Content-Length: 3\r\n";
  std::vector<std::string> heads;
  // Status codes have three digits, from 100 on; nothing asked for another
  // protocol.
  for (const char* line :
       {"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 abc OK", "HTTP/1.1 -20 OK", "HTTP/1.1 ",
        "HTTP/2.0 200 OK", "HTTQ/1.1 200 OK",
        "HTTP/1.1 101 Switching Protocols"}) {
    heads.push_back(std::string(line) + "\r\n" + id + length + "\r\n");
    heads.push_back(std::string(line) + "\r\n" + id + "Connection: close\r\n" +
                    length + "\r\n");
  }
  // The name of a field is a token, its value holds no control characters.
  const std::string begin = "HTTP/1.1 200 OK\r\n" + id;
  for (const std::string& field :
       {std::string("Bad Name: 1"), std::string("Bad\tName: 1"),
        std::string("Bad\0Name: 1", 11), std::string("Bad\x01Name: 1"),
        std::string("Bad\xE9Name: 1"), std::string("Name : 1"),
        std::string(": 1"), std::string("NoColon"), std::string("X: a\0b", 6),
        std::string("X: a\x01z"), std::string("X: a\rContent-Length: 1")}) {
    heads.push_back(begin + length + field + "\r\n\r\n");
    heads.push_back(begin + field + "\r\n" + length + "\r\n");
  }
  // RFC 9112, sections 6.1 to 6.3: the end is not known, or a coding would have
  // to be removed.
  for (const char* fields :
       {"Content-Length : 3", "Content-Length: 3\r\nContent-Length: 2",
        "Content-Length: +3", "Content-Length: 3x",
        "Content-Length: ", "Content-Length: -1", "Transfer-Encoding : chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: identity", "Transfer-Encoding: xchunked",
        "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: \"chunked\"", "Transfer-Encoding: ",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"}) {
    heads.push_back(begin + fields + "\r\n\r\n");
    heads.push_back(begin + "Connection: close\r\n" + fields + "\r\n\r\n");
  }
  // HTTP/1.0 has no transfer codings.
  heads.push_back("HTTP/1.0 200 OK\r\n" + id +
                  "Transfer-Encoding: chunked\r\n\r\n");
  return heads;
}

/// `head` with its control characters written out.
inline std::string Readable(const std::string& head) {
  std::string text;
  for (const char c : head) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = byte >= 0x20 && byte < 0x7F;
    text += plain ? std::string(1, c) : "<" + std::to_string(byte) + ">";
  }
  return text;
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_INVALID_RESPONSE_HEADS_H_
