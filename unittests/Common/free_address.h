// Loopback addresses for tests.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_FREE_ADDRESS_H_
#define CORIANDERLINK_UNITTESTS_COMMON_FREE_ADDRESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <deque>

#include "corianderlink/Support/address.h"

namespace corianderlink {

/// The ports of this process, in blocks whose first port it keeps bound until
/// it ends: no other test program takes a port of them, bound or not.
class PortBlocks {
 public:
  /// A port that nothing is bound to; 0 if there is none.
  uint16_t Next() {
    for (int tried = 0; tried < kBlocks * kPortsPerBlock; ++tried) {
      if (next_ % kPortsPerBlock == 0 && !TakeBlock()) return 0;
      const int port = kFirstPort + next_++;
      if (IsFree(port)) return static_cast<uint16_t>(port);
    }
    return 0;
  }

 private:
  // Below the ports that the system gives to connections.
  static constexpr int kFirstPort = 12000;
  static constexpr int kBlocks = 100;
  static constexpr int kPortsPerBlock = 200;
  static constexpr size_t kMaxBlocks = 10;

  /// Binds the port; -1 if it is taken.
  static int Bind(int port) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(static_cast<uint16_t>(port));
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0) {
      return fd;
    }
    close(fd);
    return -1;
  }
  static bool IsFree(int port) {
    const int fd = Bind(port);
    if (fd >= 0) close(fd);
    return fd >= 0;
  }
  /// Goes on to a new block, or to the oldest of its own once it has many.
  bool TakeBlock() {
    for (int tried = 0; tried < kBlocks && own_.size() < kMaxBlocks; ++tried) {
      block_ = (block_ + 1) % kBlocks;
      // The socket stays open until the process ends.
      if (Bind(kFirstPort + block_ * kPortsPerBlock) < 0) continue;
      own_.push_back(block_);
      next_ = block_ * kPortsPerBlock + 1;
      return true;
    }
    if (own_.empty()) return false;
    own_.push_back(own_.front());
    own_.pop_front();
    next_ = own_.back() * kPortsPerBlock + 1;
    return true;
  }

  int block_ = getpid() % kBlocks;
  std::deque<int> own_;
  // Next port, from kFirstPort on; a multiple of kPortsPerBlock where the next
  // block begins.
  int next_ = 0;
};

/// Returns a loopback address with an unused port, another one each time, that
/// no other test program takes.
inline Address FreeAddress() {
  static pid_t process = getpid();
  static PortBlocks blocks;
  if (process != getpid()) {
    process = getpid();
    blocks = PortBlocks();
  }
  const uint16_t port = blocks.Next();
  return port == 0 ? Address() : Address{"127.0.0.1", port};
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_FREE_ADDRESS_H_
