// The connections that all servers of a process have accepted.
#include "corianderlink/Http/client_connections.h"

#include <utility>

#include "corianderlink/Support/log.h"
#include "corianderlink/Support/metrics.h"

namespace corianderlink {

ClientConnections::ClientConnections(ConnectionBudgetLimits limits,
                                     uint64_t body_bytes)
    : budget_(limits), memory_(std::make_shared<RequestMemory>(body_bytes)) {}

std::optional<ConnectionId> ClientConnections::Open(Time now, PortId port) {
  const ConnectionId id{++last_id_};
  const ConnectionBudget::Decision decision = budget_.Open(now, port, id);
  CloseForOthers(decision.evicted);
  if (decision.admitted) return id;
  ++counters_.connections_refused;
  LogDecision("connection_refused", id);
  return std::nullopt;
}

void ClientConnections::SetEviction(ConnectionId id, Eviction eviction) {
  open_[id] = std::move(eviction);
}

bool ClientConnections::Hold(Time now, ConnectionId id, uint64_t bytes) {
  const ConnectionBudget::Decision decision = budget_.Hold(now, id, bytes);
  CloseForOthers(decision.evicted);
  return decision.admitted;
}

bool ClientConnections::MakeBodyRoom(Time now, ConnectionId id,
                                     uint64_t missing) {
  const ConnectionBudget::Decision decision =
      budget_.MakeBodyRoom(now, id, missing);
  for (const ConnectionId other : decision.evicted) {
    const auto it = open_.find(other);
    // The refusal before may have closed it.
    if (it == open_.end()) continue;
    ++counters_.uploads_refused;
    LogDecision("upload_evicted", other);
    // Copied, as the refusal may end the connection.
    const Eviction eviction = it->second;
    eviction.refuse();
  }
  return decision.admitted;
}

void ClientConnections::CloseForOthers(const std::vector<ConnectionId>& ids) {
  for (const ConnectionId id : ids) {
    ++counters_.connections_closed;
    LogDecision("connection_evicted", id);
    const auto it = open_.find(id);
    if (it == open_.end()) continue;
    const Eviction eviction = std::move(it->second);
    open_.erase(it);
    eviction.close();
  }
}

void ClientConnections::LogDecision(const char* event, ConnectionId id) const {
  Log(LogLevel::kInfo, event,
      {{"client_connection", static_cast<uint64_t>(id)},
       {"connections", static_cast<uint64_t>(budget_.connections())},
       {"held_bytes", budget_.held()},
       {"body_bytes", memory_->held()}});
}

void ClientConnections::Export(Metrics& metrics,
                               const std::string& prefix) const {
  const auto set = [&](const char* name, uint64_t value) {
    metrics.Set(prefix + name, static_cast<double>(value));
  };
  set("open_connections", budget_.connections());
  set("connection_bytes_held", budget_.held());
  set("request_body_bytes_held", memory_->held());
  set("refused_connections_total", counters_.connections_refused);
  set("evicted_connections_total", counters_.connections_closed);
  set("evicted_uploads_total", counters_.uploads_refused);
}

void ClientConnections::Close(ConnectionId id) {
  budget_.Close(id);
  open_.erase(id);
}

}  // namespace corianderlink
