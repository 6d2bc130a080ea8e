// Keeps connections whose peer is alive and does not read at the moment.
#include "corianderlink/Http/closed_window_watch.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utility>

#include "corianderlink/Http/dead_peer_detection.h"

namespace corianderlink {
namespace {

// Leaves time for a pause of this process before the limit is reached.
constexpr Duration kCheckInterval = kTcpUserTimeout / 4;

/// Bytes that the kernel has taken for sending.
struct SendQueue {
  /// Not acknowledged yet, sent or not.
  int outstanding = 0;
  /// Not sent yet.
  int unsent = 0;
};

/// All zero if the kernel does not tell.
SendQueue QueryQueue(int fd) {
  SendQueue queue;
  if (ioctl(fd, SIOCOUTQ, &queue.outstanding) != 0) return {};
  if (ioctl(fd, SIOCOUTQNSD, &queue.unsent) != 0) return {};
  return queue;
}

// Bytes that the peer's host has acknowledged; 0 if the kernel does not tell.
uint64_t AcknowledgedBytes(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  return info.tcpi_bytes_acked;
}

}  // namespace

ClosedWindowWatch::ClosedWindowWatch(EventLoop& loop, bufferevent* stream)
    : loop_(loop),
      stream_(stream),
      callback_(evbuffer_add_cb(
          bufferevent_get_output(stream),
          [](evbuffer*, const evbuffer_cb_info* info, void* self) {
            if (info->n_added == 0) return;
            static_cast<ClosedWindowWatch*>(self)->OnWrite();
          },
          this)) {}

ClosedWindowWatch::~ClosedWindowWatch() {
  evbuffer_remove_cb_entry(bufferevent_get_output(stream_), callback_);
}

void ClosedWindowWatch::BeforeClose() {
  // A check that is due now would set the limit again.
  timer_.Reset();
  Lift(true);
}

void ClosedWindowWatch::OnWrite() {
  if (timer_.active()) return;
  timer_ = loop_.After(kCheckInterval, [this] { Check(); });
}

void ClosedWindowWatch::Check() {
  timer_.Reset();
  const SendQueue queue = QueryQueue(bufferevent_getfd(stream_));
  const size_t unwritten = evbuffer_get_length(bufferevent_get_output(stream_));
  // The window is closed if nothing is in flight and something waits.
  const bool is_closed = queue.unsent > 0 && queue.unsent == queue.outstanding;
  const uint64_t acknowledged = AcknowledgedBytes(bufferevent_getfd(stream_));
  const bool is_read =
      std::exchange(acknowledged_, acknowledged) < acknowledged;
  const Time now = BootClock::now();
  if (is_closed || is_read) alive_at_ = now;
  // A window below a segment's size opens and closes between two checks, and
  // the kernel counts all of that time as closed.  So a limit that is lifted
  // stays lifted while the peer reads.
  const bool is_silent = now - alive_at_ >= kTcpUserTimeout;
  Lift(is_closed || (lifted_ && queue.outstanding > 0 && !is_silent));
  if (queue.outstanding == 0 && unwritten == 0) return;
  timer_ = loop_.After(kCheckInterval, [this] { Check(); });
}

void ClosedWindowWatch::Lift(bool lifted) {
  if (lifted == lifted_) return;
  lifted_ = lifted;
  SetUserTimeout(bufferevent_getfd(stream_),
                 lifted ? milliseconds(0) : kTcpUserTimeout);
}

}  // namespace corianderlink
