// Hashes: SHA-256 for keys and bodies, a 64-bit hash for placement.
#ifndef CORIANDERLINK_SUPPORT_HASH_H_
#define CORIANDERLINK_SUPPORT_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace corianderlink {

/// SHA-256 as 64 hexadecimal digits.
std::string Sha256Hex(std::string_view data);

/// The first 64 bits of SHA-256; the same on every process and release.
uint64_t StableHash(std::string_view data);

/// Compares in time that depends on the lengths only.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_HASH_H_
