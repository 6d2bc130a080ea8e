// Requests that upstreams have answered lately.
#include "corianderlink/Gateway/answered_requests.h"

namespace corianderlink {
namespace {

constexpr Duration kMemory = seconds(60);

}  // namespace

void AnsweredRequests::Add(Time now, uint64_t fingerprint) {
  entries_[fingerprint % kEntries] = {fingerprint, now};
}

bool AnsweredRequests::Contains(Time now, uint64_t fingerprint) const {
  const Entry& entry = entries_[fingerprint % kEntries];
  return entry.fingerprint == fingerprint && now - entry.answered_at <= kMemory;
}

}  // namespace corianderlink
