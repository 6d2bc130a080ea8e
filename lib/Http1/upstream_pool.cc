// Pool of persistent HTTP/1.1 connections to upstreams.
#include "corianderlink/Http1/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "upstream_connection.h"

namespace corianderlink {

UpstreamPool::UpstreamPool(EventLoop& loop) : loop_(loop) {}

UpstreamPool::~UpstreamPool() = default;

std::shared_ptr<UpstreamCall> UpstreamPool::Start(UpstreamRequest request,
                                                  UpstreamHandlers handlers) {
  auto connection = TakeIdleConnection(BootClock::now(), request);
  if (!connection) {
    if (ConnectionCount(request.address) >= request.max_connections) {
      CloseOldestIdleConnection(request.address);
    }
    ++open_[request.address];
    ++connections_opened_;
    connection = std::make_shared<UpstreamConnection>(
        *this, loop_, request.address, connections_opened_);
  }
  return connection->Send(std::move(request), std::move(handlers));
}

std::shared_ptr<UpstreamConnection> UpstreamPool::TakeIdleConnection(
    Time now, const UpstreamRequest& request) {
  size_t older = IdleConnectionCount(request.address);
  while (older-- > 0) {
    const auto connection = idle_.at(request.address)[older];
    if (!connection->usable(now)) {
      connection->Close();
      continue;
    }
    if (now - connection->idle_since() > request.max_idle) return nullptr;
    if (!connection->CanCarry(request.id)) continue;
    RemoveIdleConnection(connection.get());
    return connection;
  }
  return nullptr;
}

void UpstreamPool::CloseOldestIdleConnection(const Address& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end() || it->second.empty()) return;
  const std::shared_ptr<UpstreamConnection> oldest = it->second.front();
  oldest->Close();
}

std::vector<Address> UpstreamPool::AddressesWithIdleConnections() const {
  std::vector<Address> addresses;
  for (const auto& [address, idle] : idle_) addresses.push_back(address);
  return addresses;
}

void UpstreamPool::AddIdleConnection(
    std::shared_ptr<UpstreamConnection> connection) {
  idle_[connection->address()].push_back(std::move(connection));
}

void UpstreamPool::RemoveConnection(UpstreamConnection* connection) {
  const auto open = open_.find(connection->address());
  if (open != open_.end() && --open->second == 0) open_.erase(open);
  RemoveIdleConnection(connection);
}

void UpstreamPool::RemoveIdleConnection(UpstreamConnection* connection) {
  const auto it = idle_.find(connection->address());
  if (it == idle_.end()) return;
  auto& idle = it->second;
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [connection](const auto& kept) {
                              return kept.get() == connection;
                            }),
             idle.end());
  if (idle.empty()) idle_.erase(it);
}

size_t UpstreamPool::ConnectionCount(const Address& address) const {
  const auto it = open_.find(address);
  return it == open_.end() ? 0 : it->second;
}

size_t UpstreamPool::IdleConnectionCount(const Address& address) const {
  const auto it = idle_.find(address);
  return it == idle_.end() ? 0 : it->second.size();
}

void UpstreamPool::CloseIdleConnections(const Address& address) {
  while (true) {
    const auto it = idle_.find(address);
    if (it == idle_.end() || it->second.empty()) return;
    const std::shared_ptr<UpstreamConnection> connection = it->second.back();
    connection->Close();
  }
}

}  // namespace corianderlink
