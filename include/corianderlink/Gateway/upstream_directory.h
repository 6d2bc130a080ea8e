// The registered upstreams, as read from the store.
//
// The store may lose records in an outage, and live upstreams register again
// soon after it.  A record that goes missing during an outage, or shortly after
// it, is therefore kept until upstreams have had time to do so.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_DIRECTORY_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Records of upstreams by id and by service.
class UpstreamDirectory {
 public:
  /// A record that goes missing around an outage is kept until `restore_grace`
  /// after the store is reachable again.
  explicit UpstreamDirectory(Duration restore_grace)
      : restore_grace_(restore_grace) {}

  void OnStoreUnreachable();
  void OnStoreReachable(Time now);
  /// The store came back from a copy: it may lack records of live upstreams and
  /// hold records of upstreams that have left since.
  void OnStoreRestored(Time now);

  /// Adds or replaces a record, unless it is older than the known one.
  void Put(const UpstreamRecord& record);
  /// The store has no record of the upstream any more.
  void Remove(Time now, const UpstreamId& id);
  /// All records were read from the store.  If they lack most of a service, the
  /// store has lost them: upstreams leave one after the other.
  void ReplaceAll(Time now, const std::vector<UpstreamRecord>& records);
  /// Drops missing records once the grace time has passed.
  void Expire(Time now);

  /// Null if the upstream is unknown.
  const UpstreamRecord* Find(const UpstreamId& id) const;
  /// Upstreams of a service that take new requests.
  std::vector<const UpstreamRecord*> Usable(const ServiceId& service) const;
  /// Addresses of all upstreams.
  std::set<Address> Addresses() const;
  const std::map<UpstreamId, UpstreamRecord>& records() const {
    return records_;
  }

 private:
  /// Position of a record among all that upstreams of this id have written.
  struct RecordAge {
    int64_t started_ms = 0;
    uint64_t sequence = 0;

    auto operator<=>(const RecordAge&) const = default;
  };
  struct Departure {
    RecordAge last_record;
    /// Number of restores of the store before it.
    int restores = 0;
    Time at{};
  };

  static RecordAge AgeOf(const UpstreamRecord& record) {
    return {record.started_ms, record.sequence};
  }
  /// True if a later record of the upstream is known, or it has left since.
  bool IsOutdated(const UpstreamRecord& record) const;
  /// True if less than half of a service's usable upstreams are left.
  bool LacksMostOfAService(const std::vector<UpstreamRecord>& records) const;
  void Erase(const UpstreamId& id);
  /// Drops a record and remembers that the upstream has left.
  void Depart(Time now, const UpstreamId& id);

  const Duration restore_grace_;
  std::map<UpstreamId, UpstreamRecord> records_;
  std::map<ServiceId, std::set<UpstreamId>> by_service_;
  std::set<UpstreamId> missing_;
  // Upstreams whose records were removed, so that a restored copy of the store
  // does not bring them back.
  std::map<UpstreamId, Departure> departed_;
  int restores_ = 0;
  bool unreachable_ = false;
  std::optional<Time> reachable_since_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_DIRECTORY_H_
