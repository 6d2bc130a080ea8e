// The event loop of a process, based on libevent: timers, file descriptors and
// signals.
#ifndef CORIANDERLINK_HTTP_EVENT_LOOP_H_
#define CORIANDERLINK_HTTP_EVENT_LOOP_H_

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>

#include "corianderlink/Support/time.h"

struct event;
struct event_base;

namespace corianderlink {

/// Priority of sockets that carry a streamed response.  All other events are
/// handled first, so that a burst of tokens does not delay new requests.
constexpr int kStreamPriority = 3;
/// Priority of all other events.
constexpr int kDefaultPriority = 2;

/// A pending timer, file descriptor watch or signal handler.  The destructor
/// cancels it.
class EventHandle {
 public:
  EventHandle();
  ~EventHandle();
  EventHandle(EventHandle&&) noexcept;
  EventHandle& operator=(EventHandle&&) noexcept;
  bool active() const { return impl_ != nullptr; }
  void Reset();

 private:
  friend class EventLoop;
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Owns the event base.  A process has one loop, and all of its callbacks run
/// on the thread that calls Run().
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop().
  void Run();
  void Stop();

  /// Calls `callback` once after `delay`.  If the process was paused until
  /// later, what has arrived on sockets meanwhile is handled first.
  [[nodiscard]] EventHandle After(Duration delay,
                                  std::function<void()> callback);
  /// Calls `callback` every `interval`.
  [[nodiscard]] EventHandle Every(Duration interval,
                                  std::function<void()> callback);
  /// Calls `callback` when `fd` is readable.
  [[nodiscard]] EventHandle OnReadable(int fd, std::function<void()> callback);
  /// Calls `callback` each time the signal `signal_number` is delivered.
  [[nodiscard]] EventHandle OnSignal(int signal_number,
                                     std::function<void()> callback);
  /// Calls `callback` once from the loop, after the current callback returned.
  void Post(std::function<void()> callback);

  event_base* base() { return base_; }

 private:
  EventHandle Add(int fd, int16_t flags, const Duration* delay,
                  std::function<void()> callback);

  event_base* base_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_EVENT_LOOP_H_
