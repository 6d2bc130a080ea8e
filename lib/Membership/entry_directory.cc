// Directory of the entry instances that callers can use.
#include "corianderlink/Membership/entry_directory.h"

#include <set>

namespace corianderlink {
namespace {

// Number of requests in progress at which an entry has half the weight of an
// idle entry.
constexpr double kHalfWeightInFlight = 64;

double Weight(uint32_t in_flight) {
  return kHalfWeightInFlight / (kHalfWeightInFlight + in_flight);
}

}  // namespace

std::vector<DirectoryEntry> ListEntries(Time now, const PeerTable& peers,
                                        const LocalEntry& self) {
  std::set<std::string> leaving;
  for (const Instance& instance : peers.instances()) {
    if (instance.leaving) leaving.insert(instance.entry.ToString());
  }
  std::vector<DirectoryEntry> entries;
  if (!self.leaving && leaving.count(self.address) == 0) {
    entries.push_back({self.address, self.zone, Weight(self.in_flight)});
  }
  for (const PeerState* peer : peers.Live(now, "entry")) {
    const wire::Heartbeat& heartbeat = peer->heartbeat;
    if (heartbeat.leaving()) continue;
    if (leaving.count(heartbeat.entry_address()) > 0) continue;
    entries.push_back({heartbeat.entry_address(), heartbeat.zone(),
                       Weight(heartbeat.in_flight())});
  }
  return entries;
}

}  // namespace corianderlink
