// State machine of one attempt to run a call with an idempotency key at most
// once.
//
// The claim row is inserted before the call is dispatched.  Claims do not
// expire: a claim of another attempt is taken over only after its owner has
// revoked it, or after it was released.
#ifndef CORIANDERLINK_SERVING_CLAIM_ATTEMPT_H_
#define CORIANDERLINK_SERVING_CLAIM_ATTEMPT_H_

#include <functional>
#include <optional>
#include <string>

#include "corianderlink/Platform/table.h"
#include "corianderlink/Serving/claim_ledger.h"
#include "corianderlink/Serving/claim_record.h"
#include "corianderlink/Support/time.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

/// Response to a call that was dispatched under a claim.
struct CallResponse {
  Outcome outcome;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// How an attempt ended.
struct ClaimResult {
  enum class Kind {
    kResponse,    ///< `response` is set, from this call or stored.
    kNotRun,      ///< Certainly not run, by this or any earlier attempt.
    kMayHaveRun,  ///< This or another attempt may have run it.
    kKeyReused,   ///< The key was used before for another request.
  };
  Kind kind = Kind::kMayHaveRun;
  CallResponse response;
  std::string reason;
};

/// Performs no I/O: the owner of the object executes the actions that `Next`
/// returns and reports their results.
class ClaimAttempt {
 public:
  /// Next operation for the owner of this object.
  struct Action {
    enum class Kind {
      kWait,        ///< Wait for the result of the last action.
      kRead,        ///< Read the row `row_key()`.
      kCommit,      ///< Commit `txn`.
      kQueryOwner,  ///< Send a claim query about `nonce` to `owner_address`.
      kDispatch,    ///< Send the call; no other attempt sends it.
      kDone,        ///< `result` is final.
    };
    Kind kind = Kind::kWait;
    TableTransaction txn;
    std::string owner_address;
    std::string nonce;
  };

  /// `own` identifies this process and the request; its nonce is set here.
  /// `next_nonce` returns a new random string on each call.  The attempt ends
  /// at `deadline` unless the call was dispatched before.
  ClaimAttempt(std::string row_key, ClaimRecord own,
               std::function<std::string()> next_nonce, ClaimLedger& ledger,
               Time deadline);

  /// Returns the next action.
  Action Next(Time now);
  /// Result of kRead.
  void OnRead(const ReadResult& result);
  /// Result of kCommit.
  void OnCommit(const CommitResult& result);
  /// Result of kQueryOwner; nothing if the owner did not respond in time.
  void OnOwnerResponse(std::optional<RevocationStatus> status);
  /// Result of kDispatch.
  void OnCallResponse(const CallResponse& response);

  /// Valid once `Next` returned kDone.
  const ClaimResult& result() const { return result_; }
  const std::string& row_key() const { return row_key_; }
  /// True while the outcome of a dispatched call is being stored.  `result` may
  /// be sent to the client before that completes.
  bool storing() const { return step_ == Step::kStore; }

 private:
  enum class Step {
    kInsert,
    kReadBack,
    kQueryOwner,
    kDispatch,
    kCallInProgress,
    kStore,
    kVerifyStore,
    kDone,
  };

  void EvaluateRow(const TableRow& row);
  void GenerateNonce(Time now);
  void TakeOver(RowVersion version);
  void DispatchIfAllowed();
  void Abandon(const std::string& reason);
  void Finish(ClaimResult::Kind kind, std::string reason);
  TableTransaction BuildClaimWrite() const;

  const std::string row_key_;
  ClaimRecord own_record_;
  const std::function<std::string()> next_nonce_;
  ClaimLedger& ledger_;
  const Time deadline_;
  Step step_ = Step::kInsert;
  bool awaiting_result_ = false;
  bool needs_nonce_ = true;
  RowVersion version_ = 0;
  TableRow other_row_;
  ClaimRecord other_record_;
  ClaimRecord final_record_;
  ClaimResult result_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CLAIM_ATTEMPT_H_
