// Client of a lease that is stored in a row of the table service.
//
// Follows Gray and Cheriton, "Leases", 1989, with fencing after Burrows, "The
// Chubby lock service", 2006:
//  - A holder counts the lease duration from before it sent the write.
//  - A candidate takes the lease over only after it has seen the row unchanged
//    for the lease duration plus a guard time, by its own clock.  Clocks of
//    different machines are never compared.
//  - If the answer to a write was lost, the lease is extended only after the
//    row was read back and contains the nonce of that write.
//  - After the service was restored to an older copy, nothing observed before
//    counts: a holder stops, and candidates wait for the lease duration plus
//    the guard time, since the copy may have lost a lease that is still valid.
//    It may have lost their fencing tokens too, so tokens of a later era of the
//    service are above all those of earlier eras.
#ifndef CORIANDERLINK_AUTHORITY_LEASE_CLIENT_H_
#define CORIANDERLINK_AUTHORITY_LEASE_CLIENT_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Authority/lease_record.h"
#include "corianderlink/Platform/table.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

struct LeaseTiming {
  /// Duration of the lease after each write of its row.
  Duration lease = seconds(3);
  /// Time that a candidate waits in addition, to allow for clock drift and for
  /// bytes of the previous holder that are still in transit.
  Duration guard = seconds(1);
  /// Interval between a holder's renewals.
  Duration renew_after = seconds(1);
  /// Interval between a candidate's reads of the row.
  Duration poll = milliseconds(500);
};

/// The request that the owner of a LeaseClient has to send to the table
/// service.
struct LeaseAction {
  enum class Kind { kNone, kRead, kCommit };
  Kind kind = Kind::kNone;
  TableTransaction txn;
};

/// State machine of one process, as a candidate for a lease or as its holder.
/// It does no I/O: the owner sends the requests from Next and passes in the
/// results.
class LeaseClient {
 public:
  /// `next_nonce` returns a new random string at each call.
  LeaseClient(std::string row_key, ProcessId self, LeaseTiming timing,
              std::function<std::string()> next_nonce);

  /// Sets whether this process tries to get and keep the lease.  A holder that
  /// is no longer a candidate releases it.
  void SetCandidate(bool candidate) { candidate_ = candidate; }

  /// Returns the next read or write.  At most one is in flight at a time.
  LeaseAction Next(Time now);
  /// Pass in the result of the request that Next returned.
  void OnRead(Time now, const ReadResult& result);
  void OnCommit(Time now, const CommitResult& result);

  /// Adds conditions and writes to the next write of the lease row, so that
  /// they commit only while this process holds the lease.  `done` receives the
  /// result; after kUnknown the caller has to read the written rows back.
  void Enqueue(TableTransaction write,
               std::function<void(const CommitResult&)> done);

  /// The next tenure gets a fencing token above `floor`, which another process
  /// has used or seen.
  void RaiseFencingFloor(FencingToken floor) {
    fencing_floor_ = std::max(fencing_floor_, floor);
  }
  /// Largest fencing token that is known to have been used.
  FencingToken fencing_floor() const { return fencing_floor_; }
  /// True if the service may have lost leases, as far as this process knows.
  bool after_restore() const { return restored_at_.has_value(); }

  /// Returns true if this process holds the lease at `now`.
  bool IsHeld(Time now) const { return now < valid_until_; }
  Time valid_until() const { return valid_until_; }
  /// Returns the fencing token of this process; valid only while IsHeld.
  FencingToken fencing() const { return own_.fencing; }
  /// Returns the lease row as it was observed last.
  const LeaseRecord& observed() const { return observed_; }
  const std::string& row_key() const { return row_key_; }

 private:
  /// Conditions and writes that commit together with the lease row.
  struct GuardedWrite {
    TableTransaction txn;
    std::function<void(const CommitResult&)> done;
  };

  void Observe(Time now, const TableRow& row);
  /// Handles the era of a response.  Returns false if the response is older
  /// than the era that is known.
  bool ObserveEra(Time now, uint64_t era);
  bool MayTakeOver(Time now) const;
  bool OwnsRow() const;
  LeaseAction StartWrite(Time now, LeaseRecord record);
  void CompleteWrites(const CommitResult& result);

  const std::string row_key_;
  const ProcessId self_;
  const LeaseTiming timing_;
  const std::function<std::string()> next_nonce_;

  bool candidate_ = true;
  bool request_in_flight_ = false;
  // True after a conflict or an unknown result, until the row was read back.
  bool needs_read_ = false;
  bool row_known_ = false;
  bool releasing_ = false;

  // Era of the service; empty before the first response.
  std::optional<uint64_t> era_;
  // When this process learned that the service was restored, if ever.
  std::optional<Time> restored_at_;
  FencingToken fencing_floor_ = 0;

  LeaseRecord observed_;
  RowVersion observed_version_ = 0;
  Time unchanged_since_{};
  Time last_read_{};

  // The last record that this process is known to have written.
  LeaseRecord own_;
  // The record of the write in flight, or of the write with an unknown result.
  LeaseRecord pending_;
  Time write_started_{};
  Time valid_until_{};
  std::vector<GuardedWrite> queued_writes_;
  std::vector<GuardedWrite> writes_in_flight_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_LEASE_CLIENT_H_
