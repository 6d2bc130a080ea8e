// Keeps each stream at the software version that began it.
//
// What two versions of an upstream's software write does not fit together, so
// a stream may only be resumed at the version that began it, also when the
// client comes back through another gateway.  Gateways tell each other where
// streams began, and keep it in the store, while several versions of a service
// serve or have just served.  A stream of unknown beginning is resumed only if
// no other version can have begun it.
#ifndef CORIANDERLINK_GATEWAY_STREAM_VERSIONS_H_
#define CORIANDERLINK_GATEWAY_STREAM_VERSIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Gateway/record_store.h"
#include "corianderlink/Gateway/stream_origins.h"
#include "corianderlink/Gateway/upstream_directory.h"
#include "corianderlink/Gateway/version_constraint.h"
#include "corianderlink/Gateway/version_history.h"
#include "corianderlink/Support/json_reader.h"
#include "corianderlink/Support/random.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// What gateways tell each other of software versions and streams.
struct StreamVersionReport {
  /// The sender knows all versions of the lifetime of a stream.
  bool is_complete = false;
  std::vector<VersionSighting> sightings;
  /// Streams that have begun since the last report.
  std::vector<StreamOrigin> origins;
  /// The sender knows all versions that were registered this long ago.
  Duration knowledge_age = Duration::max();
};

/// Whether and where a stream may be resumed.
struct ResumptionDecision {
  /// Empty if the stream must not be resumed by this gateway now.
  std::optional<SoftwareVersion> version;
  /// Service at which the stream began; empty if its origin is not known.
  ServiceId service;
  /// If the stream must not be resumed: the reason, for the log.
  std::string reason;
};

/// Knowledge of this gateway about versions and streams.
class StreamVersions {
 public:
  /// A gateway that knows the upstreams as they were this long ago, or longer,
  /// may not know of a version that its peers use.  Only what was asked for
  /// counts, by the time of the question: an answer may have waited, unread, as
  /// long as this process was paused.
  static constexpr Duration kMaxKnowledgeAge = seconds(5);

  StreamVersions(const UpstreamDirectory& directory, RandomSource& random)
      : directory_(directory), random_(random) {}

  VersionHistory& history() { return history_; }
  const VersionHistory& history() const { return history_; }
  StreamOrigins& origins() { return origins_; }
  const StreamOrigins& origins() const { return origins_; }

  /// Takes over changes of upstreams and drops what is outdated.
  void Update(Time now);

  /// All versions that were registered at `as_of` are known now.  After a
  /// longer time without this, a version may have come and gone unseen.
  void OnKnowledge(Time as_of);
  /// All versions of the lifetime of a stream are known.
  bool is_complete() const;
  /// Age of what is known of the registered versions.
  Duration KnowledgeAge(Time now) const;

  /// Decides on the resumption of a stream by a client.  `service` is the one
  /// that the request would get.  All peers have this gateway's report of
  /// `reported_until`, so that they ask it before they use another version than
  /// those that it knew then.
  ResumptionDecision Resolve(Time now, StreamKey key, const ServiceId& service,
                             Time reported_until) const;
  /// Versions that a new stream must not begin at: those that not all peers are
  /// known to know.  If no other one serves, only peers count that may resume
  /// streams at another one.  `peers` are the last reports, also of peers that
  /// may be standing still or cut off.
  VersionConstraint ForNewStream(
      Time now, const ServiceId& service,
      const std::vector<const StreamVersionReport*>& peers) const;

  /// This gateway's part of the next heartbeat.  If the store has not responded
  /// for long, the origins of all streams are passed on.
  StreamVersionReport NextReport(Time now, Duration store_age);
  /// A peer's report, which was made after `reported_after`; unknown if empty.
  void OnReport(Time now, const StreamVersionReport& report,
                std::optional<Time> reported_after);

  /// Takes over the records that the store was asked for at `asked_at`; their
  /// values have Unix times in milliseconds, of which `unix_now_ms` is the
  /// present one.
  void Restore(Time now, const std::vector<StoreRecord>& records,
               int64_t unix_now_ms, Time asked_at);
  /// The next record for the store, if there is something new.  `writer` is
  /// this gateway's number among those that keep records, from 0 on.
  std::optional<StoreRecord> NextRecord(Time now, int64_t unix_now_ms,
                                        size_t writer);
  /// The last record was written, or not.
  void OnRecordWritten(bool written);
  /// The store has lost writes.
  void OnStoreRestored() { stored_versions_.clear(); }

 private:
  using RegisteredVersions = std::map<SoftwareVersion, bool>;

  void OnHistory(Time as_of);
  /// True if an upstream that answers may be used.
  bool HasPermitted(const ServiceId& service,
                    const VersionConstraint& constraint) const;

  std::optional<StoreRecord> NextVersionsRecord(Time now, int64_t unix_now_ms);
  std::optional<StoreRecord> NextOriginsRecord(Time now, int64_t unix_now_ms,
                                               size_t writer);
  /// Adds origins that the store does not have to the record that is being
  /// filled, or begins the next one; false if there are none.
  bool ExtendOpenRecord(const std::set<ServiceId>& mixed);
  /// Takes over one entry of a record.
  void RestoreEntry(Time now, const Json& entry, int64_t unix_now_ms);

  const UpstreamDirectory& directory_;
  RandomSource& random_;
  VersionHistory history_;
  StreamOrigins origins_;
  // The registered versions are known from the first until the last one.
  std::optional<Time> known_since_;
  std::optional<Time> known_until_;
  // As of this time, a peer or the store knew all versions of the lifetime of a
  // stream.
  std::optional<Time> history_as_of_;
  // Versions of each service, and whether they are registered, as the store
  // has them.
  std::map<ServiceId, RegisteredVersions> stored_versions_;
  // The record of versions that is being written.
  std::optional<ServiceId> written_service_;
  RegisteredVersions written_versions_;
  // Contents of the record of origins that is being filled, and its number.
  std::vector<StreamOrigin> open_record_;
  std::optional<uint64_t> open_record_number_;
  // The last write of this record has failed.
  bool open_record_failed_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_STREAM_VERSIONS_H_
