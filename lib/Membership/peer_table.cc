// Table of the peer processes, from their heartbeats.
#include "corianderlink/Membership/peer_table.h"

#include <algorithm>
#include <utility>

namespace corianderlink {
namespace {

// Number of timeouts without a heartbeat after which a peer is removed.
constexpr int kExpiryTimeouts = 20;

}  // namespace

void PeerTable::OnHeartbeat(Time now, const ProcessId& process,
                            const wire::Heartbeat& heartbeat) {
  const auto address = Address::Parse(heartbeat.peer_address());
  if (!address) return;
  // A restarted process has the same address but a new id, so another process
  // with this address no longer exists.
  std::erase_if(peers_, [&](const auto& entry) {
    return entry.second.address == *address && entry.first != process;
  });
  PeerState& peer = peers_[process];
  peer.process = process;
  peer.address = *address;
  peer.last_heartbeat = now;
  peer.heartbeat = heartbeat;
}

void PeerTable::OnInstances(std::vector<Instance> instances) {
  instances_ = std::move(instances);
}

void PeerTable::Expire(Time now) {
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.last_heartbeat > kExpiryTimeouts * timeout_;
  });
}

std::vector<const PeerState*> PeerTable::Live(Time now,
                                              const std::string& kind) const {
  std::vector<const PeerState*> live;
  for (const auto& [process, peer] : peers_) {
    if (peer.heartbeat.kind() != kind) continue;
    if (now - peer.last_heartbeat <= timeout_) live.push_back(&peer);
  }
  return live;
}

bool PeerTable::IsLive(Time now, const ProcessId& process) const {
  const auto it = peers_.find(process);
  return it != peers_.end() && now - it->second.last_heartbeat <= timeout_;
}

std::set<Address> PeerTable::Receivers(const Address& self) const {
  std::set<Address> receivers;
  for (const Instance& instance : instances_) {
    receivers.insert(instance.entry_peer);
    receivers.insert(instance.fleet_peer);
  }
  for (const auto& [process, peer] : peers_) receivers.insert(peer.address);
  receivers.erase(self);
  return receivers;
}

size_t PeerTable::CountLiveInstances(Time now, const std::string& own_instance,
                                     Duration window) const {
  std::set<std::string> heard;
  for (const auto& [process, peer] : peers_) {
    if (now - peer.last_heartbeat <= window) {
      heard.insert(peer.heartbeat.instance());
    }
  }
  heard.insert(own_instance);
  return static_cast<size_t>(
      std::count_if(instances_.begin(), instances_.end(),
                    [&](const Instance& i) { return heard.count(i.id) > 0; }));
}

}  // namespace corianderlink
