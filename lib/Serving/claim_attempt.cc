// State machine of one attempt to run a call with an idempotency key at most
// once.
#include "corianderlink/Serving/claim_attempt.h"

#include <cassert>
#include <utility>

namespace corianderlink {

ClaimAttempt::ClaimAttempt(std::string row_key, ClaimRecord own,
                           std::function<std::string()> next_nonce,
                           ClaimLedger& ledger, Time deadline)
    : row_key_(std::move(row_key)),
      own_record_(std::move(own)),
      next_nonce_(std::move(next_nonce)),
      ledger_(ledger),
      deadline_(deadline) {}

void ClaimAttempt::GenerateNonce(Time now) {
  needs_nonce_ = false;
  own_record_.nonce = next_nonce_();
  ledger_.Track(now, own_record_.nonce);
}

TableTransaction ClaimAttempt::BuildClaimWrite() const {
  TableTransaction txn;
  txn.conditions.push_back({row_key_, version_});
  txn.writes.push_back({row_key_, EncodeClaimRecord(own_record_)});
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
                               step_ == Step::kQueryOwner;
  if (before_dispatch && now >= deadline_) {
    Abandon("deadline exceeded before the call was dispatched");
    action.kind = Action::Kind::kDone;
    return action;
  }
  if (awaiting_result_) return action;
  if (needs_nonce_) GenerateNonce(now);
  awaiting_result_ = true;
  switch (step_) {
    case Step::kInsert:
      action.kind = Action::Kind::kCommit;
      action.txn = BuildClaimWrite();
      return action;
    case Step::kReadBack:
    case Step::kVerifyStore:
      action.kind = Action::Kind::kRead;
      return action;
    case Step::kQueryOwner:
      action.kind = Action::Kind::kQueryOwner;
      action.owner_address = other_record_.owner_address;
      action.nonce = other_record_.nonce;
      return action;
    case Step::kDispatch:
      step_ = Step::kCallInProgress;
      action.kind = Action::Kind::kDispatch;
      return action;
    case Step::kStore:
      action.kind = Action::Kind::kCommit;
      action.txn.conditions.push_back({row_key_, version_});
      action.txn.writes.push_back({row_key_, EncodeClaimRecord(final_record_)});
      return action;
    case Step::kCallInProgress:
    case Step::kDone:
      return action;
  }
  return action;
}

void ClaimAttempt::OnRead(const ReadResult& result) {
  awaiting_result_ = false;
  if (!result.rows) return;
  TableRow row{row_key_, 0, ""};
  for (const TableRow& candidate : *result.rows) {
    if (candidate.key == row_key_) row = candidate;
  }
  if (step_ == Step::kReadBack) return EvaluateRow(row);
  if (step_ != Step::kVerifyStore) return;
  const auto record = DecodeClaimRecord(row.value);
  const bool still_claimed = record && record->nonce == own_record_.nonce &&
                             record->state == ClaimState::kClaimed;
  if (still_claimed) {
    version_ = row.version;
    step_ = Step::kStore;
    return;
  }
  step_ = Step::kDone;
}

void ClaimAttempt::EvaluateRow(const TableRow& row) {
  if (row.version == 0) {
    // The row is absent.  A delayed insert of this attempt may still be
    // applied, but it has the same nonce, so inserting again is safe.
    version_ = 0;
    step_ = Step::kInsert;
    return;
  }
  const auto record = DecodeClaimRecord(row.value);
  if (!record) {
    return Finish(ClaimResult::Kind::kMayHaveRun, "malformed claim row");
  }
  if (record->nonce == own_record_.nonce) {
    version_ = row.version;
    return DispatchIfAllowed();
  }
  ledger_.MarkNotRun(own_record_.nonce);
  if (record->request_digest != own_record_.request_digest) {
    return Finish(ClaimResult::Kind::kKeyReused,
                  "the key was used for another request");
  }
  other_row_ = row;
  other_record_ = *record;
  switch (record->state) {
    case ClaimState::kDone:
      result_.response = {Outcome::Ran(), record->status, record->content_type,
                          record->body};
      return Finish(ClaimResult::Kind::kResponse, "stored outcome");
    case ClaimState::kMayHaveRun:
      return Finish(ClaimResult::Kind::kMayHaveRun,
                    "an earlier attempt was cut off");
    case ClaimState::kReleased:
      return TakeOver(row.version);
    case ClaimState::kClaimed:
      step_ = Step::kQueryOwner;
      return;
  }
}

void ClaimAttempt::TakeOver(RowVersion version) {
  // A reply that the previous nonce is revoked may still be in transit to
  // another attempt, so the new claim needs a nonce that was never revoked.
  needs_nonce_ = true;
  version_ = version;
  step_ = Step::kInsert;
}

void ClaimAttempt::DispatchIfAllowed() {
  if (ledger_.TryDispatch(own_record_.nonce)) {
    step_ = Step::kDispatch;
    return;
  }
  Finish(ClaimResult::Kind::kNotRun, "the claim was given to another attempt");
}

void ClaimAttempt::OnCommit(const CommitResult& result) {
  awaiting_result_ = false;
  if (step_ == Step::kInsert) {
    switch (result.status) {
      case CommitStatus::kCommitted:
        version_ = result.version;
        return DispatchIfAllowed();
      case CommitStatus::kConflict:
      case CommitStatus::kUnknown:
        step_ = Step::kReadBack;
        return;
      case CommitStatus::kNotRun:
        return Abandon("claim not written: " + result.reason);
    }
  }
  if (step_ != Step::kStore) return;
  if (result.status == CommitStatus::kCommitted) {
    step_ = Step::kDone;
    return;
  }
  // Retries the write.  If it may have been applied, first reads the row.
  if (result.status != CommitStatus::kNotRun) step_ = Step::kVerifyStore;
}

void ClaimAttempt::OnOwnerResponse(std::optional<RevocationStatus> status) {
  awaiting_result_ = false;
  if (step_ != Step::kQueryOwner) return;
  if (status == RevocationStatus::kRevoked) return TakeOver(other_row_.version);
  Finish(ClaimResult::Kind::kMayHaveRun,
         status ? "another attempt is in progress"
                : "the owner of an earlier attempt did not answer");
}

void ClaimAttempt::OnCallResponse(const CallResponse& response) {
  assert(step_ == Step::kCallInProgress);
  awaiting_result_ = false;
  final_record_ = own_record_;
  result_.response = response;
  result_.reason = response.outcome.reason;
  switch (response.outcome.verdict) {
    case Verdict::kRan:
      final_record_.state = ClaimState::kDone;
      final_record_.status = response.status;
      final_record_.content_type = response.content_type;
      final_record_.body = response.body;
      result_.kind = ClaimResult::Kind::kResponse;
      break;
    case Verdict::kNotRun:
      ledger_.MarkNotRun(own_record_.nonce);
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

void ClaimAttempt::Abandon(const std::string& reason) {
  if (needs_nonce_) return Finish(ClaimResult::Kind::kNotRun, reason);
  if (ledger_.TryRevoke(own_record_.nonce) == RevocationStatus::kRevoked) {
    return Finish(ClaimResult::Kind::kNotRun, reason);
  }
  Finish(ClaimResult::Kind::kMayHaveRun, reason);
}

void ClaimAttempt::Finish(ClaimResult::Kind kind, std::string reason) {
  result_.kind = kind;
  result_.reason = std::move(reason);
  step_ = Step::kDone;
  awaiting_result_ = false;
}

}  // namespace corianderlink
