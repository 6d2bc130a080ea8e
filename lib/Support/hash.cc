// Hashes computed by libcrypto.
#include "corianderlink/Support/hash.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace corianderlink {

std::string Sha256Hex(std::string_view data) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest);
  constexpr char kHex[] = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : digest) {
    text += kHex[byte >> 4];
    text += kHex[byte & 15];
  }
  return text;
}

uint64_t StableHash(std::string_view data) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest);
  uint64_t hash = 0;
  for (int i = 0; i < 8; ++i) hash = hash << 8 | digest[i];
  return hash;
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace corianderlink
