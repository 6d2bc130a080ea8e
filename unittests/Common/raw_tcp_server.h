// TCP server for tests whose responses are written byte for byte by the test.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_RAW_TCP_SERVER_H_
#define CORIANDERLINK_UNITTESTS_COMMON_RAW_TCP_SERVER_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "corianderlink/Support/address.h"

namespace corianderlink {

/// Reads a request with its body "b", so that closing does not reset the
/// connection; false if none comes.
inline bool ReadRequest(int fd) {
  std::string received;
  char buffer[4096];
  while (received.find("\r\n\r\nb") == std::string::npos) {
    const ssize_t n = read(fd, buffer, sizeof(buffer));
    if (n <= 0) return false;
    received.append(buffer, static_cast<size_t>(n));
  }
  return true;
}

/// Reads until the end of the connection.
inline std::string ReadToEnd(int fd) {
  std::string text;
  char buffer[4096];
  ssize_t n = 0;
  while ((n = read(fd, buffer, sizeof(buffer))) > 0) {
    text.append(buffer, static_cast<size_t>(n));
  }
  return text;
}

/// Listens on a loopback port and calls `serve` for one connection after the
/// other on a background thread; closes each connection when `serve` returns.
class RawTcpServer {
 public:
  explicit RawTcpServer(std::function<void(int fd)> serve) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
    listen(listener_, 8);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    this->address = {"127.0.0.1", ntohs(address.sin_port)};
    thread_ = std::thread([this, serve = std::move(serve)] {
      int fd = -1;
      while ((fd = accept(listener_, nullptr, nullptr)) >= 0) {
        ++connections;
        serve(fd);
        close(fd);
      }
    });
  }
  ~RawTcpServer() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  Address address;
  /// Number of accepted connections.
  std::atomic<int> connections{0};

 private:
  int listener_;
  std::thread thread_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_RAW_TCP_SERVER_H_
