// An instance of the platform's list and the processes on it.
#ifndef CORIANDERLINK_PLATFORM_INSTANCE_H_
#define CORIANDERLINK_PLATFORM_INSTANCE_H_

#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// One row of the platform's list of instances.  The list lags.
struct Instance {
  std::string id;
  ZoneId zone;
  /// Where callers connect.
  Address entry;
  /// Where the entry process hears its peers.
  Address entry_peer;
  /// Where the fleet process hears its peers.
  Address fleet_peer;
  bool leaving = false;
};

/// Reads the platform's answer; nothing with a reason if malformed.
std::optional<std::vector<Instance>> DecodeInstances(const std::string& body,
                                                     std::string& reason);

}  // namespace corianderlink

#endif  // CORIANDERLINK_PLATFORM_INSTANCE_H_
