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

}  // namespace

Duration WatchSchedule::Spacing() const {
  return std::min(static_cast<int64_t>(gateways) * kSpacingPerGateway,
                  kMaxSpacing);
}

Duration WatchSchedule::Wait() const {
  return rank < kShortWatchGateways ? kShortWait : kLongWait;
}

}  // namespace corianderlink
