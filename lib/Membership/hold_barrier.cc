// Tracks whether all entries acknowledge a hold.
#include "corianderlink/Membership/hold_barrier.h"

namespace corianderlink {

std::set<std::string> MissingAcknowledgements(Time now, const PeerTable& peers,
                                              const wire::Hold& hold) {
  std::set<std::string> missing;
  for (const Instance& instance : peers.instances()) {
    missing.insert(instance.id);
  }
  for (const PeerState* peer : peers.Live(now, "entry")) {
    bool acknowledged = false;
    for (const wire::Hold& reply : peer->heartbeat.obeyed()) {
      acknowledged = acknowledged || (reply.address() == hold.address() &&
                                      reply.sequence() == hold.sequence() &&
                                      reply.announcer() == hold.announcer() &&
                                      reply.epoch() == hold.epoch() &&
                                      reply.fencing() == hold.fencing());
    }
    if (acknowledged) missing.erase(peer->heartbeat.instance());
    if (!acknowledged) missing.insert(peer->heartbeat.instance());
  }
  return missing;
}

wire::Hold HoldBarrier::Announcement(const ProcessId& self,
                                     const Address& engine, uint64_t sequence,
                                     uint64_t fencing) const {
  wire::Hold hold;
  hold.set_address(engine.ToString());
  hold.set_sequence(sequence);
  hold.set_announcer(self.value());
  hold.set_epoch(epoch_);
  hold.set_fencing(fencing);
  return hold;
}

}  // namespace corianderlink
