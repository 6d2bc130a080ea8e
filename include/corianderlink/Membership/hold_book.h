// An entry's view of the engines that take no new work.
//
// Fleet processes announce holds in their heartbeats; the latest heartbeat of
// a process replaces its earlier announcement.
#ifndef CORIANDERLINK_MEMBERSHIP_HOLD_BOOK_H_
#define CORIANDERLINK_MEMBERSHIP_HOLD_BOOK_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"
#include "peer.pb.h"

namespace corianderlink {

/// One announced hold: the order's sequence, the announcement's epoch and the
/// fencing number of the announcer's lease.
struct HoldMark {
  uint64_t sequence = 0;
  uint64_t epoch = 0;
  uint64_t fencing = 0;
  bool operator==(const HoldMark&) const = default;
};
using Holds = std::map<Address, HoldMark>;

class HoldBook {
 public:
  /// `started` is when this process started.  A process that knows no holds
  /// yet sends no work until every listed fleet process was heard, or until
  /// `start_wait` has passed.  Holds of a silent process are kept for
  /// `keep_silent`, since its order may still reach the engine.
  HoldBook(Time started, Duration start_wait, Duration keep_silent)
      : started_(started), start_wait_(start_wait), keep_silent_(keep_silent) {}

  /// A heartbeat of a fleet process.
  void OnHeartbeat(Time now, const ProcessId& process,
                   const wire::Heartbeat& heartbeat);
  /// Drops the holds of processes that were silent for too long.
  void Expire(Time now);

  /// Engines that take no new work.
  std::set<Address> Current() const;
  /// Adds an acknowledgement of each announcement to `heartbeat`, except for
  /// engines in `busy`: something of this entry is still in progress there.
  void Acknowledge(const std::set<Address>& busy,
                   wire::Heartbeat& heartbeat) const;
  /// True once work may be sent; `listed` are the instances of the platform's
  /// list.
  bool MaySend(Time now, const std::set<std::string>& listed) const;

 private:
  struct Announcement {
    Time heard{};
    Holds holds;
  };

  const Time started_;
  const Duration start_wait_;
  const Duration keep_silent_;
  std::map<ProcessId, Announcement> announced_;
  std::set<std::string> heard_instances_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_HOLD_BOOK_H_
