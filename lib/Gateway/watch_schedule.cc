// When a gateway watches the tables of the store, and for how long.
#include "corianderlink/Gateway/watch_schedule.h"

#include <algorithm>

namespace corianderlink {
namespace {

// A change of the store may be applied this much later than it could be, which
// is small beside the time in which changes have to be in force.
constexpr Duration kSpacingPerGateway = milliseconds(8);
constexpr Duration kMaxSpacing = milliseconds(1000);
// Two, so that one of them may be away.
constexpr size_t kShortWatchGateways = 2;
constexpr Duration kShortWait = milliseconds(1500);
constexpr Duration kLongWait = seconds(25);
// Delay of a watch's response and of the heartbeat that tells of it.
constexpr Duration kResponseAllowance = milliseconds(700);

}  // namespace

Duration WatchSchedule::Spacing() const {
  return std::min(static_cast<int64_t>(gateways) * kSpacingPerGateway,
                  kMaxSpacing);
}

Duration WatchSchedule::Wait() const {
  const bool told_by_peer = gateways > 1 && peer_store_age <= MaxAge();
  if (rank < kShortWatchGateways || !told_by_peer) return kShortWait;
  return kLongWait;
}

Duration WatchSchedule::MaxAge() const {
  return kShortWait + kResponseAllowance + 2 * Spacing();
}

bool WatchSchedule::IsStale(Duration own_age) const {
  if (own_age <= MaxAge()) return false;
  return gateways == 1 || peer_store_age > MaxAge();
}

}  // namespace corianderlink
