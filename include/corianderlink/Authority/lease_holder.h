// One process's side of a lease kept in a row of the table service.
//
// Rules (Gray and Cheriton, "Leases", 1989; fencing after Burrows, "The Chubby
// lock service", 2006):
//  - A holder counts its validity from before it sent the write.
//  - A successor takes over only after it saw the row unchanged for the lease
//    time plus a guard on its own clock.  Clocks are never compared.
//  - After a lost answer the lease is extended only once the row was read back
//    and carries the nonce of the write.
#ifndef CORIANDERLINK_AUTHORITY_LEASE_HOLDER_H_
#define CORIANDERLINK_AUTHORITY_LEASE_HOLDER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Authority/lease_record.h"
#include "corianderlink/Platform/table.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

struct LeaseTiming {
  /// Validity of one write for its holder.
  Duration lease = seconds(3);
  /// Added by a successor for clock rate differences and unsent bytes.
  Duration guard = seconds(1);
  /// A holder renews this long after its last write.
  Duration renew_after = seconds(1);
  /// A candidate reads the row this often.
  Duration poll = milliseconds(500);
};

/// What the owner of a LeaseHolder has to send to the table service.
struct LeaseAction {
  enum class Kind { kNone, kRead, kCommit };
  Kind kind = Kind::kNone;
  TableTransaction txn;
};

class LeaseHolder {
 public:
  /// `next_nonce` returns a new random string at each call.
  LeaseHolder(std::string row_key, ProcessId self, LeaseTiming timing,
              std::function<std::string()> next_nonce);

  /// Whether this process tries to get the lease.  A holder that no longer
  /// wants it gives it back.
  void SetWanted(bool wanted) { wanted_ = wanted; }

  /// The next read or write.  At most one is outstanding.
  LeaseAction Next(Time now);
  void OnRead(Time now, const ReadResult& result);
  void OnCommit(Time now, const CommitResult& result);

  /// Adds conditions and writes to the next write of the lease row, so that
  /// they commit only while this process holds the lease.  `done` gets the
  /// result; kUnknown must be settled by reading the written rows back.
  void Enqueue(TableTransaction extra,
               std::function<void(const CommitResult&)> done);

  /// True if the lease is held at `now`.
  bool Held(Time now) const { return now < valid_until_; }
  Time valid_until() const { return valid_until_; }
  /// Meaningful while Held.
  FencingNumber fencing() const { return own_.fencing; }
  /// The row as last seen.
  const LeaseRecord& seen() const { return seen_; }
  const std::string& row_key() const { return row_key_; }

 private:
  struct Extra {
    TableTransaction txn;
    std::function<void(const CommitResult&)> done;
  };

  void Observe(Time now, const TableRow& row);
  bool MayTakeOver(Time now) const;
  bool OwnsSeenRow() const;
  LeaseAction StartWrite(Time now, LeaseRecord record);
  void FailExtras(const CommitResult& result);

  const std::string row_key_;
  const ProcessId self_;
  const LeaseTiming timing_;
  const std::function<std::string()> next_nonce_;

  bool wanted_ = true;
  bool outstanding_ = false;
  // Set after a lost answer until the row was read back.
  bool unsettled_ = false;
  bool read_once_ = false;
  bool releasing_ = false;

  LeaseRecord seen_;
  RowVersion seen_version_ = 0;
  Time unchanged_since_{};
  Time last_read_{};

  LeaseRecord own_;
  LeaseRecord writing_;
  Time write_started_{};
  Time valid_until_{};
  std::vector<Extra> queued_;
  std::vector<Extra> in_write_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_LEASE_HOLDER_H_
