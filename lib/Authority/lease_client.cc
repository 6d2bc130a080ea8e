// Client of a lease.
#include "corianderlink/Authority/lease_client.h"

#include <cassert>
#include <utility>

namespace corianderlink {
namespace {

// Era of a service that was never restored.
constexpr uint64_t kFirstEra = 1;
constexpr char kUnknownHolder[] = "unknown";
// A restore may lose the row and with it the tokens that were used, but eras
// are given out once: each has a range of tokens above those of earlier ones.
constexpr int kTokenBitsPerEra = 32;
// Eras from here on share a range, since larger tokens are not exact as JSON
// numbers everywhere.
constexpr uint64_t kMaxEraRange = (uint64_t{1} << 20) - 1;

// The largest token that is below the range of `era`.
FencingToken FloorOfEra(uint64_t era) {
  const uint64_t range = std::max(era, kFirstEra) - kFirstEra;
  return std::min(range, kMaxEraRange) << kTokenBitsPerEra;
}

}  // namespace

LeaseClient::LeaseClient(std::string row_key, ProcessId self,
                         LeaseTiming timing,
                         std::function<std::string()> next_nonce)
    : row_key_(std::move(row_key)),
      self_(std::move(self)),
      timing_(timing),
      next_nonce_(std::move(next_nonce)) {
  assert(timing_.renew_after < timing_.lease);
}

bool LeaseClient::OwnsRow() const {
  return !own_.nonce.empty() && observed_.nonce == own_.nonce;
}

bool LeaseClient::MayTakeOver(Time now) const {
  const Duration wait = timing_.lease + timing_.guard;
  if (restored_at_ && now - *restored_at_ < wait) return false;
  if (observed_version_ == 0 || observed_.holder.empty()) return true;
  return now - unchanged_since_ >= wait;
}

LeaseAction LeaseClient::Next(Time now) {
  if (request_in_flight_) return {};
  const bool poll_due = !row_known_ || now - last_read_ >= timing_.poll;
  if (!candidate_ && !needs_read_ && !OwnsRow()) return {};
  if (needs_read_ || !OwnsRow()) {
    if (poll_due) {
      request_in_flight_ = true;
      last_read_ = now;
      return {LeaseAction::Kind::kRead, {}};
    }
    const bool may_write = !needs_read_ && row_known_ && candidate_;
    if (!may_write || !MayTakeOver(now)) return {};
    const FencingToken used = std::max(
        {observed_.fencing, fencing_floor_, FloorOfEra(era_.value_or(0))});
    return StartWrite(now, {self_, used + 1, next_nonce_()});
  }
  // This process wrote the row last.  An expired lease is renewed as well,
  // since no other process has taken it over.
  if (!candidate_) {
    releasing_ = true;
    valid_until_ = Time{};
    return StartWrite(now, {ProcessId(), own_.fencing, next_nonce_()});
  }
  const bool renew_due = now - write_started_ >= timing_.renew_after;
  if (!renew_due && queued_writes_.empty()) return {};
  return StartWrite(now, {self_, own_.fencing, next_nonce_()});
}

LeaseAction LeaseClient::StartWrite(Time now, LeaseRecord record) {
  pending_ = std::move(record);
  write_started_ = now;
  request_in_flight_ = true;
  LeaseAction action;
  action.kind = LeaseAction::Kind::kCommit;
  action.txn.conditions.push_back({row_key_, observed_version_});
  action.txn.writes.push_back({row_key_, EncodeLeaseRecord(pending_)});
  // Guarded writes are added to renewals only.  A new holder has to read the
  // rows before it may write them.
  const bool renewal = OwnsRow() && !releasing_;
  if (!renewal) {
    const auto dropped = std::exchange(queued_writes_, {});
    const CommitResult not_run{
        CommitStatus::kNotRun, 0, {}, "the lease is not held by this process"};
    for (const GuardedWrite& write : dropped) {
      if (write.done) write.done(not_run);
    }
    return action;
  }
  writes_in_flight_ = std::exchange(queued_writes_, {});
  for (const GuardedWrite& write : writes_in_flight_) {
    action.txn.conditions.insert(action.txn.conditions.end(),
                                 write.txn.conditions.begin(),
                                 write.txn.conditions.end());
    action.txn.writes.insert(action.txn.writes.end(), write.txn.writes.begin(),
                             write.txn.writes.end());
  }
  return action;
}

void LeaseClient::Enqueue(TableTransaction write,
                          std::function<void(const CommitResult&)> done) {
  queued_writes_.push_back({std::move(write), std::move(done)});
}

void LeaseClient::CompleteWrites(const CommitResult& result) {
  for (const GuardedWrite& write : std::exchange(writes_in_flight_, {})) {
    if (write.done) write.done(result);
  }
}

void LeaseClient::OnRead(Time now, const ReadResult& result) {
  request_in_flight_ = false;
  if (!result.rows || !ObserveEra(now, result.era)) return;
  TableRow row{row_key_, 0, ""};
  for (const TableRow& candidate : *result.rows) {
    if (candidate.key == row_key_) row = candidate;
  }
  Observe(now, row);
}

bool LeaseClient::ObserveEra(Time now, uint64_t era) {
  if (era_ && era < *era_) return false;
  // A process that starts after a restore cannot know what was lost.
  const bool restored = era_ ? era > *era_ : era > kFirstEra;
  era_ = era;
  if (!restored) return true;
  restored_at_ = now;
  RaiseFencingFloor(std::max(own_.fencing, pending_.fencing));
  own_ = {};
  pending_ = {};
  valid_until_ = Time{};
  releasing_ = false;
  observed_ = {};
  observed_version_ = 0;
  row_known_ = false;
  needs_read_ = true;
  return true;
}

void LeaseClient::Observe(Time now, const TableRow& row) {
  if (row.version < observed_version_) return;  // The answer is stale.
  auto record = DecodeLeaseRecord(row.value);
  // A malformed row may be that of a holder, who would change it in time.
  if (row.version != 0 && !record) record = {ProcessId(kUnknownHolder), 0, ""};
  const bool own_write_committed = needs_read_ && record &&
                                   !pending_.nonce.empty() &&
                                   record->nonce == pending_.nonce;
  if (row.version != observed_version_ || !row_known_) unchanged_since_ = now;
  row_known_ = true;
  observed_version_ = row.version;
  observed_ = record.value_or(LeaseRecord{});
  RaiseFencingFloor(observed_.fencing);
  needs_read_ = false;
  if (!own_write_committed) {
    if (!OwnsRow()) valid_until_ = Time{};
    return;
  }
  if (releasing_) {
    releasing_ = false;
    own_ = {};
    return;
  }
  own_ = pending_;
  valid_until_ = write_started_ + timing_.lease;
}

void LeaseClient::OnCommit(Time now, const CommitResult& result) {
  request_in_flight_ = false;
  const std::optional<uint64_t> era_before = era_;
  const bool answered = result.status != CommitStatus::kUnknown &&
                        result.status != CommitStatus::kNotRun;
  if (answered && !ObserveEra(now, result.era)) {
    needs_read_ = true;
    row_known_ = false;
    CompleteWrites({CommitStatus::kUnknown, 0, {}, "response of an older era"});
    return;
  }
  if (answered && era_before && era_ != era_before) {
    // The condition may have held for the row of another process, whose version
    // was given out a second time.
    CompleteWrites({CommitStatus::kUnknown, 0, {}, "the service was restored"});
    return;
  }
  switch (result.status) {
    case CommitStatus::kCommitted:
      observed_ = pending_;
      RaiseFencingFloor(pending_.fencing);
      observed_version_ = result.version;
      unchanged_since_ = now;
      own_ = releasing_ ? LeaseRecord{} : pending_;
      valid_until_ = releasing_ ? Time{} : write_started_ + timing_.lease;
      releasing_ = false;
      break;
    case CommitStatus::kConflict:
      // Either the lease row or a row of a guarded write has changed.
      needs_read_ = true;
      row_known_ = false;
      releasing_ = false;
      break;
    case CommitStatus::kUnknown:
      needs_read_ = true;
      row_known_ = false;
      break;
    case CommitStatus::kNotRun:
      releasing_ = false;
      break;
  }
  CompleteWrites(result);
}

}  // namespace corianderlink
