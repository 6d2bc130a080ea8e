// Calls over a pool of connections to scripted TCP peers.
#ifndef CORIANDERLINK_UNITTESTS_HTTP1_UPSTREAM_POOL_FIXTURE_H_
#define CORIANDERLINK_UNITTESTS_HTTP1_UPSTREAM_POOL_FIXTURE_H_

#include <gtest/gtest.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "Common/raw_tcp_server.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http1/upstream_pool.h"

namespace corianderlink {

/// Reads from `fd` until `end` was received.  Returns false if the peer closed
/// the connection first.
inline bool ReadUntil(int fd, const std::string& end) {
  std::string text;
  char byte = 0;
  while (text.find(end) == std::string::npos) {
    if (read(fd, &byte, 1) <= 0) return false;
    text += byte;
  }
  return true;
}

inline void Write(int fd, const std::string& text) {
  const ssize_t n = write(fd, text.data(), text.size());
  (void)n;
}

/// A response with the request id `id` in its Id field.
inline std::string MakeResponse(const std::string& id,
                                const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Answers the requests "1", "2" and so on of each connection.
inline void AnswerInTurn(int fd, int first) {
  for (int id = first; ReadUntil(fd, "\r\n\r\n"); ++id) {
    Write(fd, MakeResponse(std::to_string(id), "x"));
  }
}

struct CallResult {
  bool ended = false;
  std::string body;
  std::optional<Outcome> failure;
};

class UpstreamPoolTest : public ::testing::Test {
 protected:
  CallResult Call(const Address& to, const std::string& id,
                  const std::string& body = "") {
    CallResult result;
    UpstreamRequest request;
    request.address = to;
    request.method = method_;
    request.fields = {{"Id", id}};
    request.body = body;
    request.max_idle = max_idle_;
    request.max_connections = max_connections_;
    request.connect_timeout = connect_timeout_;
    request.id = id;
    request.named_request = [](const ResponseHead& head) {
      const std::string* named = FindField(head.fields, "Id");
      return named == nullptr ? std::string() : *named;
    };
    UpstreamHandlers handlers;
    handlers.on_body = [&](const std::string& data) { result.body += data; };
    handlers.on_end = [&] {
      result.ended = true;
      loop_.Stop();
    };
    handlers.on_fail = [&](const Outcome& outcome) {
      result.failure = outcome;
      loop_.Stop();
    };
    const EventHandle timeout = loop_.After(seconds(2), [&] { loop_.Stop(); });
    call_ = pool_.Start(request, handlers);
    std::this_thread::sleep_for(standstill_);
    loop_.Run();
    return result;
  }
  void RunFor(Duration duration) {
    const EventHandle stop = loop_.After(duration, [this] { loop_.Stop(); });
    loop_.Run();
  }

  std::string method_ = "POST";
  Duration max_idle_ = seconds(60);
  size_t max_connections_ = 100;
  Duration connect_timeout_ = milliseconds(300);
  // The process stands still for that long after it began to connect.
  Duration standstill_ = Duration::zero();
  EventLoop loop_;
  UpstreamPool pool_{loop_};
  std::shared_ptr<UpstreamCall> call_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_HTTP1_UPSTREAM_POOL_FIXTURE_H_
