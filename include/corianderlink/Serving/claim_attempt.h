// One attempt to run a call with an idempotency key at most once.
//
// The claim row is inserted before the call is dispatched.  There is no
// takeover by time: a foreign claim is taken over only after its owner
// promised never to dispatch it, or after it was released.
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

/// Answer of a call that was dispatched under a claim.
struct ClaimedAnswer {
  Outcome outcome;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// How an attempt ended.
struct ClaimResult {
  enum class Kind {
    kAnswer,      ///< `answer` is the call's own or its stored outcome.
    kNotRun,      ///< Certainly not run by this attempt or any before.
    kMayHaveRun,  ///< Another attempt may have run it.
    kKeyReused,   ///< The key belongs to another request.
  };
  Kind kind = Kind::kMayHaveRun;
  ClaimedAnswer answer;
  std::string reason;
};

class ClaimAttempt {
 public:
  /// What the owner of this object has to do next.
  struct Action {
    enum class Kind {
      kWait,      ///< An answer is outstanding.
      kRead,      ///< Read `row_key`.
      kCommit,    ///< Commit `txn`.
      kAskOwner,  ///< Ask `owner_address` about `nonce`.
      kDispatch,  ///< Send the call; nothing else may send it.
      kDone,      ///< `result` is final.
    };
    Kind kind = Kind::kWait;
    TableTransaction txn;
    std::string owner_address;
    std::string nonce;
  };

  /// `own` names this process and the request; its nonce is set here.
  /// `next_nonce` returns a new random string at each call.  Before the
  /// dispatch the attempt ends by `deadline`.
  ClaimAttempt(std::string row_key, ClaimRecord own,
               std::function<std::string()> next_nonce, ClaimLedger& ledger,
               Time deadline);

  Action Next(Time now);
  void OnRead(const ReadResult& result);
  void OnCommit(const CommitResult& result);
  /// Nothing if the owner did not answer in time.
  void OnOwnerAnswer(std::optional<ClaimAnswerStatus> status);
  void OnCallAnswer(const ClaimedAnswer& answer);

  /// Valid once `Next` returned kDone.
  const ClaimResult& result() const { return result_; }
  const std::string& row_key() const { return row_key_; }
  /// True while the outcome of a dispatched call is being stored.  The caller
  /// may be answered with `result` if that takes too long.
  bool storing() const { return step_ == Step::kStore; }

 private:
  enum class Step {
    kInsert,
    kReadBack,
    kAskOwner,
    kDispatch,
    kInCall,
    kStore,
    kSettleStore,
    kDone,
  };

  void Examine(const TableRow& row);
  void OpenNonce(Time now);
  void TakeOver(RowVersion version);
  void MayDispatch();
  void GiveUp(const std::string& reason);
  void Finish(ClaimResult::Kind kind, std::string reason);
  TableTransaction ClaimWrite() const;

  const std::string row_key_;
  ClaimRecord own_;
  const std::function<std::string()> next_nonce_;
  ClaimLedger& ledger_;
  const Time deadline_;
  Step step_ = Step::kInsert;
  bool outstanding_ = false;
  bool needs_nonce_ = true;
  RowVersion version_ = 0;
  TableRow foreign_;
  ClaimRecord foreign_record_;
  ClaimRecord final_record_;
  ClaimResult result_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CLAIM_ATTEMPT_H_
