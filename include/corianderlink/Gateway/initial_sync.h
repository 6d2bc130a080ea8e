// When a started gateway has received what its peers know.
#ifndef CORIANDERLINK_GATEWAY_INITIAL_SYNC_H_
#define CORIANDERLINK_GATEWAY_INITIAL_SYNC_H_

#include <optional>
#include <set>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Initial synchronization of a gateway with its peers.
///
/// A store that came back from a copy lacks changes that were in force before.
/// A gateway that starts then must not serve by the store alone while a peer
/// knows better.
class InitialSync {
 public:
  /// The table of gateways was read; `peers` are the addresses of the others in
  /// it.  Only the first call counts.
  void Begin(Time now, const std::set<Address>& peers);
  /// A heartbeat of a peer arrived.  Returns true if its records are to be
  /// requested now.
  bool OnHeartbeat(const Address& peer, bool ready);
  /// A peer sent its records.
  void OnRecords() { has_records_ = true; }
  /// True once a ready peer has sent its records, no listed peer is ready, or
  /// the listed ones without a heartbeat have had time enough.
  bool IsOver(Time now) const;

 private:
  std::optional<Time> began_at_;
  std::set<Address> awaited_;
  // Ready peers whose records were requested.
  std::set<Address> requested_;
  bool has_records_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_INITIAL_SYNC_H_
