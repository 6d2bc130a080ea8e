// Heads of requests whose end is not known, for the tests of all servers.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_REFUSED_FRAMINGS_H_
#define CORIANDERLINK_UNITTESTS_COMMON_REFUSED_FRAMINGS_H_

namespace corianderlink {

/// Fields of a request, and the status of its refusal.
struct RefusedFraming {
  const char* fields;
  const char* status;
  const char* version = "1.1";
};

// RFC 9112, sections 6.1 and 6.3.
inline constexpr RefusedFraming kRefusedFramings[] = {
    // The final coding is not chunked: the length is not known.
    {"Transfer-Encoding: identity", "400"},
    {"Transfer-Encoding: gzip", "400"},
    {"Transfer-Encoding: xchunked", "400"},
    {"Transfer-Encoding: chunked, identity", "400"},
    {"Transfer-Encoding: chunked, gzip", "400"},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity", "400"},
    {"Transfer-Encoding: identity\r\nTransfer-Encoding: gzip", "400"},
    // No coding, or no name of one.
    {"Transfer-Encoding:", "400"},
    {"Transfer-Encoding: ,", "400"},
    {"Transfer-Encoding: \"chunked\"", "400"},
    {"Transfer-Encoding: chunked;q=1", "400"},
    {"Transfer-Encoding: chunked chunked", "400"},
    // A coding may be applied once.
    {"Transfer-Encoding: chunked, chunked", "400"},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "400"},
    // Both a coding and a length.
    {"Transfer-Encoding: xchunked\r\nContent-Length: 5", "400"},
    {"Content-Length: 5\r\nTransfer-Encoding: identity", "400"},
    {"Transfer-Encoding: chunked\r\nContent-Length: 5", "400"},
    {"Content-Length: 5\r\nTransfer-Encoding: chunked", "400"},
    // Lengths that are none, or not one.
    {"Content-Length: 5\r\nContent-Length: 6", "400"},
    {"Content-Length: +5", "400"},
    {"Content-Length: 5, 6", "400"},
    {"Content-Length: 0x5", "400"},
    {"Content-Length: ", "400"},
    {"Content-Length : 5", "400"},
    // HTTP/1.0 has no transfer codings.
    {"Transfer-Encoding: chunked", "400", "1.0"},
    {"Transfer-Encoding: identity", "400", "1.0"},
    // Codings that would have to be removed before the body is passed on.
    {"Transfer-Encoding: gzip, chunked", "501"},
    {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", "501"},
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_REFUSED_FRAMINGS_H_
