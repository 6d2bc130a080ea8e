// What the clients' connections of a process may hold together.
#ifndef CORIANDERLINK_HTTP_CONNECTION_BUDGET_H_
#define CORIANDERLINK_HTTP_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// A listening port of the process.
enum class PortId : size_t {};
/// An accepted connection; ids are not used again.
enum class ConnectionId : uint64_t {};

/// What all connections of a process may hold.
struct ConnectionBudgetLimits {
  /// Memory without the bodies of requests, in bytes.
  uint64_t memory_bytes = uint64_t{128} * 1024 * 1024;
  /// Open connections of all ports.
  size_t connections = 10'000;
};

/// What a connection does.
enum class ConnectionPhase {
  kIdle,       ///< No request has begun.
  kReceiving,  ///< A part of a request has come.
  kHandled,    ///< The process works on a request.
  kUnread,     ///< The client has yet to read its answer.
};

/// Decides whether a connection may hold more, and which ones are evicted.
///
/// Connections are closed only under shortage, and only those that have kept
/// the process waiting: a client earns time with what it sends, and a
/// connection whose time is over is evicted, the longest overdue first.  A
/// connection whose request is handled never does, unless its client has sent
/// on beyond what is read ahead.
///
/// A few connections of each port are always accepted, so that no port is shut
/// by the clients of another.
class ConnectionBudget {
 public:
  /// Charged for each connection, in bytes: its objects, and what is read ahead
  /// of a next request.
  static constexpr uint64_t kBytesPerConnection = 8 * 1024;
  /// Connections of each port that do not depend on the others.
  static constexpr size_t kReservedPerPort = 32;
  /// A connection is not closed for this long after it last became idle, began
  /// a request or got its answer.
  static constexpr Duration kGrace = seconds(1);
  /// A client earns time by sending and reading at this rate, bytes a second.
  static constexpr double kBytesPerSecond = 256 * 1024;

  /// What is decided.
  struct Decision {
    bool admitted = true;
    /// Connections that are to be evicted at once, for the room to exist.
    std::vector<ConnectionId> evicted;
  };

  explicit ConnectionBudget(ConnectionBudgetLimits limits) : limits_(limits) {}

  PortId AddPort();
  /// A connection has been accepted; it is idle.  It counts only if admitted.
  /// Those that are evicted are to be closed, and count no more.
  Decision Open(Time now, PortId port, ConnectionId id);
  /// The connection is to hold `bytes` in all, in addition to
  /// kBytesPerConnection; it holds what it held if that is not admitted.  Those
  /// that are evicted are to be closed, and count no more.
  Decision Hold(Time now, ConnectionId id, uint64_t bytes);
  /// As Hold, for what the connection holds already, such as an answer that was
  /// made: it counts in any case, and others get no more until there is room.
  void Charge(ConnectionId id, uint64_t bytes);
  /// Says whose requests are to be refused for `missing` bytes of bodies; none
  /// are if that would not be enough.
  Decision MakeBodyRoom(Time now, ConnectionId id, uint64_t missing);
  /// Bytes of the body that the connection has received or was promised.
  void SetBody(ConnectionId id, uint64_t bytes);
  /// A phase has begun.  `bytes` is what the client has to read in kUnread.
  void Enter(Time now, ConnectionId id, ConnectionPhase phase,
             uint64_t bytes = 0);
  /// The client has sent so much of its request.
  void Received(ConnectionId id, uint64_t bytes);
  /// While its request is handled, the client has sent more than is read ahead.
  void Flooded(Time now, ConnectionId id);
  void Close(ConnectionId id);

  size_t connections() const { return connections_.size(); }
  uint64_t held() const { return held_; }

 private:
  struct Connection {
    PortId port{};
    ConnectionPhase phase = ConnectionPhase::kIdle;
    /// Has had an answer.
    bool was_answered = false;
    uint64_t bytes = kBytesPerConnection;
    uint64_t body_bytes = 0;
    /// From then on it may be evicted.
    Time due = Time::max();
  };
  using Connections = std::map<ConnectionId, Connection>;

  static Duration Earned(uint64_t bytes);
  bool IsReserved(PortId port) const;
  void SetDue(Connections::iterator connection, Time due);
  /// Picks overdue connections other than `id`, the longest overdue first,
  /// until `missing` is freed by what `freed_by` counts.
  template <typename FreedBy>
  Decision PickOverdue(Time now, ConnectionId id, uint64_t missing,
                       FreedBy freed_by) const;
  void CloseAll(const std::vector<ConnectionId>& ids);
  Decision FreeConnection(Time now);

  const ConnectionBudgetLimits limits_;
  Connections connections_;
  // Of connections that may be evicted, now or later.
  std::set<std::pair<Time, ConnectionId>> due_;
  std::vector<size_t> open_on_port_;
  uint64_t held_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_CONNECTION_BUDGET_H_
