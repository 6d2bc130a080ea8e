// The connections that all servers of a process have accepted.
#ifndef CORIANDERLINK_HTTP_CLIENT_CONNECTIONS_H_
#define CORIANDERLINK_HTTP_CLIENT_CONNECTIONS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "corianderlink/Http/connection_budget.h"
#include "corianderlink/Http/request_memory.h"

namespace corianderlink {

class Metrics;

/// What a connection does to make room for others.
struct Eviction {
  /// Ends the connection at once.
  std::function<void()> close;
  /// Refuses the request that is being received, which frees its body.
  std::function<void()> refuse;
};

/// Carries out what ConnectionBudget decides for all servers of a process.
class ClientConnections {
 public:
  /// The bodies of all requests may hold `body_bytes`.
  ClientConnections(ConnectionBudgetLimits limits, uint64_t body_bytes);
  ClientConnections(const ClientConnections&) = delete;
  ClientConnections& operator=(const ClientConnections&) = delete;

  PortId AddPort() { return budget_.AddPort(); }
  /// Returns nothing if there is no room for one more connection.
  std::optional<ConnectionId> Open(Time now, PortId port);
  void SetEviction(ConnectionId id, Eviction eviction);
  /// As ConnectionBudget::Hold.  Returns false if there is no room.
  bool Hold(Time now, ConnectionId id, uint64_t bytes);
  /// Returns false if no room for `missing` bytes of bodies could be made.
  bool MakeBodyRoom(Time now, ConnectionId id, uint64_t missing);
  void Close(ConnectionId id);

  /// For what a connection tells of itself.
  ConnectionBudget& budget() { return budget_; }
  const ConnectionBudget& budget() const { return budget_; }
  const std::shared_ptr<RequestMemory>& memory() const { return memory_; }

  /// What has been decided since the start.
  struct Counters {
    uint64_t connections_refused = 0;
    uint64_t connections_closed = 0;
    uint64_t uploads_refused = 0;
  };
  const Counters& counters() const { return counters_; }
  /// Sets gauges of what is held and the counters; their names begin with
  /// `prefix`.
  void Export(Metrics& metrics, const std::string& prefix) const;

 private:
  void CloseForOthers(const std::vector<ConnectionId>& ids);
  void LogDecision(const char* event, ConnectionId id) const;

  ConnectionBudget budget_;
  const std::shared_ptr<RequestMemory> memory_;
  std::map<ConnectionId, Eviction> open_;
  uint64_t last_id_ = 0;
  Counters counters_;
};

/// The part of one connection; gives it back when it is destroyed.
class HeldConnection {
 public:
  /// Without `all` nothing is bounded.
  explicit HeldConnection(std::shared_ptr<ClientConnections> all = nullptr,
                          ConnectionId id = {})
      : all_(std::move(all)), id_(id) {}
  ~HeldConnection() { Close(); }
  HeldConnection(const HeldConnection&) = delete;
  HeldConnection& operator=(const HeldConnection&) = delete;

  bool Hold(Time now, uint64_t bytes) {
    return !all_ || all_->Hold(now, id_, bytes);
  }
  void Charge(uint64_t bytes) {
    if (all_) all_->budget().Charge(id_, bytes);
  }
  bool MakeBodyRoom(Time now, uint64_t missing) {
    return all_ && all_->MakeBodyRoom(now, id_, missing);
  }
  void SetBody(uint64_t bytes) {
    if (all_) all_->budget().SetBody(id_, bytes);
  }
  void Enter(Time now, ConnectionPhase phase, uint64_t unread_bytes = 0) {
    if (all_) all_->budget().Enter(now, id_, phase, unread_bytes);
  }
  void Received(uint64_t bytes) {
    if (all_) all_->budget().Received(id_, bytes);
  }
  void Flooded(Time now) {
    if (all_) all_->budget().Flooded(now, id_);
  }
  void SetEviction(Eviction eviction) {
    if (all_) all_->SetEviction(id_, std::move(eviction));
  }
  void Close() {
    if (all_) all_->Close(id_);
    all_.reset();
  }

 private:
  std::shared_ptr<ClientConnections> all_;
  const ConnectionId id_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_CLIENT_CONNECTIONS_H_
