// SHA-256 digests, stable 64-bit hashes and constant-time comparison.
#ifndef CORIANDERLINK_SUPPORT_HASH_H_
#define CORIANDERLINK_SUPPORT_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace corianderlink {

/// SHA-256 digest as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

/// First 64 bits of the SHA-256 digest, so that all processes and releases
/// compute the same hash.
uint64_t StableHash(std::string_view data);

/// 64-bit FNV-1a hash: cheap and the same in all processes and releases, but
/// easy to forge.
constexpr uint64_t Fnv1aHash(std::string_view data) {
  uint64_t hash = 0xcbf29ce484222325;
  for (const char c : data) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3;
  }
  return hash;
}

/// Finalizer of SplitMix64: spreads the bits of `x`.
constexpr uint64_t MixBits(uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ x >> 31;
}

/// Compares in time that depends only on the lengths, to prevent timing attacks
/// on secrets.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_HASH_H_
