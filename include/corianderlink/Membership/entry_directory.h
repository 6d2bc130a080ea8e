// Answers callers which entry instances to use.
#ifndef CORIANDERLINK_MEMBERSHIP_ENTRY_DIRECTORY_H_
#define CORIANDERLINK_MEMBERSHIP_ENTRY_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "corianderlink/Membership/peer_table.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// One entry instance in an answer.
struct DirectoryEntry {
  std::string address;
  std::string zone;
  /// Share of new callers, relative to the others.
  double weight = 1;
};

/// The process that answers.
struct DirectorySelf {
  std::string address;
  std::string zone;
  bool leaving = false;
  uint32_t in_flight = 0;
};

/// Live entries that are not leaving, this one included, the least loaded with
/// the largest weight.  Empty only if every live entry is leaving.
std::vector<DirectoryEntry> ListEntries(Time now, const PeerTable& peers,
                                        const DirectorySelf& self);

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_ENTRY_DIRECTORY_H_
