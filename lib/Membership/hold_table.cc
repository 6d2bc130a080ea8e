// Table of the holds that an entry obeys.
#include "corianderlink/Membership/hold_table.h"

#include <algorithm>
#include <utility>

namespace corianderlink {

void HoldTable::OnHeartbeat(Time now, const ProcessId& process,
                            const wire::Heartbeat& heartbeat) {
  known_instances_.insert(heartbeat.instance());
  Holds holds;
  for (const wire::Hold& hold : heartbeat.holds()) {
    const auto address = Address::Parse(hold.address());
    if (!address) continue;
    holds[*address] = {hold.sequence(), hold.epoch(), hold.fencing()};
  }
  Announcement& sender = announced_[process];
  // When a process lifts a hold, it also lifts the holds that earlier lease
  // holders announced for the same or an earlier order of the engine, since
  // those processes may be dead.  A former lease holder that becomes live again
  // does not lift the holds of its successors.
  for (const auto& [address, id] : sender.holds) {
    if (holds.count(address) > 0) continue;
    for (auto& [other, announcement] : announced_) {
      const auto it = announcement.holds.find(address);
      if (other == process || it == announcement.holds.end()) continue;
      const bool superseded =
          it->second.sequence <= id.sequence && it->second.fencing < id.fencing;
      if (superseded) announcement.holds.erase(it);
    }
  }
  sender.last_heartbeat = now;
  sender.holds = std::move(holds);
}

void HoldTable::Expire(Time now) {
  std::erase_if(announced_, [&](const auto& entry) {
    return now - entry.second.last_heartbeat > silent_ttl_;
  });
}

std::set<Address> HoldTable::HeldEngines() const {
  std::set<Address> current;
  for (const auto& [process, announcement] : announced_) {
    for (const auto& [address, id] : announcement.holds) {
      current.insert(address);
    }
  }
  return current;
}

void HoldTable::Acknowledge(const std::set<Address>& busy,
                            wire::Heartbeat& heartbeat) const {
  for (const auto& [process, announcement] : announced_) {
    for (const auto& [address, id] : announcement.holds) {
      if (busy.count(address) > 0) continue;
      wire::Hold& out = *heartbeat.add_obeyed();
      out.set_address(address.ToString());
      out.set_sequence(id.sequence);
      out.set_announcer(process.value());
      out.set_epoch(id.epoch);
      out.set_fencing(id.fencing);
    }
  }
}

bool HoldTable::MaySend(Time now, const std::set<std::string>& listed) const {
  if (now - started_ >= start_wait_) return true;
  return !listed.empty() &&
         std::includes(known_instances_.begin(), known_instances_.end(),
                       listed.begin(), listed.end());
}

}  // namespace corianderlink
