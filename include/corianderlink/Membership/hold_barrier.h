// A fleet process's view of which entries acknowledge a hold.
#ifndef CORIANDERLINK_MEMBERSHIP_HOLD_BARRIER_H_
#define CORIANDERLINK_MEMBERSHIP_HOLD_BARRIER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "corianderlink/Membership/peer_table.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Instances whose entry has not acknowledged the hold of `engine` for order
/// `sequence`: every listed instance and every live entry has to.  A listed
/// instance that is not heard may still send work.
std::set<std::string> MissingAcknowledgements(Time now, const PeerTable& peers,
                                              const Address& engine,
                                              uint64_t sequence);

/// Remembers since when no acknowledgement is missing.
class HoldBarrier {
 public:
  /// Nothing while one is missing.
  std::optional<Time> Observe(Time now, bool complete) {
    if (!complete) {
      since_.reset();
    } else if (!since_) {
      since_ = now;
    }
    return since_;
  }
  void Reset() { since_.reset(); }

 private:
  std::optional<Time> since_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_HOLD_BARRIER_H_
