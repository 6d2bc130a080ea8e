// Listens for clients and passes each complete request to a handler.
#ifndef CORIANDERLINK_HTTP_INBOUND_SERVER_H_
#define CORIANDERLINK_HTTP_INBOUND_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "corianderlink/Http/inbound_connection.h"
#include "corianderlink/Support/address.h"

struct evconnlistener;

namespace corianderlink {

/// HTTP/1.1 server for client connections.
class InboundServer {
 public:
  using Handler = std::function<void(std::shared_ptr<InboundExchange>)>;

  /// `connections` decides what the connections of all servers of the process
  /// may hold: what does not fit is refused, or others give way.
  InboundServer(EventLoop& loop, std::shared_ptr<ClientConnections> connections,
                Handler handler);
  /// With a budget of its own, of at most `max_connections`.
  InboundServer(EventLoop& loop, size_t max_connections, Handler handler);
  /// For a server that shares its process's memory with no other.
  static std::shared_ptr<ClientConnections> MakeOwnBudget(
      size_t max_connections);
  ~InboundServer();
  InboundServer(const InboundServer&) = delete;
  InboundServer& operator=(const InboundServer&) = delete;

  /// Binds the address.  Returns false if it cannot be bound.
  bool Listen(const Address& address);
  /// Limits for requests that start after this call.  A longer idle timeout
  /// holds for connections that are idle now, too.
  void SetLimits(Time now, const InboundLimits& limits);
  /// Makes every response that starts after this call close its connection.
  void CloseAfterResponses() { shutting_down_ = true; }
  void StopListening();
  void CloseIdleConnections();
  /// Has the requests in progress answered, as the process ends soon.
  void EndRequests();
  /// Number of open client connections.
  size_t connections() const { return connections_.size(); }
  /// What is not finished on the open connections.
  struct OpenWork {
    size_t connections = 0;
    size_t requests = 0;
    /// Connections on which a part of a request has come.
    size_t incomplete_requests = 0;
    /// Connections whose last answer was not handed to the kernel as a whole.
    size_t unsent_answers = 0;
    /// Of answers, not handed to the kernel.
    size_t unsent_bytes = 0;
  };
  OpenWork CountOpenWork() const;

  /// Called with the reason when the server rejects a request itself: it is
  /// malformed, too large or was not received in time.
  std::function<void(const std::string& reason)> on_request_rejected;
  /// Asked when a head is complete, before its body is read: why the request is
  /// refused.
  std::function<std::optional<FramingFault>(const RequestHead&)> find_fault;

 private:
  void OnAccept(int fd);
  void OnClosed(InboundConnection* connection);

  EventLoop& loop_;
  const std::shared_ptr<ClientConnections> all_;
  const PortId port_;
  InboundLimits limits_;
  bool shutting_down_ = false;
  const InboundContext context_;
  evconnlistener* listener_ = nullptr;
  std::unordered_map<InboundConnection*, std::unique_ptr<InboundConnection>>
      connections_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_INBOUND_SERVER_H_
