// Tracks, in memory, the claims that this process owns.
#include "corianderlink/Serving/claim_ledger.h"

namespace corianderlink {

void ClaimLedger::Track(Time now, const std::string& nonce) {
  states_.emplace(nonce, State::kPending);
  nonces_by_age_.emplace_back(now, nonce);
}

bool ClaimLedger::TryDispatch(const std::string& nonce) {
  const auto it = states_.find(nonce);
  if (it == states_.end() || it->second != State::kPending) return false;
  it->second = State::kDispatched;
  return true;
}

void ClaimLedger::MarkNotRun(const std::string& nonce) {
  const auto it = states_.find(nonce);
  if (it != states_.end()) it->second = State::kRevoked;
}

RevocationStatus ClaimLedger::TryRevoke(const std::string& nonce) {
  const auto it = states_.find(nonce);
  if (it == states_.end() || it->second == State::kDispatched) {
    return RevocationStatus::kDispatched;
  }
  it->second = State::kRevoked;
  return RevocationStatus::kRevoked;
}

void ClaimLedger::Expire(Time now) {
  while (!nonces_by_age_.empty() &&
         now - nonces_by_age_.front().first > retention_) {
    states_.erase(nonces_by_age_.front().second);
    nonces_by_age_.pop_front();
  }
}

}  // namespace corianderlink
