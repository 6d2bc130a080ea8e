// What an upstream says of itself in the platform's list.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_RECORD_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_RECORD_H_

#include <cstdint>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

using UpstreamId = StrongId<struct UpstreamTag>;

/// Part of a request that an upstream takes.
enum class UpstreamRole {
  kPlain,    ///< A service without a model: whole requests.
  kPrefill,  ///< Computes prompts for others.
  kDecode,   ///< Generates; also runs whole requests, at a lower speed.
};

struct UpstreamRecord {
  UpstreamId id;
  ServiceId service;
  Address address;
  ZoneId zone;
  int slots = 1;
  /// It leaves: no new work.
  bool draining = false;
  UpstreamRole role = UpstreamRole::kPlain;
  /// Start of this incarnation, Unix milliseconds; 0 if not given.
  int64_t started_ms = 0;

  bool operator==(const UpstreamRecord&) const = default;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_RECORD_H_
