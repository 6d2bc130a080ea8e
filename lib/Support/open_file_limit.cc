// How many files and sockets the system lets this process open.
#include "corianderlink/Support/open_file_limit.h"

#include <sys/resource.h>

#include <limits>

namespace corianderlink {

size_t OpenFileLimit() {
  constexpr size_t kNone = std::numeric_limits<size_t>::max();
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kNone;
  return limit.rlim_cur == RLIM_INFINITY ? kNone : limit.rlim_cur;
}

}  // namespace corianderlink
