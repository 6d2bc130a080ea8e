// When a gateway watches the tables of the store, and for how long.
#ifndef CORIANDERLINK_GATEWAY_WATCH_SCHEDULE_H_
#define CORIANDERLINK_GATEWAY_WATCH_SCHEDULE_H_

#include <cstddef>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Place of a gateway among all that watch the same tables.  Answers three
/// loads: a series of changes, of which each ends one watch of every gateway; a
/// store that takes requests without answering; and connections that become
/// half-open without being closed.
struct WatchSchedule {
  /// Number of live gateways, including this one.
  size_t gateways = 1;
  /// Number of live gateways whose process ids are lower.
  size_t rank = 0;
  /// Time since the store last responded to a live peer.  Without peers it has
  /// no meaning.
  Duration peer_store_age = Duration::zero();

  /// Time from a change to the next watch.  Grows with the number of gateways
  /// up to a bound, so that all of them together make few calls in a series of
  /// changes.
  Duration Spacing() const;
  /// Time after which a watch ends even if nothing changed.  Short at the
  /// gateways of the lowest ranks, which therefore notice soon that the store
  /// stopped answering; the others hear of changes from them, and watch shortly
  /// themselves while no peer gets responses of the store.
  Duration Wait() const;
  /// Longest time without a response of the store to some gateway, unless the
  /// store or connections fail.
  Duration MaxAge() const;
  /// True if the store has last responded to this gateway `own_age` ago and
  /// nobody knows its state better, so that a watch in progress may hang.
  bool IsStale(Duration own_age) const;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_WATCH_SCHEDULE_H_
