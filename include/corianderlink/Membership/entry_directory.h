// Directory of the entry instances that callers can use.
#ifndef CORIANDERLINK_MEMBERSHIP_ENTRY_DIRECTORY_H_
#define CORIANDERLINK_MEMBERSHIP_ENTRY_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "corianderlink/Membership/peer_table.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// One entry instance in the directory.
struct DirectoryEntry {
  std::string address;
  std::string zone;
  /// Share of new callers that this entry should get, relative to the others.
  double weight = 1;
};

/// State of the process that answers the directory query.
struct LocalEntry {
  std::string address;
  std::string zone;
  bool leaving = false;
  uint32_t in_flight = 0;
};

/// Returns the live entries, including this one, that are not leaving.  The
/// weight decreases with an entry's load.  The result is empty only if every
/// live entry is leaving.
std::vector<DirectoryEntry> ListEntries(Time now, const PeerTable& peers,
                                        const LocalEntry& self);

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_ENTRY_DIRECTORY_H_
