// Ports of test programs that run at the same time.
#include "Common/free_address.h"

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <set>
#include <vector>

namespace corianderlink {
namespace {

constexpr size_t kPorts = 1000;

std::vector<uint16_t> TakePorts() {
  std::vector<uint16_t> ports;
  while (ports.size() < kPorts) ports.push_back(FreeAddress().port);
  return ports;
}

TEST(FreeAddressTest, ProgramsThatRunAtOnceGetDifferentPorts) {
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  const pid_t child = fork();
  ASSERT_GE(child, 0);
  if (child == 0) {
    const std::vector<uint16_t> ports = TakePorts();
    const size_t size = ports.size() * sizeof(ports[0]);
    const bool written =
        write(ends[1], ports.data(), size) == static_cast<ssize_t>(size);
    // Until the other program has all of its own.
    if (written) pause();
    _exit(1);
  }
  std::vector<uint16_t> others(kPorts);
  const size_t size = kPorts * sizeof(others[0]);
  ASSERT_EQ(read(ends[0], others.data(), size), static_cast<ssize_t>(size));
  const std::vector<uint16_t> own = TakePorts();
  kill(child, SIGKILL);
  waitpid(child, nullptr, 0);
  close(ends[0]);
  close(ends[1]);
  const std::set<uint16_t> taken(others.begin(), others.end());
  EXPECT_EQ(taken.size(), kPorts);
  EXPECT_EQ(
      std::count_if(own.begin(), own.end(),
                    [&taken](uint16_t port) { return taken.count(port) > 0; }),
      0);
}

}  // namespace
}  // namespace corianderlink
