// Random numbers and identifiers.
#ifndef CORIANDERLINK_SUPPORT_RANDOM_H_
#define CORIANDERLINK_SUPPORT_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace corianderlink {

/// Pseudo-random generator for identifiers and jitter.  Tests seed it
/// explicitly to be reproducible.
class RandomSource {
 public:
  /// Seeds from the operating system.
  RandomSource();
  explicit RandomSource(uint64_t seed) : engine_(seed) {}

  /// 128 random bits as 32 lower-case hexadecimal digits.
  std::string HexId();
  /// 64 random bits.
  uint64_t Bits() { return engine_(); }
  /// Uniform in [0, 1).
  double Uniform();

 private:
  std::mt19937_64 engine_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_RANDOM_H_
