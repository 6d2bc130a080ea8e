// Implementation of BootClock, Verdict, Address and RandomSource.
#include <arpa/inet.h>

#include <charconv>
#include <cstdio>
#include <ctime>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/random.h"
#include "corianderlink/Support/time.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

BootClock::time_point BootClock::now() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(std::chrono::seconds(ts.tv_sec) +
                    std::chrono::nanoseconds(ts.tv_nsec));
}

const char* ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not run";
    case Verdict::kMayHaveRun:
      return "may have run";
    case Verdict::kRan:
      return "ran";
  }
  return "may have run";
}

std::optional<Address> Address::Parse(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Address address;
  address.ip = text.substr(0, colon);
  // inet_pton reads up to the first null character.
  if (address.ip.find('\0') != std::string::npos) return std::nullopt;
  in6_addr unused{};  // Large enough for both address families.
  const bool numeric = inet_pton(AF_INET, address.ip.c_str(), &unused) == 1 ||
                       inet_pton(AF_INET6, address.ip.c_str(), &unused) == 1;
  if (!numeric) return std::nullopt;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, address.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  if (address.port == 0) return std::nullopt;
  return address;
}

RandomSource::RandomSource() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  engine_.seed(seed);
}

std::string RandomSource::HexId() {
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(engine_()),   // NOLINT
                static_cast<unsigned long long>(engine_()));  // NOLINT
  return text;
}

double RandomSource::Uniform() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

}  // namespace corianderlink
