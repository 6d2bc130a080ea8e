// Lines to a descriptor, never blocking.
#include "corianderlink/Support/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace corianderlink {
namespace {

// A pipe takes at least this many bytes once it is writable (POSIX PIPE_BUF is
// at least 512; Linux guarantees 4096).
constexpr size_t kAtomicBytes = 4096;

bool Writable(int fd) {
  pollfd entry{fd, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

LineWriter::LineWriter(int fd, LineWriterLimits limits)
    : fd_(fd), limits_(limits), tokens_(limits.burst) {}

bool LineWriter::TakeToken(Time now) {
  const double earned = ToSeconds(now - refilled_) * limits_.lines_per_s;
  tokens_ = std::min(limits_.burst, tokens_ + std::max(0.0, earned));
  refilled_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void LineWriter::Write(Time now, const std::string& line) {
  Flush();
  const bool fits =
      pending_.size() + line.size() + 1 <= limits_.max_pending_bytes;
  if (!fits || !TakeToken(now)) {
    ++dropped_;
    return;
  }
  if (dropped_ != dropped_reported_) {
    Append("level=warning event=log_lines_dropped count=" +
           std::to_string(dropped_ - dropped_reported_));
    dropped_reported_ = dropped_;
  }
  Append(line);
  Flush();
}

void LineWriter::Append(const std::string& line) {
  pending_ += line;
  pending_ += '\n';
}

void LineWriter::Flush() {
  // The descriptor may be shared, so it is asked instead of being made
  // non-blocking.
  while (!pending_.empty() && Writable(fd_)) {
    const size_t size = std::min(pending_.size(), kAtomicBytes);
    const ssize_t written = write(fd_, pending_.data(), size);
    if (written <= 0) return;
    pending_.erase(0, static_cast<size_t>(written));
  }
}

LineWriter& StandardOutput() {
  static auto& writer = *new LineWriter(STDOUT_FILENO, LineWriterLimits{});
  return writer;
}

}  // namespace corianderlink
