// One attempt to run a call with an idempotency key at most once.
#include "corianderlink/Serving/claim_attempt.h"

#include <cassert>
#include <utility>

namespace corianderlink {

ClaimAttempt::ClaimAttempt(std::string row_key, ClaimRecord own,
                           std::function<std::string()> next_nonce,
                           ClaimLedger& ledger, Time deadline)
    : row_key_(std::move(row_key)),
      own_(std::move(own)),
      next_nonce_(std::move(next_nonce)),
      ledger_(ledger),
      deadline_(deadline) {}

void ClaimAttempt::OpenNonce(Time now) {
  needs_nonce_ = false;
  own_.nonce = next_nonce_();
  ledger_.Open(now, own_.nonce);
}

TableTransaction ClaimAttempt::ClaimWrite() const {
  TableTransaction txn;
  txn.conditions.push_back({row_key_, version_});
  txn.writes.push_back({row_key_, EncodeClaimRecord(own_)});
  return txn;
}

ClaimAttempt::Action ClaimAttempt::Next(Time now) {
  Action action;
  if (step_ == Step::kDone) {
    action.kind = Action::Kind::kDone;
    return action;
  }
  const bool before_dispatch = step_ == Step::kInsert ||
                               step_ == Step::kReadBack ||
                               step_ == Step::kAskOwner;
  if (before_dispatch && now >= deadline_) {
    GiveUp("deadline exceeded before the call was dispatched");
    action.kind = Action::Kind::kDone;
    return action;
  }
  if (outstanding_) return action;
  if (needs_nonce_) OpenNonce(now);
  outstanding_ = true;
  switch (step_) {
    case Step::kInsert:
      action.kind = Action::Kind::kCommit;
      action.txn = ClaimWrite();
      return action;
    case Step::kReadBack:
    case Step::kSettleStore:
      action.kind = Action::Kind::kRead;
      return action;
    case Step::kAskOwner:
      action.kind = Action::Kind::kAskOwner;
      action.owner_address = foreign_record_.owner_address;
      action.nonce = foreign_record_.nonce;
      return action;
    case Step::kDispatch:
      step_ = Step::kInCall;
      action.kind = Action::Kind::kDispatch;
      return action;
    case Step::kStore:
      action.kind = Action::Kind::kCommit;
      action.txn.conditions.push_back({row_key_, version_});
      action.txn.writes.push_back({row_key_, EncodeClaimRecord(final_record_)});
      return action;
    case Step::kInCall:
    case Step::kDone:
      return action;
  }
  return action;
}

void ClaimAttempt::OnRead(const ReadResult& result) {
  outstanding_ = false;
  if (!result.rows) return;
  TableRow row{row_key_, 0, ""};
  for (const TableRow& candidate : *result.rows) {
    if (candidate.key == row_key_) row = candidate;
  }
  if (step_ == Step::kReadBack) return Examine(row);
  if (step_ != Step::kSettleStore) return;
  const auto record = DecodeClaimRecord(row.value);
  const bool still_claimed = record && record->nonce == own_.nonce &&
                             record->state == ClaimState::kClaimed;
  if (still_claimed) {
    version_ = row.version;
    step_ = Step::kStore;
    return;
  }
  step_ = Step::kDone;
}

void ClaimAttempt::Examine(const TableRow& row) {
  if (row.version == 0) {
    // Absent.  A delayed insert of ours may still land, but with the same
    // nonce; inserting again is safe.
    version_ = 0;
    step_ = Step::kInsert;
    return;
  }
  const auto record = DecodeClaimRecord(row.value);
  if (!record) {
    return Finish(ClaimResult::Kind::kMayHaveRun, "malformed claim row");
  }
  if (record->nonce == own_.nonce) {
    version_ = row.version;
    return MayDispatch();
  }
  ledger_.MarkNotRun(own_.nonce);
  if (record->request_digest != own_.request_digest) {
    return Finish(ClaimResult::Kind::kKeyReused,
                  "the key was used for another request");
  }
  foreign_ = row;
  foreign_record_ = *record;
  switch (record->state) {
    case ClaimState::kDone:
      result_.answer = {Outcome::Ran(), record->status, record->content_type,
                        record->body};
      return Finish(ClaimResult::Kind::kAnswer, "stored outcome");
    case ClaimState::kMayHaveRun:
      return Finish(ClaimResult::Kind::kMayHaveRun,
                    "an earlier attempt was cut off");
    case ClaimState::kReleased:
      return TakeOver(row.version);
    case ClaimState::kClaimed:
      step_ = Step::kAskOwner;
      return;
  }
}

void ClaimAttempt::TakeOver(RowVersion version) {
  // A promise about the old nonce may still be on its way to another attempt,
  // so the new claim needs a nonce about which nothing was promised.
  needs_nonce_ = true;
  version_ = version;
  step_ = Step::kInsert;
}

void ClaimAttempt::MayDispatch() {
  if (ledger_.TryDispatch(own_.nonce)) {
    step_ = Step::kDispatch;
    return;
  }
  Finish(ClaimResult::Kind::kNotRun, "the claim was given to another attempt");
}

void ClaimAttempt::OnCommit(const CommitResult& result) {
  outstanding_ = false;
  if (step_ == Step::kInsert) {
    switch (result.status) {
      case CommitStatus::kCommitted:
        version_ = result.version;
        return MayDispatch();
      case CommitStatus::kConflict:
      case CommitStatus::kUnknown:
        step_ = Step::kReadBack;
        return;
      case CommitStatus::kNotRun:
        return GiveUp("claim not written: " + result.reason);
    }
  }
  if (step_ != Step::kStore) return;
  if (result.status == CommitStatus::kCommitted) {
    step_ = Step::kDone;
    return;
  }
  // Try again; settle first if the write may have taken effect.
  if (result.status != CommitStatus::kNotRun) step_ = Step::kSettleStore;
}

void ClaimAttempt::OnOwnerAnswer(std::optional<ClaimAnswerStatus> status) {
  outstanding_ = false;
  if (step_ != Step::kAskOwner) return;
  if (status == ClaimAnswerStatus::kNever) return TakeOver(foreign_.version);
  Finish(ClaimResult::Kind::kMayHaveRun,
         status ? "another attempt is in progress"
                : "the owner of an earlier attempt did not answer");
}

void ClaimAttempt::OnCallAnswer(const ClaimedAnswer& answer) {
  assert(step_ == Step::kInCall);
  outstanding_ = false;
  final_record_ = own_;
  result_.answer = answer;
  result_.reason = answer.outcome.reason;
  switch (answer.outcome.verdict) {
    case Verdict::kRan:
      final_record_.state = ClaimState::kDone;
      final_record_.status = answer.status;
      final_record_.content_type = answer.content_type;
      final_record_.body = answer.body;
      result_.kind = ClaimResult::Kind::kAnswer;
      break;
    case Verdict::kNotRun:
      ledger_.MarkNotRun(own_.nonce);
      final_record_.state = ClaimState::kReleased;
      result_.kind = ClaimResult::Kind::kNotRun;
      break;
    case Verdict::kMayHaveRun:
      final_record_.state = ClaimState::kMayHaveRun;
      result_.kind = ClaimResult::Kind::kMayHaveRun;
      break;
  }
  step_ = Step::kStore;
}

void ClaimAttempt::GiveUp(const std::string& reason) {
  if (needs_nonce_) return Finish(ClaimResult::Kind::kNotRun, reason);
  if (ledger_.PromiseNever(own_.nonce) == ClaimAnswerStatus::kNever) {
    return Finish(ClaimResult::Kind::kNotRun, reason);
  }
  Finish(ClaimResult::Kind::kMayHaveRun, reason);
}

void ClaimAttempt::Finish(ClaimResult::Kind kind, std::string reason) {
  result_.kind = kind;
  result_.reason = std::move(reason);
  step_ = Step::kDone;
  outstanding_ = false;
}

}  // namespace corianderlink
