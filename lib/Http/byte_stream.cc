// TCP connections based on libevent bufferevents.
#include "corianderlink/Http/byte_stream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cstring>

#include "corianderlink/Http/dead_peer_detection.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/socket_address.h"

namespace corianderlink {

ByteStream::ByteStream(EventLoop& loop, int fd, ByteStreamListener& listener)
    : listener_(listener) {
  Init(loop, fd);
  SetSocketOptions();
}

ByteStream::ByteStream(EventLoop& loop, const Address& to,
                       ByteStreamListener& listener, PausedPeer paused_peer)
    : listener_(listener) {
  const SocketAddress address = ToSocketAddress(to);
  const int fd = socket(address.any.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  Init(loop, fd);
  if (paused_peer == PausedPeer::kGiveUp) window_watch_.reset();
  SetSocketOptions();
  // An immediate failure is also reported through the event callback.
  bufferevent_socket_connect(bev_, address.get(),
                             static_cast<int>(address.size));
}

void ByteStream::Init(EventLoop& loop, int fd) {
  bev_ = bufferevent_socket_new(
      loop.base(), fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(
      bev_,
      [](bufferevent*, void* self) {
        static_cast<ByteStream*>(self)->listener_.OnReadable();
      },
      [](bufferevent*, void* arg) {
        auto* self = static_cast<ByteStream*>(arg);
        // libevent reports a new socket as writable before anything is written.
        // The callback is deferred, so data may have been written meanwhile.
        if (self->PendingBytes() == 0) self->listener_.OnDrained();
      },
      [](bufferevent*, short what, void* arg) {  // NOLINT: libevent's type.
        auto* self = static_cast<ByteStream*>(arg);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
          self->listener_.OnConnected();
        } else if ((what & BEV_EVENT_ERROR) != 0) {
          // The callback is deferred and may report an end of file as well: a
          // socket gives its error once, here to a write, and 0 to the read
          // that follows.
          self->listener_.OnError(
              evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
        } else if ((what & BEV_EVENT_EOF) != 0) {
          self->listener_.OnPeerClosed();
        }
      },
      this);
  sent_callback_ = evbuffer_add_cb(
      bufferevent_get_output(bev_),
      [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        if (info->n_deleted > 0) {
          static_cast<ByteStream*>(self)->bytes_sent_ = true;
        }
      },
      this);
  window_watch_.emplace(loop, bev_);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

void ByteStream::SetSocketOptions() {
  const int fd = bufferevent_getfd(bev_);
  if (fd < 0) return;
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  EnableDeadPeerDetection(fd);
}

ByteStream::~ByteStream() {
  window_watch_.reset();
  bufferevent_setcb(bev_, nullptr, nullptr, nullptr, nullptr);
  evbuffer_remove_cb_entry(bufferevent_get_output(bev_), sent_callback_);
  bufferevent_free(bev_);
}

std::string_view ByteStream::Input() {
  evbuffer* input = bufferevent_get_input(bev_);
  const size_t size = evbuffer_get_length(input);
  if (size == 0) return {};
  const auto* data = evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
  return {reinterpret_cast<const char*>(data), size};
}

size_t ByteStream::InputBytes() const {
  return evbuffer_get_length(bufferevent_get_input(bev_));
}

void ByteStream::ReadRemaining() {
  if ((bufferevent_get_enabled(bev_) & EV_READ) == 0) return;
  evbuffer* input = bufferevent_get_input(bev_);
  // The bufferevent lets nothing else add to its input.
  evbuffer_unfreeze(input, 0);
  while (evbuffer_read(input, bufferevent_getfd(bev_), -1) > 0) {
  }
  evbuffer_freeze(input, 0);
}

void ByteStream::Consume(size_t bytes) {
  evbuffer_drain(bufferevent_get_input(bev_), bytes);
}

void ByteStream::Write(std::string_view data) {
  bufferevent_write(bev_, data.data(), data.size());
}

size_t ByteStream::PendingBytes() const {
  return evbuffer_get_length(bufferevent_get_output(bev_));
}

void ByteStream::SetReadLimit(size_t bytes) {
  bufferevent_setwatermark(bev_, EV_READ, 0, bytes);
}

void ByteStream::PauseReading() { bufferevent_disable(bev_, EV_READ); }

void ByteStream::ResumeReading() { bufferevent_enable(bev_, EV_READ); }

void ByteStream::ProbeHost() {
  const int one_second = 1;
  setsockopt(bufferevent_getfd(bev_), IPPROTO_TCP, TCP_KEEPIDLE, &one_second,
             sizeof(one_second));
}

std::optional<Duration> ByteStream::SinceAcknowledgement() const {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(bufferevent_getfd(bev_), IPPROTO_TCP, TCP_INFO, &info,
                 &size) != 0) {
    return std::nullopt;
  }
  return milliseconds(info.tcpi_last_ack_recv);
}

bool ByteStream::HasUnreadInput() const {
  int bytes = 0;
  return ioctl(bufferevent_getfd(bev_), FIONREAD, &bytes) == 0 && bytes > 0;
}

void ByteStream::EndOutput() { shutdown(bufferevent_getfd(bev_), SHUT_WR); }

bool ByteStream::EndedInOrder() const {
  const int fd = bufferevent_getfd(bev_);
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return false;
  int unacknowledged = 0;
  if (ioctl(fd, SIOCOUTQ, &unacknowledged) != 0) return false;
  return error == 0 && unacknowledged == 0 && PendingBytes() == 0;
}

void ByteStream::DeliverAfterClose() {
  if (window_watch_) window_watch_->BeforeClose();
}

int ByteStream::fd() const { return bufferevent_getfd(bev_); }

void ByteStream::SetPriority(int priority) {
  bufferevent_priority_set(bev_, priority);
}

void ByteStream::Stop() { bufferevent_disable(bev_, EV_READ | EV_WRITE); }

void ByteStream::ResetOnClose() {
  const linger reset{1, 0};
  setsockopt(bufferevent_getfd(bev_), SOL_SOCKET, SO_LINGER, &reset,
             sizeof(reset));
}

}  // namespace corianderlink
