// Rate-limited, non-blocking writer of lines to a file descriptor.
#ifndef CORIANDERLINK_SUPPORT_LINE_WRITER_H_
#define CORIANDERLINK_SUPPORT_LINE_WRITER_H_

#include <cstdint>
#include <string>

#include "corianderlink/Support/time.h"

namespace corianderlink {

struct LineWriterLimits {
  /// Sustained rate, in lines per second.
  double lines_per_s = 3000;
  /// Number of lines that may exceed the sustained rate at once.
  double burst = 6000;
  /// Bytes buffered while the reader of the descriptor does not keep up.
  size_t max_pending_bytes = 256 * 1024;
};

/// Writes lines without ever blocking.  Drops a line that exceeds the rate or
/// does not fit into the buffer; the next accepted line is preceded by the
/// number of lines dropped before it.
class LineWriter {
 public:
  LineWriter(int fd, LineWriterLimits limits);

  /// Writes `line` and a newline, buffers them, or drops them.
  void Write(Time now, const std::string& line);
  /// Number of lines dropped so far.
  uint64_t dropped() const { return dropped_; }

 private:
  /// Takes a token from the bucket of the rate limit; false if it is empty.
  bool TryTakeToken(Time now);
  void Append(const std::string& line);
  void Flush();

  const int fd_;
  const LineWriterLimits limits_;
  double tokens_;
  Time last_refill_{};
  std::string pending_;
  uint64_t dropped_ = 0;
  uint64_t dropped_reported_ = 0;
};

/// The writer of this process's standard output.
LineWriter& StandardOutputWriter();

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_LINE_WRITER_H_
