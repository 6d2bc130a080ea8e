// Rate-limited, non-blocking writer of lines to a file descriptor.
#include "corianderlink/Support/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace corianderlink {
namespace {

// Size of one write: a pipe that polls as writable accepts at least this many
// bytes without blocking (PIPE_BUF is 4096 on Linux; POSIX requires only 512).
constexpr size_t kMaxWriteBytes = 4096;

bool IsWritable(int fd) {
  pollfd entry{fd, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

LineWriter::LineWriter(int fd, LineWriterLimits limits)
    : fd_(fd), limits_(limits), tokens_(limits.burst) {}

bool LineWriter::TryTakeToken(Time now) {
  const double refill = ToSeconds(now - last_refill_) * limits_.lines_per_s;
  tokens_ = std::min(limits_.burst, tokens_ + std::max(0.0, refill));
  last_refill_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void LineWriter::Write(Time now, const std::string& line) {
  Flush();
  const bool fits =
      pending_.size() + line.size() + 1 <= limits_.max_pending_bytes;
  if (!fits || !TryTakeToken(now)) {
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
  // Poll instead of setting O_NONBLOCK, which would also affect other processes
  // that share the descriptor.
  while (!pending_.empty() && IsWritable(fd_)) {
    const size_t size = std::min(pending_.size(), kMaxWriteBytes);
    const ssize_t written = write(fd_, pending_.data(), size);
    if (written <= 0) return;
    pending_.erase(0, static_cast<size_t>(written));
  }
}

LineWriter& StandardOutputWriter() {
  static auto& writer = *new LineWriter(STDOUT_FILENO, LineWriterLimits{});
  return writer;
}

}  // namespace corianderlink
