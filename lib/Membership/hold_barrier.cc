// Which entries acknowledge a hold.
#include "corianderlink/Membership/hold_barrier.h"

namespace corianderlink {

std::set<std::string> MissingAcknowledgements(Time now, const PeerTable& peers,
                                              const Address& engine,
                                              uint64_t sequence) {
  std::set<std::string> missing;
  for (const Instance& instance : peers.instances()) {
    missing.insert(instance.id);
  }
  for (const PeerState* peer : peers.Live(now, "entry")) {
    bool obeys = false;
    for (const wire::Hold& hold : peer->heartbeat.obeyed()) {
      obeys = obeys || (hold.address() == engine.ToString() &&
                        hold.sequence() == sequence);
    }
    if (obeys) missing.erase(peer->heartbeat.instance());
    if (!obeys) missing.insert(peer->heartbeat.instance());
  }
  return missing;
}

}  // namespace corianderlink
