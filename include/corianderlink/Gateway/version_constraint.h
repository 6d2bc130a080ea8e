// Software versions at which a request may run.
#ifndef CORIANDERLINK_GATEWAY_VERSION_CONSTRAINT_H_
#define CORIANDERLINK_GATEWAY_VERSION_CONSTRAINT_H_

#include <optional>
#include <set>

#include "corianderlink/Gateway/upstream_record.h"

namespace corianderlink {

/// Permits all versions unless told otherwise.
struct VersionConstraint {
  /// The only version that may go on with a stream.
  std::optional<SoftwareVersion> required;
  /// Versions at which no stream may begin yet.
  std::set<SoftwareVersion> avoided;

  bool empty() const { return !required && avoided.empty(); }
  bool Permits(const UpstreamRecord& upstream) const {
    if (required) return upstream.version == *required;
    return avoided.count(upstream.version) == 0;
  }
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_VERSION_CONSTRAINT_H_
