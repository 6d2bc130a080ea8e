// The event loop, based on libevent.
#include "corianderlink/Http/event_loop.h"

#include <event2/event.h>

#include <csignal>
#include <optional>
#include <utility>

namespace corianderlink {

struct EventHandle::Impl {
  event* ev = nullptr;
  std::function<void()> callback;
  // When a timer that runs once is due; empty once it was put off.
  std::optional<Time> due;

  ~Impl() {
    if (ev != nullptr) event_free(ev);
  }
};

EventHandle::EventHandle() = default;
EventHandle::~EventHandle() = default;
EventHandle::EventHandle(EventHandle&&) noexcept = default;
EventHandle& EventHandle::operator=(EventHandle&&) noexcept = default;
void EventHandle::Reset() { impl_.reset(); }

namespace {

timeval ToTimeval(Duration delay) {
  const auto us = std::chrono::duration_cast<microseconds>(delay).count();
  timeval tv{};
  tv.tv_sec = us / 1000000;
  tv.tv_usec = us % 1000000;
  return tv;
}

// A timer that is late by this much shows that the process was paused.
constexpr Duration kProcessPause = milliseconds(50);
// Time after a pause for the events that have arrived meanwhile.
constexpr Duration kCatchUpTime = milliseconds(5);

// libevent gives events the middle priority unless another one is set.
constexpr int kPriorityLevels = 4;
static_assert(kDefaultPriority == kPriorityLevels / 2);
// Maximum stream callbacks that run before the loop polls for new events.
constexpr int kMaxStreamCallbacksPerDispatch = 16;

event_base* CreateEventBase() {
  event_config* config = event_config_new();
  event_config_set_max_dispatch_interval(
      config, nullptr, kMaxStreamCallbacksPerDispatch, kStreamPriority);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  event_base_priority_init(base, kPriorityLevels);
  return base;
}

}  // namespace

EventLoop::EventLoop() : base_(CreateEventBase()) {
  // Writing to a connection that the peer has closed must not terminate the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() { event_base_free(base_); }

void EventLoop::Run() { event_base_dispatch(base_); }

void EventLoop::Stop() { event_base_loopbreak(base_); }

EventHandle EventLoop::Add(int fd, int16_t flags, const Duration* delay,
                           std::function<void()> callback) {
  EventHandle handle;
  handle.impl_ = std::make_unique<EventHandle::Impl>();
  handle.impl_->callback = std::move(callback);
  const auto run = [](evutil_socket_t, int16_t, void* arg) {
    auto* timer = static_cast<EventHandle::Impl*>(arg);
    if (timer->due && BootClock::now() - *timer->due > kProcessPause) {
      timer->due.reset();
      const timeval tv = ToTimeval(kCatchUpTime);
      event_add(timer->ev, &tv);
      return;
    }
    // The callback may destroy its own handle, so a copy is called.
    const auto copy = timer->callback;
    copy();
  };
  handle.impl_->ev = event_new(base_, fd, flags, run, handle.impl_.get());
  if (delay == nullptr) {
    event_add(handle.impl_->ev, nullptr);
    return handle;
  }
  if ((flags & EV_PERSIST) == 0) handle.impl_->due = BootClock::now() + *delay;
  const timeval tv = ToTimeval(*delay);
  event_add(handle.impl_->ev, &tv);
  return handle;
}

EventHandle EventLoop::After(Duration delay, std::function<void()> callback) {
  return Add(-1, EV_TIMEOUT, &delay, std::move(callback));
}

EventHandle EventLoop::Every(Duration interval,
                             std::function<void()> callback) {
  return Add(-1, EV_TIMEOUT | EV_PERSIST, &interval, std::move(callback));
}

EventHandle EventLoop::OnReadable(int fd, std::function<void()> callback) {
  return Add(fd, EV_READ | EV_PERSIST, nullptr, std::move(callback));
}

EventHandle EventLoop::OnSignal(int signal_number,
                                std::function<void()> callback) {
  return Add(signal_number, EV_SIGNAL | EV_PERSIST, nullptr,
             std::move(callback));
}

void EventLoop::Post(std::function<void()> callback) {
  auto* copy = new std::function<void()>(std::move(callback));
  const timeval now{};
  event_base_once(
      base_, -1, EV_TIMEOUT,
      [](evutil_socket_t, int16_t, void* arg) {
        const std::unique_ptr<std::function<void()>> owned(
            static_cast<std::function<void()>*>(arg));
        (*owned)();
      },
      copy, &now);
}

}  // namespace corianderlink
