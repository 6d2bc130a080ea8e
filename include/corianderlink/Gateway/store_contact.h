// When the store last responded to this gateway and to its peers.
#ifndef CORIANDERLINK_GATEWAY_STORE_CONTACT_H_
#define CORIANDERLINK_GATEWAY_STORE_CONTACT_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Tables of the store that a gateway follows.
enum class StoreTable { kConfig, kUpstreams };

/// Times of the store's last responses.  What is known of a table is no older
/// than the last response about it.
class StoreContact {
 public:
  /// The store responded to a read or watch of the table.
  void OnResponse(Time now, StoreTable table) { Last(table) = now; }

  /// Time since the store's last response about the table; the whole time since
  /// the clock's epoch if there was none.
  Duration OwnAge(Time now, StoreTable table) const {
    return now - last_[static_cast<size_t>(table)];
  }
  /// As above, of the table whose last response is the oldest.
  Duration OwnAge(Time now) const {
    return std::max(OwnAge(now, StoreTable::kConfig),
                    OwnAge(now, StoreTable::kUpstreams));
  }

 private:
  Time& Last(StoreTable table) { return last_[static_cast<size_t>(table)]; }

  std::array<Time, 2> last_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_STORE_CONTACT_H_
