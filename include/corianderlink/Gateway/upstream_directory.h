// The registered upstreams, as read from the store.
//
// The store may lose records in an outage, and live upstreams register again
// soon after it.  A record that goes missing during an outage, or shortly after
// it, is therefore kept until upstreams have had time to do so.
//
// What is known does not only come from the store.  A store that came back from
// a copy shows less than its readers have seen before, so gateways also tell
// each other of records and departures.  Of two records of an upstream the
// later one counts, whoever has it.
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
  /// The store has no record of the upstream any more, at the position
  /// `removed_at`.
  void Remove(Time now, const UpstreamId& id, StorePosition removed_at);
  /// All records were read from the store.  If they lack most of a service, the
  /// store has lost them: upstreams leave one after the other.
  void ReplaceAll(Time now, const std::vector<UpstreamRecord>& records,
                  StorePosition position);
  /// A peer whose list is not newer knows this record: replaces a known, older
  /// one of the same upstream.
  void Merge(const UpstreamRecord& record);
  /// A peer knows that an upstream has left.
  void MergeDeparture(const UpstreamDeparture& departure);
  /// Upstreams that have left, to be passed on to peers.
  std::vector<UpstreamDeparture> Departures() const;
  /// Equal at gateways that know the same records and departures.
  uint64_t Digest() const { return digest_; }
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
  /// True if the upstream wrote the record after its departure.
  static bool IsLater(const UpstreamRecord& record,
                      const UpstreamDeparture& departure);
  /// True if a later record of the upstream is known, or it has left since.
  bool IsOutdated(const UpstreamRecord& record) const;
  /// True if less than half of a service's usable upstreams are left.
  bool LacksMostOfAService(const std::vector<UpstreamRecord>& records) const;
  void Erase(const UpstreamId& id);
  /// Drops a record and remembers that the upstream has left.
  void Depart(Time now, const UpstreamId& id, StorePosition removed_at);
  void SetDeparture(const UpstreamDeparture& departure);
  void EraseDeparture(const UpstreamId& id);

  const Duration restore_grace_;
  std::map<UpstreamId, UpstreamRecord> records_;
  std::map<ServiceId, std::set<UpstreamId>> by_service_;
  // Records that the store lacks, with the position of their removal.
  std::map<UpstreamId, StorePosition> missing_;
  // Upstreams whose records were removed, so that a restored copy of the store
  // does not bring them back.
  std::map<UpstreamId, UpstreamDeparture> departed_;
  // Exclusive or of the hashes of all records and departures.
  uint64_t digest_ = 0;
  bool unreachable_ = false;
  std::optional<Time> reachable_since_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_DIRECTORY_H_
