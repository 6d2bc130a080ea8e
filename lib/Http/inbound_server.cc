// HTTP/1.1 server for client connections.
#include "corianderlink/Http/inbound_server.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "corianderlink/Http/socket_address.h"
#include "corianderlink/Support/open_file_limit.h"

namespace corianderlink {
namespace {

constexpr int kListenBacklog = 1024;
// The kernel's receive buffer of a connection, bytes: it holds what the process
// has had no time to read, or reads no more.
constexpr int kReceiveBufferBytes = 16 * 1024;
// What the kernel takes of an answer beyond what a client lets it send, bytes.
constexpr int kUnsentBytes = 32 * 1024;

// Of a server with a budget of its own, for all but its connections: half.
constexpr size_t kDescriptorDivisor = 2;
// Bodies of such a server, bytes.
constexpr uint64_t kOwnBodyBytes = uint64_t{64} * 1024 * 1024;

// A socket that listens, or -1.  Its connections inherit the sizes of the
// buffers; that for receiving has to be known before they are made.
int ListeningSocket(const Address& address) {
  const SocketAddress to = ToSocketAddress(address);
  if (!to.is_numeric) return -1;
  const int fd =
      socket(to.any.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kUnsentBytes,
             sizeof(kUnsentBytes));
  if (bind(fd, to.get(), to.size) == 0) return fd;
  close(fd);
  return -1;
}

}  // namespace

InboundServer::InboundServer(EventLoop& loop, size_t max_connections,
                             Handler handler)
    : InboundServer(loop, MakeOwnBudget(max_connections), std::move(handler)) {}

std::shared_ptr<ClientConnections> InboundServer::MakeOwnBudget(
    size_t max_connections) {
  ConnectionBudgetLimits limits;
  limits.connections =
      std::min(max_connections, OpenFileLimit() / kDescriptorDivisor);
  return std::make_shared<ClientConnections>(limits, kOwnBodyBytes);
}

InboundServer::InboundServer(EventLoop& loop,
                             std::shared_ptr<ClientConnections> connections,
                             Handler handler)
    : loop_(loop),
      all_(std::move(connections)),
      port_(all_->AddPort()),
      context_{loop_,
               limits_,
               shutting_down_,
               std::move(handler),
               [this](InboundConnection* connection) { OnClosed(connection); },
               [this](const std::string& reason) {
                 if (on_request_rejected) on_request_rejected(reason);
               },
               all_->memory(),
               [this](const RequestHead& head) -> std::optional<FramingFault> {
                 if (!find_fault) return std::nullopt;
                 return find_fault(head);
               }} {}

InboundServer::~InboundServer() { StopListening(); }

bool InboundServer::Listen(const Address& address) {
  const int listening = ListeningSocket(address);
  if (listening < 0) return false;
  listener_ = evconnlistener_new(
      loop_.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<InboundServer*>(self)->OnAccept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, kListenBacklog,
      listening);
  if (listener_ == nullptr) close(listening);
  return listener_ != nullptr;
}

void InboundServer::StopListening() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  listener_ = nullptr;
}

void InboundServer::OnAccept(int fd) {
  const auto id = all_->Open(BootClock::now(), port_);
  if (!id) {
    close(fd);
    return;
  }
  auto connection = std::make_unique<InboundConnection>(
      context_, fd, std::make_unique<HeldConnection>(all_, *id));
  InboundConnection* key = connection.get();
  connections_.emplace(key, std::move(connection));
}

void InboundServer::OnClosed(InboundConnection* connection) {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  // The connection may be on the call stack, so the loop destroys it later.
  std::shared_ptr<InboundConnection> owned = std::move(it->second);
  connections_.erase(it);
  loop_.Post([owned] {});
}

void InboundServer::SetLimits(Time now, const InboundLimits& limits) {
  limits_ = limits;
  for (const auto& [key, connection] : connections_) {
    connection->ExtendIdleTime(now);
  }
}

void InboundServer::EndRequests() {
  std::vector<std::shared_ptr<InboundExchange>> open;
  for (const auto& [key, connection] : connections_) {
    if (connection->exchange()) open.push_back(connection->exchange());
  }
  for (const auto& exchange : open) {
    // Copied, as the callback may replace itself.
    const auto on_process_ending = exchange->on_process_ending;
    if (on_process_ending) on_process_ending();
  }
}

InboundServer::OpenWork InboundServer::CountOpenWork() const {
  OpenWork open;
  open.connections = connections_.size();
  for (const auto& [key, connection] : connections_) {
    if (connection->exchange()) ++open.requests;
    if (connection->receives()) ++open.incomplete_requests;
    const bool is_answered =
        !connection->exchange() && connection->unsent_bytes() > 0;
    if (is_answered) ++open.unsent_answers;
    open.unsent_bytes += connection->unsent_bytes();
  }
  return open;
}

void InboundServer::CloseIdleConnections() {
  std::vector<InboundConnection*> idle;
  for (const auto& [key, connection] : connections_) {
    if (connection->idle()) idle.push_back(key);
  }
  for (InboundConnection* connection : idle) connection->Close();
}

}  // namespace corianderlink
