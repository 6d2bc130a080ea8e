// Pool of persistent HTTP/1.1 connections to upstreams.
#ifndef CORIANDERLINK_HTTP1_UPSTREAM_POOL_H_
#define CORIANDERLINK_HTTP1_UPSTREAM_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http1/upstream_call.h"

namespace corianderlink {

class UpstreamConnection;

/// Sends each request at most once.  A connection carries one request at a
/// time (no pipelining) and is kept for later requests.
class UpstreamPool {
 public:
  explicit UpstreamPool(EventLoop& loop);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Sends `request` on an idle connection that can carry it, the most recently
  /// used first, or on a new one.  Handlers are called from
  /// the event loop, never from within this call.
  std::shared_ptr<UpstreamCall> Start(UpstreamRequest request,
                                      UpstreamHandlers handlers);
  /// Number of connections to an upstream, busy and idle.
  size_t ConnectionCount(const Address& address) const;
  /// Addresses of the upstreams that have idle connections.
  std::vector<Address> AddressesWithIdleConnections() const;
  size_t IdleConnectionCount(const Address& address) const;
  /// Closes all idle connections to an upstream, for one that was removed.
  void CloseIdleConnections(const Address& address);
  /// Number of connections opened since the pool was created.
  uint64_t connections_opened() const { return connections_opened_; }
  /// Number of responses that belonged to no request in progress.
  uint64_t responses_discarded() const { return responses_discarded_; }

 private:
  friend class UpstreamConnection;

  void CountDiscardedResponse() { ++responses_discarded_; }
  void CloseOldestIdleConnection(const Address& address);
  void AddIdleConnection(std::shared_ptr<UpstreamConnection> connection);
  void RemoveConnection(UpstreamConnection* connection);
  void RemoveIdleConnection(UpstreamConnection* connection);
  std::shared_ptr<UpstreamConnection> TakeIdleConnection(
      Time now, const UpstreamRequest& request);

  EventLoop& loop_;
  // Idle connections of each upstream; the most recently used is last.
  std::map<Address, std::deque<std::shared_ptr<UpstreamConnection>>> idle_;
  // Number of open connections to each upstream, busy and idle.
  std::map<Address, size_t> open_;
  uint64_t connections_opened_ = 0;
  uint64_t responses_discarded_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_UPSTREAM_POOL_H_
