// Ports of test programs that run at the same time.
#include "Common/free_address.h"

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <string>
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

/// Ports that a process of the plays takes, from that block on.
std::set<uint16_t> PortsOfPlays(size_t count, int first_block) {
  const std::string command =
      "cd " SOURCE_DIR
      "/utils && python3 -B -c 'from soak_lib import ports; "
      "blocks = ports.PortBlocks(" +
      std::to_string(first_block) + "); [print(blocks.next()) for _ in range(" +
      std::to_string(count) + ")]'";
  std::set<uint16_t> ports;
  FILE* out = popen(command.c_str(), "r");
  for (uint16_t port = 0; fscanf(out, "%hu", &port) == 1;) ports.insert(port);
  pclose(out);
  return ports;
}

// Guards against plays that take ports which a test program has claimed.
TEST(FreeAddressTest, PlaysTakeNoPortsOfATestProgram) {
  constexpr size_t kPortsOfPlays = 1200;
  constexpr int kFirstPort = 12000;
  constexpr int kPortsPerBlock = 200;
  std::set<uint16_t> own;
  while (own.size() < kPortsPerBlock) own.insert(FreeAddress().port);
  // The plays come to the blocks of this program.
  const int block = (FreeAddress().port - kFirstPort) / kPortsPerBlock;
  const std::set<uint16_t> others = PortsOfPlays(kPortsOfPlays, block + 98);
  EXPECT_EQ(others.size(), kPortsOfPlays);
  EXPECT_EQ(std::count_if(
                own.begin(), own.end(),
                [&others](uint16_t port) { return others.count(port) > 0; }),
            0);
}

}  // namespace
}  // namespace corianderlink
