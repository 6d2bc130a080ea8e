// One process's memory of the claims that it owns.
#include "corianderlink/Serving/claim_ledger.h"

namespace corianderlink {

void ClaimLedger::Open(Time now, const std::string& nonce) {
  states_.emplace(nonce, State::kPending);
  opened_.emplace_back(now, nonce);
}

bool ClaimLedger::TryDispatch(const std::string& nonce) {
  const auto it = states_.find(nonce);
  if (it == states_.end() || it->second != State::kPending) return false;
  it->second = State::kDispatched;
  return true;
}

void ClaimLedger::MarkNotRun(const std::string& nonce) {
  const auto it = states_.find(nonce);
  if (it != states_.end()) it->second = State::kNever;
}

ClaimAnswerStatus ClaimLedger::PromiseNever(const std::string& nonce) {
  const auto it = states_.find(nonce);
  if (it == states_.end() || it->second == State::kDispatched) {
    return ClaimAnswerStatus::kDispatched;
  }
  it->second = State::kNever;
  return ClaimAnswerStatus::kNever;
}

void ClaimLedger::Expire(Time now) {
  while (!opened_.empty() && now - opened_.front().first > keep_) {
    states_.erase(opened_.front().second);
    opened_.pop_front();
  }
}

}  // namespace corianderlink
