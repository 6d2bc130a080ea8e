// How many files and sockets the system lets this process open.
#ifndef CORIANDERLINK_SUPPORT_OPEN_FILE_LIMIT_H_
#define CORIANDERLINK_SUPPORT_OPEN_FILE_LIMIT_H_

#include <cstddef>

namespace corianderlink {

/// The soft limit of the process (RLIMIT_NOFILE); the largest number if it has
/// none, or if the system does not tell.
size_t OpenFileLimit();

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_OPEN_FILE_LIMIT_H_
