// Requests that upstreams have answered lately.
#ifndef CORIANDERLINK_GATEWAY_ANSWERED_REQUESTS_H_
#define CORIANDERLINK_GATEWAY_ANSWERED_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Remembers a bounded number of answered requests.  An upstream survives such
/// a request, so that its crash under the same one has another cause: requests
/// that many callers send alike are in progress at most crashes.
class AnsweredRequests {
 public:
  /// `fingerprint` identifies the request within this process.
  void Add(Time now, uint64_t fingerprint);
  /// True if the request was answered within the last minute, as far as it is
  /// remembered.
  bool Contains(Time now, uint64_t fingerprint) const;

 private:
  struct Entry {
    uint64_t fingerprint = 0;
    Time answered_at{};
  };

  static constexpr size_t kEntries = 2048;

  // By the low bits of the fingerprint; a later request takes the place of an
  // earlier one.
  std::vector<Entry> entries_ = std::vector<Entry>(kEntries);
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ANSWERED_REQUESTS_H_
