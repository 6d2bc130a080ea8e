// Detection of TCP peers that vanished without closing their connections, for
// example behind a network partition.
#ifndef CORIANDERLINK_HTTP_DEAD_PEER_DETECTION_H_
#define CORIANDERLINK_HTTP_DEAD_PEER_DETECTION_H_

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// A connection fails if sent data stays unacknowledged for this long, or if
/// its peer's receive window stays closed (see ClosedWindowWatch).
constexpr milliseconds kTcpUserTimeout{2000};
/// TCP keep-alive: time without traffic before the first probe, time between
/// probes, and number of unanswered probes after which a connection fails.
constexpr seconds kTcpKeepAliveIdle{2};
constexpr seconds kTcpKeepAliveInterval{1};
constexpr int kTcpKeepAliveProbes = 2;

/// Sets these limits on a TCP socket.  Does nothing if `fd` is negative.
void EnableDeadPeerDetection(int fd);
/// Sets TCP_USER_TIMEOUT; 0 stands for the kernel's own limits.
void SetUserTimeout(int fd, milliseconds timeout);

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_DEAD_PEER_DETECTION_H_
