// Requests that upstreams have answered lately.
#ifndef CORIANDERLINK_GATEWAY_ANSWERED_REQUESTS_H_
#define CORIANDERLINK_GATEWAY_ANSWERED_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Remembers when requests were last answered; a bounded number of them.
class AnsweredRequests {
 public:
  void Add(Time now, uint64_t digest);
  /// When the request was last answered, as far as it is remembered.
  std::optional<Time> Find(uint64_t digest) const;

 private:
  struct Entry {
    uint64_t digest = 0;
    Time answered_at{};
  };

  static constexpr size_t kEntries = 2048;

  // By the low bits of the digest; a later request takes the place of an
  // earlier one.
  std::vector<Entry> entries_ = std::vector<Entry>(kEntries);
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ANSWERED_REQUESTS_H_
