// The row of a lease in the table service.
#ifndef CORIANDERLINK_AUTHORITY_LEASE_RECORD_H_
#define CORIANDERLINK_AUTHORITY_LEASE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// Grows on every change of holder and never falls.
using FencingNumber = uint64_t;

struct LeaseRecord {
  /// Empty if the last holder gave the lease back.
  ProcessId holder;
  FencingNumber fencing = 0;
  /// Differs in every write, so that a writer recognises its own.
  std::string nonce;
};

std::string EncodeLeaseRecord(const LeaseRecord& record);
std::optional<LeaseRecord> DecodeLeaseRecord(const std::string& text);

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_LEASE_RECORD_H_
