// A loopback address at which connections are never established.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_HANGING_ADDRESS_H_
#define CORIANDERLINK_UNITTESTS_COMMON_HANGING_ADDRESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "corianderlink/Support/address.h"

namespace corianderlink {

/// Fills the queue of a server that accepts nothing meanwhile, so that the
/// kernel drops further attempts.
class FullQueue {
 public:
  explicit FullQueue(const Address& address, int length = 16) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(address.port);
    for (int i = 0; i < length; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name));
      sockets_.push_back(fd);
    }
  }
  ~FullQueue() {
    for (const int fd : sockets_) close(fd);
  }
  FullQueue(const FullQueue&) = delete;
  FullQueue& operator=(const FullQueue&) = delete;

 private:
  std::vector<int> sockets_;
};

/// Listens with a full queue, so that the kernel drops further attempts.
class HangingAddress {
 public:
  HangingAddress() {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(name);
    sockets_.push_back(socket(AF_INET, SOCK_STREAM, 0));
    bind(sockets_[0], reinterpret_cast<sockaddr*>(&name), size);
    listen(sockets_[0], 0);
    getsockname(sockets_[0], reinterpret_cast<sockaddr*>(&name), &size);
    address = {"127.0.0.1", ntohs(name.sin_port)};
    // A queue of length 0 takes one connection.
    constexpr int kQueued = 2;
    for (int i = 0; i < kQueued; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      connect(fd, reinterpret_cast<sockaddr*>(&name), size);
      sockets_.push_back(fd);
    }
  }
  ~HangingAddress() {
    for (const int fd : sockets_) close(fd);
  }
  HangingAddress(const HangingAddress&) = delete;
  HangingAddress& operator=(const HangingAddress&) = delete;

  Address address;

 private:
  std::vector<int> sockets_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_HANGING_ADDRESS_H_
