// Table of the holds that an entry obeys.
//
// A held engine gets no new requests.  Fleet processes announce holds in their
// heartbeats; each heartbeat of a process replaces its earlier announcement.
#ifndef CORIANDERLINK_MEMBERSHIP_HOLD_TABLE_H_
#define CORIANDERLINK_MEMBERSHIP_HOLD_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"
#include "peer.pb.h"

namespace corianderlink {

/// Identifies one announced hold: the sequence of the order, the epoch of the
/// announcement and the fencing token of the announcer's lease.
struct HoldId {
  uint64_t sequence = 0;
  uint64_t epoch = 0;
  uint64_t fencing = 0;
  bool operator==(const HoldId&) const = default;
};
using Holds = std::map<Address, HoldId>;

/// The holds of all fleet processes, by announcing process.
class HoldTable {
 public:
  /// `started` is the start time of this process.  A new process does not know
  /// the holds yet, so it sends no requests until it knows the announcement of
  /// every listed fleet process, from its heartbeat or from another entry, or
  /// until `start_wait` has passed.  Holds of a process whose heartbeats stop
  /// are kept for `silent_ttl`, since its order may still reach the engine.
  HoldTable(Time started, Duration start_wait, Duration silent_ttl)
      : started_(started), start_wait_(start_wait), silent_ttl_(silent_ttl) {}

  /// Applies the holds in a heartbeat of a fleet process.
  void OnHeartbeat(Time now, const ProcessId& process,
                   const wire::Heartbeat& heartbeat);
  /// Adds the last announcements of listed fleet processes that have been
  /// silent for longer than `silence` to this entry's heartbeat, if this entry
  /// may send requests.
  void RelaySilent(Time now, Duration silence,
                   const std::set<std::string>& listed,
                   wire::Heartbeat& heartbeat) const;
  /// Applies the announcements that another entry relays, of processes whose
  /// own heartbeats were not received.
  void OnEntryHeartbeat(Time now, const wire::Heartbeat& heartbeat);
  /// Drops the holds of processes without a heartbeat for `silent_ttl`.
  void Expire(Time now);

  /// Returns the held engines.
  std::set<Address> HeldEngines() const;
  /// Adds an acknowledgement of each hold to `heartbeat`, except for the
  /// engines in `busy`, on which requests of this entry are still in progress.
  void Acknowledge(const std::set<Address>& busy,
                   wire::Heartbeat& heartbeat) const;
  /// Returns true once this entry may send requests.  `listed` holds the
  /// instances in the platform's list.
  bool MaySend(Time now, const std::set<std::string>& listed) const;

 private:
  /// The holds of one fleet process.
  struct Announcement {
    std::string instance;
    Time last_heartbeat{};
    Holds holds;
  };

  const Time started_;
  const Duration start_wait_;
  const Duration silent_ttl_;
  std::map<ProcessId, Announcement> announced_;
  std::set<std::string> known_instances_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_HOLD_TABLE_H_
