// One process's side of a lease.
#include "corianderlink/Authority/lease_holder.h"

#include <cassert>
#include <utility>

namespace corianderlink {

LeaseHolder::LeaseHolder(std::string row_key, ProcessId self,
                         LeaseTiming timing,
                         std::function<std::string()> next_nonce)
    : row_key_(std::move(row_key)),
      self_(std::move(self)),
      timing_(timing),
      next_nonce_(std::move(next_nonce)) {
  assert(timing_.renew_after < timing_.lease);
}

bool LeaseHolder::OwnsSeenRow() const {
  return !own_.nonce.empty() && seen_.nonce == own_.nonce;
}

bool LeaseHolder::MayTakeOver(Time now) const {
  if (seen_version_ == 0 || seen_.holder.empty()) return true;
  return now - unchanged_since_ >= timing_.lease + timing_.guard;
}

LeaseAction LeaseHolder::Next(Time now) {
  if (outstanding_) return {};
  const bool poll_due = !read_once_ || now - last_read_ >= timing_.poll;
  if (!wanted_ && !unsettled_ && !OwnsSeenRow()) return {};
  if (unsettled_ || !OwnsSeenRow()) {
    if (poll_due) {
      outstanding_ = true;
      last_read_ = now;
      return {LeaseAction::Kind::kRead, {}};
    }
    const bool may_write = !unsettled_ && read_once_ && wanted_;
    if (!may_write || !MayTakeOver(now)) return {};
    return StartWrite(now, {self_, seen_.fencing + 1, next_nonce_()});
  }
  // The row is ours.  A lapsed lease is renewed too: nobody has taken it.
  if (!wanted_) {
    releasing_ = true;
    valid_until_ = Time{};
    return StartWrite(now, {ProcessId(), own_.fencing, next_nonce_()});
  }
  const bool renew_due = now - write_started_ >= timing_.renew_after;
  if (!renew_due && queued_.empty()) return {};
  return StartWrite(now, {self_, own_.fencing, next_nonce_()});
}

LeaseAction LeaseHolder::StartWrite(Time now, LeaseRecord record) {
  writing_ = std::move(record);
  write_started_ = now;
  outstanding_ = true;
  LeaseAction action;
  action.kind = LeaseAction::Kind::kCommit;
  action.txn.conditions.push_back({row_key_, seen_version_});
  action.txn.writes.push_back({row_key_, EncodeLeaseRecord(writing_)});
  // Extras ride only on renewals: after a change of holder the new holder has
  // to look at the rows first.
  const bool renewal = OwnsSeenRow() && !releasing_;
  if (!renewal) {
    const auto dropped = std::exchange(queued_, {});
    const CommitResult not_run{
        CommitStatus::kNotRun, 0, {}, "the lease was not held"};
    for (const Extra& extra : dropped) {
      if (extra.done) extra.done(not_run);
    }
    return action;
  }
  in_write_ = std::exchange(queued_, {});
  for (const Extra& extra : in_write_) {
    action.txn.conditions.insert(action.txn.conditions.end(),
                                 extra.txn.conditions.begin(),
                                 extra.txn.conditions.end());
    action.txn.writes.insert(action.txn.writes.end(), extra.txn.writes.begin(),
                             extra.txn.writes.end());
  }
  return action;
}

void LeaseHolder::Enqueue(TableTransaction extra,
                          std::function<void(const CommitResult&)> done) {
  queued_.push_back({std::move(extra), std::move(done)});
}

void LeaseHolder::FailExtras(const CommitResult& result) {
  for (const Extra& extra : std::exchange(in_write_, {})) {
    if (extra.done) extra.done(result);
  }
}

void LeaseHolder::OnRead(Time now, const ReadResult& result) {
  outstanding_ = false;
  if (!result.rows) return;
  TableRow row{row_key_, 0, ""};
  for (const TableRow& candidate : *result.rows) {
    if (candidate.key == row_key_) row = candidate;
  }
  Observe(now, row);
}

void LeaseHolder::Observe(Time now, const TableRow& row) {
  if (row.version < seen_version_) return;  // A stale answer.
  const auto record = DecodeLeaseRecord(row.value);
  if (row.version != 0 && !record) return;  // Malformed: change nothing.
  const bool settles_own_write =
      unsettled_ && record && record->nonce == writing_.nonce;
  if (row.version != seen_version_ || !read_once_) unchanged_since_ = now;
  read_once_ = true;
  seen_version_ = row.version;
  seen_ = record.value_or(LeaseRecord{});
  unsettled_ = false;
  if (!settles_own_write) {
    if (!OwnsSeenRow()) valid_until_ = Time{};
    return;
  }
  if (releasing_) {
    releasing_ = false;
    own_ = {};
    return;
  }
  own_ = writing_;
  valid_until_ = write_started_ + timing_.lease;
}

void LeaseHolder::OnCommit(Time now, const CommitResult& result) {
  outstanding_ = false;
  switch (result.status) {
    case CommitStatus::kCommitted:
      seen_ = writing_;
      seen_version_ = result.version;
      unchanged_since_ = now;
      own_ = releasing_ ? LeaseRecord{} : writing_;
      valid_until_ = releasing_ ? Time{} : write_started_ + timing_.lease;
      releasing_ = false;
      break;
    case CommitStatus::kConflict:
      // Either the lease row or a row of an extra differs.
      unsettled_ = true;
      read_once_ = false;
      releasing_ = false;
      break;
    case CommitStatus::kUnknown:
      unsettled_ = true;
      read_once_ = false;
      break;
    case CommitStatus::kNotRun:
      releasing_ = false;
      break;
  }
  FailExtras(result);
}

}  // namespace corianderlink
