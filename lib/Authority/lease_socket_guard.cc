// Resets the sockets that carry orders when the lease of their sender expires.
#include "corianderlink/Authority/lease_socket_guard.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cassert>

namespace corianderlink {
namespace {

// Largest number of sockets that are guarded at the same time.
constexpr int kMaxSockets = 64;
constexpr int kNoDescriptor = -1;

/// State shared with the signal handler; lock-free atomics only.
struct Slot {
  std::atomic<int> fd{kNoDescriptor};
  std::atomic<bool> reset{false};
  timer_t timer{};
};

std::array<Slot, kMaxSockets> g_slots;
std::atomic<int> g_closed_fd{kNoDescriptor};
std::atomic<bool> g_exists{false};

// Signal handler.  The only system call is dup2, which is async-signal-safe.
void OnLeaseExpired(int, siginfo_t* info, void*) {
  const int index = info->si_value.sival_int;
  if (index < 0 || index >= kMaxSockets) return;
  const int fd = g_slots[index].fd.load();
  if (fd == kNoDescriptor) return;
  dup2(g_closed_fd.load(), fd);
  g_slots[index].reset.store(true);
}

int SignalNumber() { return SIGRTMIN + 1; }

// Returns a descriptor whose peer is closed, so that writes to it fail.
int MakeClosedDescriptor() {
  int pair[2];
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair) != 0) return -1;
  close(pair[1]);
  return pair[0];
}

void CreateTimer(int index) {
  sigevent event{};
  event.sigev_notify = SIGEV_THREAD_ID;
  event.sigev_signo = SignalNumber();
  event.sigev_value.sival_int = index;
  // The handler must run on the thread that writes.  On another thread it would
  // race with the writes.
  event._sigev_un._tid = static_cast<pid_t>(syscall(SYS_gettid));
  const int rc = timer_create(CLOCK_BOOTTIME, &event, &g_slots[index].timer);
  assert(rc == 0);
  (void)rc;
}

void SetTimer(int index, Time end) {
  const auto ns = end.time_since_epoch().count();
  itimerspec spec{};
  spec.it_value.tv_sec = ns / 1000000000;
  spec.it_value.tv_nsec = ns % 1000000000;
  timer_settime(g_slots[index].timer, TIMER_ABSTIME, &spec, nullptr);
}

void ClearTimer(int index) {
  const itimerspec off{};
  timer_settime(g_slots[index].timer, 0, &off, nullptr);
}

}  // namespace

LeaseSocketGuard::LeaseSocketGuard() {
  const bool existed = g_exists.exchange(true);
  assert(!existed);
  (void)existed;
  g_closed_fd.store(MakeClosedDescriptor());
  struct sigaction action {};
  action.sa_sigaction = OnLeaseExpired;
  action.sa_flags = SA_SIGINFO | SA_RESTART;
  sigaction(SignalNumber(), &action, nullptr);
  for (int i = 0; i < kMaxSockets; ++i) CreateTimer(i);
}

LeaseSocketGuard::~LeaseSocketGuard() {
  for (Slot& slot : g_slots) {
    timer_delete(slot.timer);
    slot.fd.store(kNoDescriptor);
  }
  close(g_closed_fd.exchange(kNoDescriptor));
  g_exists.store(false);
}

std::optional<int> LeaseSocketGuard::Arm(int fd, Time lease_end,
                                         Duration undelivered_limit) {
  if (fd < 0 || g_closed_fd.load() < 0) return std::nullopt;
  for (int i = 0; i < kMaxSockets; ++i) {
    if (g_slots[i].fd.load() != kNoDescriptor) continue;
    const linger discard_unsent{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard_unsent,
               sizeof(discard_unsent));
    const auto limit_ms = static_cast<unsigned>(
        std::chrono::duration_cast<milliseconds>(undelivered_limit).count());
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof(limit_ms));
    g_slots[i].reset.store(false);
    g_slots[i].fd.store(fd);
    SetTimer(i, lease_end);
    if (BootClock::now() < lease_end) return i;
    ClearTimer(i);
    g_slots[i].fd.store(kNoDescriptor);
    return std::nullopt;
  }
  return std::nullopt;
}

bool LeaseSocketGuard::WasReset(int handle) const {
  assert(handle >= 0 && handle < kMaxSockets);
  return g_slots[handle].reset.load();
}

bool LeaseSocketGuard::Disarm(int handle) {
  assert(handle >= 0 && handle < kMaxSockets);
  ClearTimer(handle);
  g_slots[handle].fd.store(kNoDescriptor);
  return g_slots[handle].reset.exchange(false);
}

}  // namespace corianderlink
