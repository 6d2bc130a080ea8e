// The row that makes a call with an idempotency key run at most once.
#ifndef CORIANDERLINK_SERVING_CLAIM_RECORD_H_
#define CORIANDERLINK_SERVING_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

enum class ClaimState {
  kClaimed,     ///< The owner may dispatch, or has.
  kReleased,    ///< Certainly not run; the next claimant may take it.
  kMayHaveRun,  ///< Dispatched without a whole answer.
  kDone,        ///< The outcome is stored.
};

struct ClaimRecord {
  ProcessId owner;
  /// Where the owner hears its peers, as ip:port.
  std::string owner_address;
  /// New for every attempt to claim.
  std::string nonce;
  /// Digest of account, method, target and body.
  std::string request_digest;
  ClaimState state = ClaimState::kClaimed;
  /// The stored outcome if done.
  int status = 0;
  std::string content_type;
  std::string body;
};

std::string ClaimRowKey(const AccountId& account, const std::string& key);
std::string EncodeClaimRecord(const ClaimRecord& record);
std::optional<ClaimRecord> DecodeClaimRecord(const std::string& text);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CLAIM_RECORD_H_
