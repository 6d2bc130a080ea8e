// Kept connections to upstreams.
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

/// Sends each request at most once on a connection of its own for the time of
/// the exchange, and keeps connections for later requests.
class UpstreamPool {
 public:
  explicit UpstreamPool(EventLoop& loop);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Starts a call.  Handlers run later, from the loop.
  std::shared_ptr<UpstreamCall> Start(UpstreamRequest request,
                                      UpstreamHandlers handlers);
  /// Connections to an upstream, busy and idle.
  size_t Connections(const Address& address) const;
  /// Upstreams to which there are idle connections.
  std::vector<Address> IdleAddresses() const;
  size_t IdleConnections(const Address& address) const;
  /// Closes idle connections to an upstream that is gone.
  void Forget(const Address& address);
  uint64_t connects() const { return connects_; }

 private:
  friend class UpstreamConnection;

  void CloseOldestIdle(const Address& address);
  void Keep(std::shared_ptr<UpstreamConnection> connection);
  void Remove(UpstreamConnection* connection);
  std::shared_ptr<UpstreamConnection> TakeIdle(Time now, const Address& address,
                                               Duration max_idle);

  EventLoop& loop_;
  // Latest used last.
  std::map<Address, std::deque<std::shared_ptr<UpstreamConnection>>> idle_;
  std::map<Address, size_t> open_;
  uint64_t connects_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_UPSTREAM_POOL_H_
