// Requests that upstreams have answered lately.
#include "corianderlink/Gateway/answered_requests.h"

namespace corianderlink {

void AnsweredRequests::Add(Time now, uint64_t digest) {
  entries_[digest % kEntries] = {digest, now};
}

std::optional<Time> AnsweredRequests::Find(uint64_t digest) const {
  const Entry& entry = entries_[digest % kEntries];
  if (entry.digest != digest || entry.answered_at == Time{}) {
    return std::nullopt;
  }
  return entry.answered_at;
}

}  // namespace corianderlink
