// Listens for clients and hands each whole request to a handler.
#ifndef CORIANDERLINK_HTTP1_FRONT_SERVER_H_
#define CORIANDERLINK_HTTP1_FRONT_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "corianderlink/Http1/inbound_connection.h"
#include "corianderlink/Support/address.h"

struct evconnlistener;

namespace corianderlink {

class FrontServer {
 public:
  using Handler = std::function<void(std::shared_ptr<InboundExchange>)>;

  FrontServer(EventLoop& loop, size_t max_connections, Handler handler);
  ~FrontServer();
  FrontServer(const FrontServer&) = delete;
  FrontServer& operator=(const FrontServer&) = delete;

  /// Binds the address.  Returns false if it cannot be bound.
  bool Listen(const Address& address);
  /// Limits for requests that start after this call.
  void SetLimits(const InboundLimits& limits) { limits_ = limits; }
  /// From now on every answer closes its connection.
  void CloseAfterAnswers() { closing_ = true; }
  void StopListening();
  void CloseIdleConnections();
  size_t connections() const { return connections_.size(); }

  /// Called with the reason when a request is refused for its form.
  std::function<void(const std::string& reason)> on_malformed;

 private:
  void OnAccept(int fd);
  void OnClosed(InboundConnection* connection);

  EventLoop& loop_;
  const size_t max_connections_;
  InboundLimits limits_;
  bool closing_ = false;
  const InboundContext context_;
  evconnlistener* listener_ = nullptr;
  std::unordered_map<InboundConnection*, std::unique_ptr<InboundConnection>>
      connections_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_FRONT_SERVER_H_
