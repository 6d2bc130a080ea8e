// Positions in the history of the store.
#ifndef CORIANDERLINK_GATEWAY_STORE_POSITION_H_
#define CORIANDERLINK_GATEWAY_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace corianderlink {

/// A version of the store together with the era in which it was given out.
///
/// When the store comes back from a copy, its era rises by one, its version
/// goes back, and versions are given out a second time.  Versions of different
/// eras are therefore ordered by their eras.
struct StorePosition {
  /// 0 if the store does not tell its era.
  uint64_t era = 0;
  uint64_t version = 0;

  auto operator<=>(const StorePosition&) const = default;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_STORE_POSITION_H_
