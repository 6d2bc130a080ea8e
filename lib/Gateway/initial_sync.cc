// When a started gateway has received what its peers know.
#include "corianderlink/Gateway/initial_sync.h"

namespace corianderlink {
namespace {

// Listed peers may be gone for good.
constexpr Duration kMaxWait = milliseconds(800);
// Peers whose records are requested; later heartbeats show what they lack.
constexpr size_t kMaxRequests = 2;

}  // namespace

void InitialSync::Begin(Time now, const std::set<Address>& peers) {
  if (began_at_) return;
  began_at_ = now;
  awaited_ = peers;
}

bool InitialSync::OnHeartbeat(const Address& peer, bool ready) {
  awaited_.erase(peer);
  if (!ready || has_records_ || requested_.size() >= kMaxRequests) return false;
  return requested_.insert(peer).second;
}

bool InitialSync::IsOver(Time now) const {
  if (has_records_) return true;
  if (!began_at_) return false;
  if (now - *began_at_ >= kMaxWait) return true;
  return awaited_.empty() && requested_.empty();
}

}  // namespace corianderlink
