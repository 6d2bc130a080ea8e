// Stable hashes.
#include "corianderlink/Support/hash.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

// Published test vectors of FNV-1a, 64 bits.
TEST(HashTest, Fnv1aMatchesItsTestVectors) {
  static_assert(Fnv1aHash("") == 0xcbf29ce484222325);
  EXPECT_EQ(Fnv1aHash("a"), 0xaf63dc4c8601ec8cU);
  EXPECT_EQ(Fnv1aHash("foobar"), 0x85944171f73967e8U);
}

}  // namespace
}  // namespace corianderlink
