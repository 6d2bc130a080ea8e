// Table row by which a call with an idempotency key runs at most once.
#ifndef CORIANDERLINK_SERVING_CLAIM_RECORD_H_
#define CORIANDERLINK_SERVING_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

enum class ClaimState {
  kClaimed,     ///< The owner may dispatch the call, or has dispatched it.
  kReleased,    ///< Certainly not run; the next attempt may take over.
  kMayHaveRun,  ///< Dispatched, but no complete response was received.
  kDone,        ///< The outcome is stored.
};

struct ClaimRecord {
  ProcessId owner;
  /// Peer address of the owner, as ip:port.
  std::string owner_address;
  /// Random; unique for every attempt to claim.
  std::string nonce;
  /// SHA-256 digest of account, service, method, target and body.
  std::string request_digest;
  ClaimState state = ClaimState::kClaimed;
  /// The stored response if `state` is kDone.
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Row key of a client account's idempotency key.
std::string ClaimRowKey(const AccountId& account, const std::string& key);
/// Encodes the row as JSON.
std::string EncodeClaimRecord(const ClaimRecord& record);
/// Nothing if `text` is malformed.
std::optional<ClaimRecord> DecodeClaimRecord(const std::string& text);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CLAIM_RECORD_H_
