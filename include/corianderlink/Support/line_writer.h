// Writes lines to a descriptor without blocking and with a bounded rate.
#ifndef CORIANDERLINK_SUPPORT_LINE_WRITER_H_
#define CORIANDERLINK_SUPPORT_LINE_WRITER_H_

#include <cstdint>
#include <string>

#include "corianderlink/Support/time.h"

namespace corianderlink {

struct LineWriterLimits {
  /// Lines a second, on average.
  double lines_per_s = 3000;
  /// Lines that may come at once.
  double burst = 6000;
  /// Bytes kept while the reader does not read.
  size_t max_pending_bytes = 256 * 1024;
};

/// Lines that are too many, or that a slow reader leaves no room for, are
/// dropped.  Their number is written once lines pass again.
class LineWriter {
 public:
  LineWriter(int fd, LineWriterLimits limits);

  void Write(Time now, const std::string& line);
  uint64_t dropped() const { return dropped_; }

 private:
  bool TakeToken(Time now);
  void Append(const std::string& line);
  void Flush();

  const int fd_;
  const LineWriterLimits limits_;
  double tokens_;
  Time refilled_{};
  std::string pending_;
  uint64_t dropped_ = 0;
  uint64_t dropped_reported_ = 0;
};

/// The writer of this process's standard output.
LineWriter& StandardOutput();

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_LINE_WRITER_H_
