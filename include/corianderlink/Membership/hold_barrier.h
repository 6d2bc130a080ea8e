// Tracks, in a fleet process, whether all entries acknowledge a hold.
//
// A hold asks the entries to dispatch no new requests to an engine.
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

/// Returns the instances whose entry has not acknowledged `hold`.  Every listed
/// instance and every live entry has to acknowledge it: a listed instance whose
/// heartbeats are not received may still send requests.
std::set<std::string> MissingAcknowledgements(Time now, const PeerTable& peers,
                                              const wire::Hold& hold);

/// Keeps the time since which the acknowledgements are complete.
class HoldBarrier {
 public:
  /// Returns the hold to announce, which acknowledgements have to match.
  wire::Hold Announcement(const ProcessId& self, const Address& engine,
                          uint64_t sequence, uint64_t fencing) const;

  /// Records whether all acknowledgements are present at `now`.  Returns the
  /// time since which they are, or nullopt while one is missing.
  std::optional<Time> Observe(Time now, bool complete) {
    if (!complete) {
      complete_since_.reset();
    } else if (!complete_since_) {
      complete_since_ = now;
    }
    return complete_since_;
  }
  /// Invalidates earlier acknowledgements.  Has to be called whenever the
  /// announcement may have been interrupted, since entries may have sent
  /// requests in the meantime.
  void Reset() {
    complete_since_.reset();
    ++epoch_;
  }

 private:
  std::optional<Time> complete_since_;
  // Incremented by Reset, so that older acknowledgements do not match.
  uint64_t epoch_ = 1;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_HOLD_BARRIER_H_
