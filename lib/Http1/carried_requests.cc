// The requests that one connection to an upstream has carried.
#include "corianderlink/Http1/carried_requests.h"

#include <algorithm>

#include "corianderlink/Support/hash.h"

namespace corianderlink {

CarriedRequests::Digest CarriedRequests::DigestOf(std::string_view id) {
  const uint64_t hash = Fnv1aHash(id);
  return static_cast<Digest>(hash ^ hash >> 32);
}

bool CarriedRequests::CanCarry(std::string_view id) const {
  if (count_ == 0) return true;
  if (id.empty() || !HasRoom()) return false;
  return std::find(digests_.begin(), digests_.end(), DigestOf(id)) ==
         digests_.end();
}

void CarriedRequests::Add(std::string_view id) {
  ++count_;
  last_ = id;
  if (!id.empty()) digests_.push_back(DigestOf(id));
}

bool CarriedRequests::IsResponse(std::string_view named) const {
  if (named.empty()) return count_ == 1;
  return named == last_;
}

}  // namespace corianderlink
