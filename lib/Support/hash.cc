// Hashes computed by libcrypto.
#include "corianderlink/Support/hash.h"

// The functions that replace these load the providers of libcrypto, which take
// some megabytes of memory.
#define OPENSSL_SUPPRESS_DEPRECATED
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace corianderlink {
namespace {

using Sha256Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Sha256Digest Sha256Of(std::string_view data) {
  Sha256Digest digest;
  SHA256_CTX context;
  SHA256_Init(&context);
  SHA256_Update(&context, data.data(), data.size());
  SHA256_Final(digest.data(), &context);
  return digest;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  const Sha256Digest digest = Sha256Of(data);
  constexpr char kHex[] = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : digest) {
    text += kHex[byte >> 4];
    text += kHex[byte & 15];
  }
  return text;
}

uint64_t StableHash(std::string_view data) {
  const Sha256Digest digest = Sha256Of(data);
  uint64_t hash = 0;
  for (size_t i = 0; i < 8; ++i) hash = hash << 8 | digest[i];
  return hash;
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace corianderlink
