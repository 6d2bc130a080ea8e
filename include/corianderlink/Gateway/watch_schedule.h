// When a gateway watches the tables of the store, and for how long.
#ifndef CORIANDERLINK_GATEWAY_WATCH_SCHEDULE_H_
#define CORIANDERLINK_GATEWAY_WATCH_SCHEDULE_H_

#include <cstddef>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Place of a gateway among all that watch the same tables.  Answers two loads:
/// a series of changes, of which each ends one watch of every gateway, and a
/// store that takes requests without answering.
struct WatchSchedule {
  /// Number of live gateways, including this one.
  size_t gateways = 1;
  /// Number of live gateways whose process ids are lower.
  size_t rank = 0;

  /// Time from a change to the next watch.  Grows with the number of gateways
  /// up to a bound, so that all of them together make few calls in a series of
  /// changes.
  Duration Spacing() const;
  /// Time after which a watch ends even if nothing changed.  Short at the
  /// gateways of the lowest ranks, which therefore notice soon that the store
  /// stopped answering; the others hear of changes from them.
  Duration Wait() const;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_WATCH_SCHEDULE_H_
