// Table of the holds that an entry obeys.
#include "corianderlink/Membership/hold_table.h"

#include <algorithm>
#include <utility>

namespace corianderlink {
namespace {

Holds DecodeHolds(const google::protobuf::RepeatedPtrField<wire::Hold>& in) {
  Holds holds;
  for (const wire::Hold& hold : in) {
    const auto address = Address::Parse(hold.address());
    if (!address) continue;
    holds[*address] = {hold.sequence(), hold.epoch(), hold.fencing()};
  }
  return holds;
}

void EncodeHold(const Address& address, const HoldId& id,
                const ProcessId& announcer, wire::Hold& out) {
  out.set_address(address.ToString());
  out.set_sequence(id.sequence);
  out.set_announcer(announcer.value());
  out.set_epoch(id.epoch);
  out.set_fencing(id.fencing);
}

}  // namespace

void HoldTable::OnHeartbeat(Time now, const ProcessId& process,
                            const wire::Heartbeat& heartbeat) {
  known_instances_.insert(heartbeat.instance());
  Holds holds = DecodeHolds(heartbeat.holds());
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
  sender.instance = heartbeat.instance();
  sender.last_heartbeat = now;
  sender.holds = std::move(holds);
}

void HoldTable::RelaySilent(Time now, Duration silence,
                            const std::set<std::string>& listed,
                            wire::Heartbeat& heartbeat) const {
  if (!MaySend(now, listed)) return;
  for (const auto& [process, announcement] : announced_) {
    if (now - announcement.last_heartbeat <= silence) continue;
    if (listed.count(announcement.instance) == 0) continue;
    wire::SilentAnnouncer& out = *heartbeat.add_silent_announcers();
    out.set_instance(announcement.instance);
    out.set_process(process.value());
    out.set_silent_ms(
        static_cast<uint32_t>(ToMillis(now - announcement.last_heartbeat)));
    for (const auto& [address, id] : announcement.holds) {
      EncodeHold(address, id, process, *out.add_holds());
    }
  }
}

void HoldTable::OnEntryHeartbeat(Time now, const wire::Heartbeat& heartbeat) {
  for (const wire::SilentAnnouncer& silent : heartbeat.silent_announcers()) {
    const ProcessId process(silent.process());
    if (announced_.count(process) > 0) continue;
    known_instances_.insert(silent.instance());
    const Duration age =
        std::min<Duration>(milliseconds(silent.silent_ms()), silent_ttl_);
    announced_[process] = {silent.instance(), now - age,
                           DecodeHolds(silent.holds())};
  }
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
      EncodeHold(address, id, process, *heartbeat.add_obeyed());
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
