// Tracks, in memory, the claims that this process owns.
#ifndef CORIANDERLINK_SERVING_CLAIM_LEDGER_H_
#define CORIANDERLINK_SERVING_CLAIM_LEDGER_H_

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// What the owner of a claim replies to a claim query.
enum class RevocationStatus {
  kDispatched,  ///< Dispatched, or no longer tracked.
  kRevoked,     ///< Not dispatched, and never will be.
};

/// Resolves the race between dispatching a claimed call and revoking the claim:
/// for each nonce, only the first of the two succeeds.
class ClaimLedger {
 public:
  /// A nonce is tracked for `retention`; after that it counts as dispatched.
  explicit ClaimLedger(Duration retention) : retention_(retention) {}

  /// Starts tracking a nonce; has to be called before its row is written.
  void Track(Time now, const std::string& nonce);
  /// Marks the claim as dispatched.  False if it was dispatched or revoked
  /// before, or is not tracked; then the call must not be sent.
  bool TryDispatch(const std::string& nonce);
  /// Records that the call certainly did not run under this nonce.
  void MarkNotRun(const std::string& nonce);
  /// Revokes the claim unless it was dispatched.  The result is final.
  RevocationStatus TryRevoke(const std::string& nonce);
  /// Drops nonces that were tracked for longer than the retention time.
  void Expire(Time now);
  size_t size() const { return states_.size(); }

 private:
  enum class State { kPending, kDispatched, kRevoked };

  const Duration retention_;
  std::unordered_map<std::string, State> states_;
  std::deque<std::pair<Time, std::string>> nonces_by_age_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CLAIM_LEDGER_H_
