// The record with which an upstream registers itself on the platform.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_RECORD_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_RECORD_H_

#include <cstdint>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

using UpstreamId = StrongId<struct UpstreamTag>;

/// The phases of a request that an upstream runs.
enum class UpstreamRole {
  kPlain,    ///< Whole requests of a service without a model.
  kPrefill,  ///< Computes prompts for decode engines.
  kDecode,   ///< Generates; also runs whole requests, with a slower prefill.
};

struct UpstreamRecord {
  UpstreamId id;
  ServiceId service;
  Address address;
  ZoneId zone;
  /// Requests that the upstream runs at the same time.
  int slots = 1;
  /// The upstream is shutting down and takes no new requests.
  bool draining = false;
  UpstreamRole role = UpstreamRole::kPlain;
  /// Start time of this incarnation, in Unix milliseconds; 0 if not given.
  int64_t started_ms = 0;
  /// Number of this record among those that the incarnation has written.
  uint64_t sequence = 0;

  bool operator==(const UpstreamRecord&) const = default;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_RECORD_H_
