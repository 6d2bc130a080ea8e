// A fleet process's view of which entries acknowledge a hold.
#ifndef CORIANDERLINK_MEMBERSHIP_HOLD_BARRIER_H_
#define CORIANDERLINK_MEMBERSHIP_HOLD_BARRIER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "corianderlink/Membership/peer_table.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Instances whose entry has not acknowledged `hold`: every listed instance
/// and every live entry has to.  A listed instance that is not heard may still
/// send work.
std::set<std::string> MissingAcknowledgements(Time now, const PeerTable& peers,
                                              const wire::Hold& hold);

/// Remembers since when no acknowledgement is missing.
class HoldBarrier {
 public:
  /// The hold to announce now, and to look for in acknowledgements.
  wire::Hold Announcement(const ProcessId& self, const Address& engine,
                          uint64_t sequence, uint64_t fencing) const;

  /// Nothing while one is missing.
  std::optional<Time> Observe(Time now, bool complete) {
    if (!complete) {
      since_.reset();
    } else if (!since_) {
      since_ = now;
    }
    return since_;
  }
  /// The announcement is or may have been interrupted, and entries may have
  /// sent work in between: older acknowledgements no longer count.
  void Reset() {
    since_.reset();
    ++epoch_;
  }

 private:
  std::optional<Time> since_;
  uint64_t epoch_ = 1;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_HOLD_BARRIER_H_
