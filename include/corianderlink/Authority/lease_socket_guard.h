// Resets the sockets that carry orders when the lease of their sender expires.
//
// Needed for engines that do not check fencing tokens.  A POSIX timer on
// CLOCK_BOOTTIME is set to the end of the lease.  Its signal handler replaces
// the socket's descriptor by one whose peer is closed.  If the process was
// stopped while its lease expired, the thread runs the handler before any other
// instruction after it continues.  SO_LINGER with a time of 0 makes the kernel
// discard bytes that were written but not delivered.  No handler runs while the
// process is stopped, so TCP_USER_TIMEOUT limits how long undelivered bytes may
// stay in transit; the guard time of the next holder has to be longer than
// that.
#ifndef CORIANDERLINK_AUTHORITY_LEASE_SOCKET_GUARD_H_
#define CORIANDERLINK_AUTHORITY_LEASE_SOCKET_GUARD_H_

#include <optional>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// At most one instance per process.  It must be created and used by the thread
/// that writes to the sockets.
class LeaseSocketGuard {
 public:
  LeaseSocketGuard();
  ~LeaseSocketGuard();
  LeaseSocketGuard(const LeaseSocketGuard&) = delete;
  LeaseSocketGuard& operator=(const LeaseSocketGuard&) = delete;

  /// Allows writes on `fd` until `lease_end`; the kernel discards bytes that
  /// are not delivered within `undelivered_limit`.  Returns a handle for
  /// Disarm, or nullopt if the lease has ended or no slot is free.  In that
  /// case the caller must not write.
  std::optional<int> Arm(int fd, Time lease_end, Duration undelivered_limit);

  /// Returns true once the lease has ended and the socket was reset.
  bool WasReset(int handle) const;

  /// Stops guarding the socket; has to be called before `fd` is closed. Returns
  /// true if the socket was reset.
  bool Disarm(int handle);
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_LEASE_SOCKET_GUARD_H_
