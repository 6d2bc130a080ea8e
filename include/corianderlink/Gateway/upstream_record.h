// The record with which an upstream registers itself on the platform.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_RECORD_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_RECORD_H_

#include <cstdint>

#include "corianderlink/Gateway/store_position.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

using UpstreamId = StrongId<struct UpstreamTag>;
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;

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
  /// Version of the upstream's software; empty if not given.
  SoftwareVersion version;
  /// Start time of this incarnation, in Unix milliseconds; 0 if not given.
  int64_t started_ms = 0;
  /// Number of this record among those that the incarnation has written.
  uint64_t sequence = 0;
  /// Position of the store at which the record was written.
  StorePosition written_at;

  bool operator==(const UpstreamRecord&) const = default;
};

/// Position of a record among all that upstreams of one id have written.
struct RecordAge {
  int64_t started_ms = 0;
  uint64_t sequence = 0;

  auto operator<=>(const RecordAge&) const = default;
};

inline RecordAge AgeOf(const UpstreamRecord& record) {
  return {record.started_ms, record.sequence};
}

/// The removal of an upstream's record from the store.
struct UpstreamDeparture {
  UpstreamId id;
  /// The last record that was known of the upstream.
  RecordAge last_record;
  /// Position of the store at which the record was missing.
  StorePosition removed_at;
  /// When the removal was noticed.
  Time noticed_at{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_RECORD_H_
