// What the clients' connections of a process may hold together.
#include "corianderlink/Http/connection_budget.h"

#include <algorithm>

namespace corianderlink {

Duration ConnectionBudget::Earned(uint64_t bytes) {
  return FromSeconds(static_cast<double>(bytes) / kBytesPerSecond);
}

PortId ConnectionBudget::AddPort() {
  open_on_port_.push_back(0);
  return PortId{open_on_port_.size() - 1};
}

bool ConnectionBudget::IsReserved(PortId port) const {
  return open_on_port_[static_cast<size_t>(port)] <= kReservedPerPort;
}

void ConnectionBudget::SetDue(Connections::iterator connection, Time due) {
  due_.erase({connection->second.due, connection->first});
  connection->second.due = due;
  if (due != Time::max()) due_.insert({due, connection->first});
}

template <typename FreedBy>
ConnectionBudget::Decision ConnectionBudget::PickOverdue(
    Time now, ConnectionId id, uint64_t missing, FreedBy freed_by) const {
  Decision decision;
  for (const auto& [due, other] : due_) {
    if (missing == 0 || due > now) break;
    if (other == id) continue;
    const uint64_t freed = freed_by(connections_.at(other));
    if (freed == 0) continue;
    decision.evicted.push_back(other);
    missing -= std::min(missing, freed);
  }
  decision.admitted = missing == 0;
  if (!decision.admitted) decision.evicted.clear();
  return decision;
}

void ConnectionBudget::CloseAll(const std::vector<ConnectionId>& ids) {
  for (const ConnectionId id : ids) Close(id);
}

ConnectionBudget::Decision ConnectionBudget::FreeConnection(Time now) {
  constexpr ConnectionId kNone{};
  // Callers that keep a connection after an answer are the last to lose it.
  for (const bool takes_kept : {false, true}) {
    const auto counts = [&](const Connection& connection) -> uint64_t {
      const bool is_kept =
          connection.phase == ConnectionPhase::kIdle && connection.was_answered;
      return is_kept == takes_kept && !IsReserved(connection.port) ? 1 : 0;
    };
    Decision decision = PickOverdue(now, kNone, 1, counts);
    if (decision.admitted) return decision;
  }
  return {false, {}};
}

ConnectionBudget::Decision ConnectionBudget::Open(Time now, PortId port,
                                                  ConnectionId id) {
  size_t& open = open_on_port_[static_cast<size_t>(port)];
  Decision decision;
  const bool is_full = connections_.size() >= limits_.connections ||
                       held_ + kBytesPerConnection > limits_.memory_bytes;
  if (is_full && open >= kReservedPerPort) decision = FreeConnection(now);
  if (!decision.admitted) return decision;
  CloseAll(decision.evicted);
  Connection connection;
  connection.port = port;
  const auto added = connections_.emplace(id, connection).first;
  SetDue(added, now + kGrace);
  held_ += connection.bytes;
  ++open;
  return decision;
}

ConnectionBudget::Decision ConnectionBudget::Hold(Time now, ConnectionId id,
                                                  uint64_t bytes) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return {};
  const uint64_t before = it->second.bytes;
  const uint64_t wanted = kBytesPerConnection + bytes;
  const uint64_t needed = held_ - before + wanted;
  Decision decision;
  if (wanted > before && needed > limits_.memory_bytes) {
    // An idle connection is no help: its client may be about to call.
    const auto counts = [](const Connection& connection) -> uint64_t {
      const bool is_idle = connection.phase == ConnectionPhase::kIdle;
      return is_idle ? 0 : connection.bytes;
    };
    decision = PickOverdue(now, id, needed - limits_.memory_bytes, counts);
  }
  if (!decision.admitted) return decision;
  CloseAll(decision.evicted);
  Charge(id, bytes);
  return decision;
}

void ConnectionBudget::Charge(ConnectionId id, uint64_t bytes) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  held_ -= it->second.bytes;
  it->second.bytes = kBytesPerConnection + bytes;
  held_ += it->second.bytes;
}

ConnectionBudget::Decision ConnectionBudget::MakeBodyRoom(Time now,
                                                          ConnectionId id,
                                                          uint64_t missing) {
  const auto counts = [](const Connection& connection) {
    return connection.body_bytes;
  };
  return PickOverdue(now, id, missing, counts);
}

void ConnectionBudget::SetBody(ConnectionId id, uint64_t bytes) {
  const auto it = connections_.find(id);
  if (it != connections_.end()) it->second.body_bytes = bytes;
}

void ConnectionBudget::Enter(Time now, ConnectionId id, ConnectionPhase phase,
                             uint64_t bytes) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  if (connection.phase == ConnectionPhase::kHandled) {
    connection.was_answered = true;
  }
  connection.phase = phase;
  // What a request holds while it is handled outlives the connection.
  if (phase != ConnectionPhase::kReceiving) connection.body_bytes = 0;
  const bool is_handled = phase == ConnectionPhase::kHandled;
  SetDue(it, is_handled ? Time::max() : now + kGrace + Earned(bytes));
}

void ConnectionBudget::Received(ConnectionId id, uint64_t bytes) {
  const auto it = connections_.find(id);
  if (it == connections_.end() || it->second.due == Time::max()) return;
  SetDue(it, it->second.due + Earned(bytes));
}

void ConnectionBudget::Flooded(Time now, ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  SetDue(it, std::min(it->second.due, now + kGrace));
}

void ConnectionBudget::Close(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  due_.erase({it->second.due, id});
  --open_on_port_[static_cast<size_t>(it->second.port)];
  held_ -= it->second.bytes;
  connections_.erase(it);
}

}  // namespace corianderlink
