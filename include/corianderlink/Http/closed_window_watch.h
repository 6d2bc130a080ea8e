// Keeps connections whose peer is alive and does not read at the moment.
#ifndef CORIANDERLINK_HTTP_CLOSED_WINDOW_WATCH_H_
#define CORIANDERLINK_HTTP_CLOSED_WINDOW_WATCH_H_

#include "corianderlink/Http/event_loop.h"

struct bufferevent;
struct evbuffer_cb_entry;

namespace corianderlink {

/// Lifts TCP_USER_TIMEOUT of a connection while its peer has closed the receive
/// window, and sets it again afterwards.
///
/// The option is for peers that acknowledge nothing, but it also ends a
/// connection whose peer acknowledges each probe of a closed window: one that
/// is paused, or reads more slowly than it is sent to.  How long such a peer
/// may take is for the owner's own time limits.
///
/// Looks at the connection only while sent data is outstanding.
class ClosedWindowWatch {
 public:
  /// Has to be destroyed before `stream`.
  ClosedWindowWatch(EventLoop& loop, bufferevent* stream);
  ~ClosedWindowWatch();
  ClosedWindowWatch(const ClosedWindowWatch&) = delete;
  ClosedWindowWatch& operator=(const ClosedWindowWatch&) = delete;

  /// The connection is about to be closed in order: its kernel goes on sending
  /// what it has taken, and may need longer than TCP_USER_TIMEOUT.
  void BeforeClose();

 private:
  void OnWrite();
  void Check();
  void Lift(bool lifted);

  EventLoop& loop_;
  bufferevent* const stream_;
  evbuffer_cb_entry* const callback_;
  // By the last check.
  uint64_t acknowledged_ = 0;
  // A check last found the window closed, or new bytes acknowledged.
  Time alive_at_{};
  bool lifted_ = false;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_CLOSED_WINDOW_WATCH_H_
