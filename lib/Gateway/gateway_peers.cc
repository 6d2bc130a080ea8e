// Exchange of heartbeats and records with the other gateways.
#include "corianderlink/Gateway/gateway_peers.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Support/log.h"
#include "peer_codec.h"

namespace corianderlink {
namespace {

constexpr Duration kMinHeartbeatInterval = milliseconds(25);
// The heartbeat interval is at least this long per live peer, which bounds the
// number of heartbeats sent and received per second.
constexpr Duration kHeartbeatIntervalPerPeer = milliseconds(3);
// In a large fleet, a member is gone after so many missing heartbeats.
constexpr int kMissedHeartbeats = 3;
// Time for a heartbeat to arrive and to be handled.
constexpr Duration kViewTransit = milliseconds(50);
// Peers and addresses without a heartbeat for longer than this are forgotten.
constexpr Duration kPeerExpiry = seconds(20);

}  // namespace

GatewayPeers::GatewayPeers(EventLoop& loop, std::string deployment,
                           ProcessId self, Address own_address,
                           StatusSource status)
    : loop_(loop),
      bus_(loop, std::move(deployment), self, std::nullopt),
      self_(std::move(self)),
      own_address_(std::move(own_address)),
      status_source_(std::move(status)) {
  bus_.signal_message.connect(
      [this](const wire::Envelope& message) { OnMessage(message); });
}

void GatewayPeers::Start() { Tick(); }

void GatewayPeers::Tick() {
  SendHeartbeat();
  const Time now = BootClock::now();
  last_tick_ = now;
  ExpirePeers(now);
  heartbeat_timer_ = loop_.After(HeartbeatInterval(now), [this] { Tick(); });
}

Duration GatewayPeers::HeartbeatInterval(Time now) const {
  const auto live = static_cast<int64_t>(Live(now).size());
  return std::max(kMinHeartbeatInterval, live * kHeartbeatIntervalPerPeer);
}

void GatewayPeers::SendHeartbeat() {
  const Time now = BootClock::now();
  wire::Envelope message;
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat = EncodeHeartbeat(now, status_source_(now));
  heartbeat.set_sent_at(static_cast<uint64_t>(now.time_since_epoch().count()));
  const auto peers = PeersByAddress();
  for (const auto& [address, last_heartbeat] : receivers_) {
    heartbeat.clear_echo();
    const auto peer = peers.find(address);
    if (peer != peers.end()) {
      heartbeat.mutable_echo()->set_process(peer->second->process);
      heartbeat.mutable_echo()->set_sent_at(peer->second->sent_at);
    }
    bus_.Send(address, message);
  }
}

std::optional<Time> GatewayPeers::MadeAfter(
    const wire::Heartbeat& heartbeat) const {
  // An older build's may have waited here since the last turn of the loop.
  if (heartbeat.sent_at() == 0) return last_tick_;
  if (heartbeat.echo().process() != self_.value() ||
      heartbeat.echo().sent_at() == 0) {
    return std::nullopt;
  }
  return Time(Duration(static_cast<int64_t>(heartbeat.echo().sent_at())));
}

void GatewayPeers::AddPeerAddress(const Address& address) {
  if (address == own_address_ || address.port == 0) return;
  receivers_.try_emplace(address, BootClock::now());
}

void GatewayPeers::OnMessage(const wire::Envelope& message) {
  if (message.process() == self_.value()) return;
  if (message.has_heartbeat()) OnHeartbeat(message);
  if (message.has_records_request()) OnRecordsRequest(message);
  if (message.has_records_answer()) OnRecordsAnswer(message);
  if (message.has_permit_request()) OnPermitRequest(message);
  if (message.has_permit_reply()) OnPermitReply(message);
}

void GatewayPeers::RequestRecords(const GatewayPeer& peer,
                                  bool needs_upstreams) {
  wire::Envelope message;
  wire::RecordsRequest* request = message.mutable_records_request();
  request->set_needs_upstreams(needs_upstreams);
  request->set_peer_address(own_address_.ToString());
  bus_.Send(peer.status.peer_address, message);
}

void GatewayPeers::OnRecordsRequest(const wire::Envelope& message) {
  const wire::RecordsRequest& request = message.records_request();
  const auto address = Address::Parse(request.peer_address());
  if (!address || !on_records_request) return;
  wire::Envelope reply;
  *reply.mutable_records_answer() = EncodeRecords(
      BootClock::now(), on_records_request(request.needs_upstreams()));
  bus_.Send(*address, reply);
}

void GatewayPeers::OnRecordsAnswer(const wire::Envelope& message) {
  if (!on_records_received) return;
  on_records_received(
      DecodeRecords(BootClock::now(), message.records_answer()));
}

void GatewayPeers::SendPermitRequest(const Address& keeper,
                                     const PermitRequest& request) {
  wire::Envelope message;
  *message.mutable_permit_request() =
      EncodePermitRequest(BootClock::now(), request, own_address_);
  bus_.Send(keeper, message);
}

void GatewayPeers::OnPermitRequest(const wire::Envelope& message) {
  const wire::PermitRequest& in = message.permit_request();
  const Time now = BootClock::now();
  const auto address = Address::Parse(in.peer_address());
  const auto request = DecodePermitRequest(now, in);
  if (!address || !request || !on_permit_request) return;
  wire::Envelope reply;
  *reply.mutable_permit_reply() =
      EncodePermitReply(on_permit_request(now, *request));
  bus_.Send(*address, reply);
}

void GatewayPeers::OnPermitReply(const wire::Envelope& message) {
  if (!on_permit_reply) return;
  on_permit_reply(BootClock::now(), DecodePermitReply(message.permit_reply()));
}

void GatewayPeers::OnHeartbeat(const wire::Envelope& message) {
  if (message.heartbeat().kind() != kGatewayHeartbeat) return;
  const Time now = BootClock::now();
  GatewayPeer& peer = peers_[message.process()];
  const bool is_new = peer.process.empty();
  peer.process = message.process();
  peer.last_heartbeat = now;
  const bool same_digest =
      !is_new &&
      peer.status.upstreams_digest == message.heartbeat().upstreams_digest();
  if (!same_digest) peer.digest_since = now;
  const bool was_member = peer.status.ready && !peer.status.leaving;
  peer.status = DecodeHeartbeat(now, message.heartbeat());
  peer.reported_after = MadeAfter(message.heartbeat());
  peer.sent_at = message.heartbeat().sent_at();
  const bool is_member = peer.status.ready && !peer.status.leaving;
  if (is_new) {
    Log(LogLevel::kInfo, "peer_found",
        {{"peer", peer.status.instance}, {"process", peer.process}});
    bus_.OnPeerStarted(peer.status.peer_address);
  }
  AddPeerAddress(peer.status.peer_address);
  receivers_[peer.status.peer_address] = now;
  if (was_member != is_member && on_member_change) on_member_change(now);
  if (on_heartbeat) on_heartbeat(now, peer);
}

void GatewayPeers::ExpirePeers(Time now) {
  std::erase_if(peers_, [&](const auto& entry) {
    if (now - entry.second.last_heartbeat <= kPeerExpiry) return false;
    Log(LogLevel::kInfo, "peer_lost",
        {{"peer", entry.second.status.instance},
         {"process", entry.first},
         {"silent_s", ToSeconds(now - entry.second.last_heartbeat)}});
    return true;
  });
  std::erase_if(receivers_, [&](const auto& entry) {
    if (now - entry.second <= kPeerExpiry) return false;
    bus_.Disconnect(entry.first);
    return true;
  });
}

Duration GatewayPeers::StoreAge(Time now) const {
  Duration age = Duration::max();
  for (const GatewayPeer* peer : Live(now)) {
    if (peer->status.store_age == Duration::max()) continue;
    age = std::min(age, now - peer->last_heartbeat + peer->status.store_age);
  }
  return age;
}

FleetView GatewayPeers::View(Time now, bool self_is_member) const {
  FleetView view;
  view.self = own_address_;
  const Duration interval = HeartbeatInterval(now);
  const Duration timeout =
      std::max<Duration>(kPeerTimeout, kMissedHeartbeats * interval);
  std::set<Address> members;
  std::set<Address> known{own_address_};
  if (self_is_member) members.insert(own_address_);
  for (const auto& [process, peer] : peers_) {
    if (peer.status.leaving) continue;
    known.insert(peer.status.peer_address);
    const bool live = now - peer.last_heartbeat <= timeout;
    if (live && peer.status.ready) members.insert(peer.status.peer_address);
  }
  view.members.assign(members.begin(), members.end());
  view.known = known.size();
  view.settle = 2 * interval + kViewTransit;
  return view;
}

std::vector<const GatewayPeer*> GatewayPeers::Unresponsive(Time now) const {
  const auto is_stale = [now](const GatewayPeer& peer) {
    return now - peer.last_heartbeat > kPeerTimeout;
  };
  const bool has_stale =
      std::any_of(peers_.begin(), peers_.end(),
                  [&](const auto& entry) { return is_stale(entry.second); });
  if (!has_stale) return {};
  std::vector<const GatewayPeer*> unresponsive;
  for (const auto& [address, peer] : PeersByAddress()) {
    if (is_stale(*peer) && !peer->status.leaving) unresponsive.push_back(peer);
  }
  return unresponsive;
}

Time GatewayPeers::ReportedUntil(Time now) const {
  Time until = Time::max();
  for (const auto& peers : {Live(now), Unresponsive(now)}) {
    for (const GatewayPeer* peer : peers) {
      const bool is_starting = !peer->status.ready && !peer->status.leaving;
      if (is_starting) continue;
      until = std::min(until, peer->reported_after.value_or(Time::min()));
    }
  }
  return until;
}

std::map<Address, const GatewayPeer*> GatewayPeers::PeersByAddress() const {
  std::map<Address, const GatewayPeer*> latest;
  for (const auto& [process, peer] : peers_) {
    const GatewayPeer*& known = latest[peer.status.peer_address];
    if (known == nullptr || peer.last_heartbeat > known->last_heartbeat) {
      known = &peer;
    }
  }
  return latest;
}

std::vector<const GatewayPeer*> GatewayPeers::Live(Time now) const {
  std::vector<const GatewayPeer*> live;
  for (const auto& [process, peer] : peers_) {
    if (now - peer.last_heartbeat <= kPeerTimeout) live.push_back(&peer);
  }
  return live;
}

}  // namespace corianderlink
