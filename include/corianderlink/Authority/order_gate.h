// Cuts the sockets of orders when the lease that permits them ends.
//
// Needed for engines that do not check fencing numbers.  A POSIX timer on
// CLOCK_BOOTTIME is armed to the end of the lease; its signal handler replaces
// the order's descriptor by a dead one.  A process that was stopped across the
// end of its lease runs the handler before any other instruction of the
// thread.  SO_LINGER with time 0 makes the kernel drop bytes that were written
// but not delivered.  While a process is stopped nobody cuts its socket, so
// TCP_USER_TIMEOUT bounds how long undelivered bytes may stay under way; the
// successor's guard has to be longer than that.
#ifndef CORIANDERLINK_AUTHORITY_ORDER_GATE_H_
#define CORIANDERLINK_AUTHORITY_ORDER_GATE_H_

#include <optional>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// At most one per process.  Must be created and used by one thread, which is
/// the thread that writes to the sockets.
class OrderGate {
 public:
  OrderGate();
  ~OrderGate();
  OrderGate(const OrderGate&) = delete;
  OrderGate& operator=(const OrderGate&) = delete;

  /// Permits writes on `fd` until `lease_end`; the kernel drops bytes that are
  /// not delivered within `undelivered_limit`.  Returns a handle for Disarm, or
  /// nothing if the lease has ended or no slot is free: then do not write.
  std::optional<int> Arm(int fd, Time lease_end, Duration undelivered_limit);

  /// True once the lease ended and the descriptor was replaced.
  bool WasCut(int handle) const;

  /// Ends the guard, before `fd` is closed.  Returns true if it was cut.
  bool Disarm(int handle);
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_ORDER_GATE_H_
