// An entry's view of the engines that take no new work.
#include "corianderlink/Membership/hold_book.h"

#include <algorithm>
#include <utility>

namespace corianderlink {

void HoldBook::OnHeartbeat(Time now, const ProcessId& process,
                           const wire::Heartbeat& heartbeat) {
  heard_instances_.insert(heartbeat.instance());
  Holds holds;
  for (const wire::Hold& hold : heartbeat.holds()) {
    const auto address = Address::Parse(hold.address());
    if (!address) continue;
    holds[*address] = {hold.sequence(), hold.epoch(), hold.fencing()};
  }
  Announcement& known = announced_[process];
  // A hold that was lifted is lifted for dead announcers with older leases
  // too.  A deposed announcer that comes back lifts nobody else's hold.
  for (const auto& [address, mark] : known.holds) {
    if (holds.count(address) > 0) continue;
    for (auto& [other, announcement] : announced_) {
      const auto it = announcement.holds.find(address);
      if (other == process || it == announcement.holds.end()) continue;
      const bool older = it->second.sequence <= mark.sequence &&
                         it->second.fencing < mark.fencing;
      if (older) announcement.holds.erase(it);
    }
  }
  known.heard = now;
  known.holds = std::move(holds);
}

void HoldBook::Expire(Time now) {
  std::erase_if(announced_, [&](const auto& entry) {
    return now - entry.second.heard > keep_silent_;
  });
}

std::set<Address> HoldBook::Current() const {
  std::set<Address> current;
  for (const auto& [process, announcement] : announced_) {
    for (const auto& [address, mark] : announcement.holds) {
      current.insert(address);
    }
  }
  return current;
}

void HoldBook::Acknowledge(const std::set<Address>& busy,
                           wire::Heartbeat& heartbeat) const {
  for (const auto& [process, announcement] : announced_) {
    for (const auto& [address, mark] : announcement.holds) {
      if (busy.count(address) > 0) continue;
      wire::Hold& out = *heartbeat.add_obeyed();
      out.set_address(address.ToString());
      out.set_sequence(mark.sequence);
      out.set_announcer(process.value());
      out.set_epoch(mark.epoch);
      out.set_fencing(mark.fencing);
    }
  }
}

bool HoldBook::MaySend(Time now, const std::set<std::string>& listed) const {
  if (now - started_ >= start_wait_) return true;
  return !listed.empty() &&
         std::includes(heard_instances_.begin(), heard_instances_.end(),
                       listed.begin(), listed.end());
}

}  // namespace corianderlink
