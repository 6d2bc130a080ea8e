// The platform's list of instances.
#ifndef CORIANDERLINK_PLATFORM_INSTANCE_H_
#define CORIANDERLINK_PLATFORM_INSTANCE_H_

#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// An instance in the platform's list, with the addresses of its processes.
/// The list may lag behind the actual state.
struct Instance {
  std::string id;
  ZoneId zone;
  /// Address at which the entry process accepts clients.
  Address entry;
  /// Address at which the entry process receives peer messages.
  Address entry_peer;
  /// Address at which the fleet process receives peer messages.
  Address fleet_peer;
  /// The instance is being taken out of service.
  bool leaving = false;
};

/// Decodes the platform's list.  If `body` is malformed, returns nullopt and
/// sets `reason` to the first error.
std::optional<std::vector<Instance>> DecodeInstances(const std::string& body,
                                                     std::string& reason);

}  // namespace corianderlink

#endif  // CORIANDERLINK_PLATFORM_INSTANCE_H_
