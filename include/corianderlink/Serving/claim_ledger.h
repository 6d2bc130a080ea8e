// One process's memory of the claims that it owns.
#ifndef CORIANDERLINK_SERVING_CLAIM_LEDGER_H_
#define CORIANDERLINK_SERVING_CLAIM_LEDGER_H_

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// What an owner says about a claim of its own.
enum class ClaimAnswerStatus {
  kDispatched,  ///< Dispatched, or not known any more.
  kNever,       ///< Not dispatched, and never will be.
};

/// Settles the race between dispatching a claimed call and promising never to
/// dispatch it: for each nonce the first of the two wins.
class ClaimLedger {
 public:
  /// Entries are kept for `keep`; a forgotten nonce counts as dispatched.
  explicit ClaimLedger(Duration keep) : keep_(keep) {}

  /// Starts to track a nonce before its row is written.
  void Open(Time now, const std::string& nonce);
  /// True if the call may be dispatched now; then it counts as dispatched.
  bool TryDispatch(const std::string& nonce);
  /// The dispatched call certainly did not run.
  void MarkNotRun(const std::string& nonce);
  /// Gives up the claim, unless it was dispatched; the answer is final.
  ClaimAnswerStatus PromiseNever(const std::string& nonce);
  /// Drops old entries.
  void Expire(Time now);
  size_t size() const { return states_.size(); }

 private:
  enum class State { kPending, kDispatched, kNever };

  const Duration keep_;
  std::unordered_map<std::string, State> states_;
  std::deque<std::pair<Time, std::string>> opened_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CLAIM_LEDGER_H_
