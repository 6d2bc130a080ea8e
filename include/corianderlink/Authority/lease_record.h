// Contents of a lease row in the table service.
#ifndef CORIANDERLINK_AUTHORITY_LEASE_RECORD_H_
#define CORIANDERLINK_AUTHORITY_LEASE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// Number that increases with every change of the holder and never decreases.
/// Lets receivers reject orders from a former holder.
using FencingToken = uint64_t;

struct LeaseRecord {
  /// Empty if the last holder released the lease.
  ProcessId holder;
  FencingToken fencing = 0;
  /// Unique to each write, so that a process recognizes its own writes.
  std::string nonce;
};

std::string EncodeLeaseRecord(const LeaseRecord& record);
/// Returns nullopt if `text` is malformed.
std::optional<LeaseRecord> DecodeLeaseRecord(const std::string& text);

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_LEASE_RECORD_H_
