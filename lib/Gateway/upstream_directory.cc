// The registered upstreams.
#include "corianderlink/Gateway/upstream_directory.h"

#include <algorithm>
#include <string>

#include "corianderlink/Support/hash.h"

namespace corianderlink {
namespace {

// Longer than a restored copy of the store can be old.
constexpr Duration kDepartureRetention = seconds(600);

uint64_t HashOf(const char* kind, const UpstreamId& id, RecordAge age) {
  // Cheaper than a cryptographic hash, whose library takes memory at first use.
  return Fnv1aHash(kind + id.value() + " " + std::to_string(age.started_ms) +
                   " " + std::to_string(age.sequence));
}

uint64_t HashOf(const UpstreamRecord& record) {
  return HashOf("record ", record.id, AgeOf(record));
}

uint64_t HashOf(const UpstreamDeparture& departure) {
  return HashOf("departure ", departure.id, departure.last_record);
}

}  // namespace

void UpstreamDirectory::OnStoreUnreachable() {
  unreachable_ = true;
  reachable_since_.reset();
}

void UpstreamDirectory::OnStoreReachable(Time now) {
  if (!unreachable_) return;
  unreachable_ = false;
  reachable_since_ = now;
}

void UpstreamDirectory::OnStoreRestored(Time now) {
  unreachable_ = false;
  reachable_since_ = now;
}

bool UpstreamDirectory::IsLater(const UpstreamRecord& record,
                                const UpstreamDeparture& departure) {
  // Without a start time, a restarted upstream cannot be told from an old one.
  if (record.started_ms == 0) return true;
  if (AgeOf(record) > departure.last_record) return true;
  // In one era of the store, versions tell which came first.
  return record.written_at.era == departure.removed_at.era &&
         record.written_at.version > departure.removed_at.version;
}

bool UpstreamDirectory::IsOutdated(const UpstreamRecord& record) const {
  const auto known = records_.find(record.id);
  // Without a start time, a restarted upstream cannot be told from an old one.
  if (known != records_.end() && known->second.started_ms != 0) {
    return AgeOf(record) < AgeOf(known->second);
  }
  const auto departed = departed_.find(record.id);
  return departed != departed_.end() && !IsLater(record, departed->second);
}

void UpstreamDirectory::Put(const UpstreamRecord& record) {
  if (IsOutdated(record)) return;
  const auto it = records_.find(record.id);
  if (it != records_.end() && it->second.service != record.service) {
    Erase(record.id);
  }
  EraseDeparture(record.id);
  missing_.erase(record.id);
  UpstreamRecord& known = records_[record.id];
  if (!known.id.value().empty()) digest_ ^= HashOf(known);
  known = record;
  digest_ ^= HashOf(known);
  by_service_[record.service].insert(record.id);
}

void UpstreamDirectory::Merge(const UpstreamRecord& record) {
  const auto known = records_.find(record.id);
  if (known == records_.end()) return;
  if (AgeOf(known->second) < AgeOf(record)) Put(record);
}

void UpstreamDirectory::MergeDeparture(const UpstreamDeparture& departure) {
  const auto known = records_.find(departure.id);
  if (known == records_.end()) {
    SetDeparture(departure);
    return;
  }
  if (IsLater(known->second, departure)) return;
  Erase(departure.id);
  SetDeparture(departure);
}

std::vector<UpstreamDeparture> UpstreamDirectory::Departures() const {
  std::vector<UpstreamDeparture> departures;
  departures.reserve(departed_.size());
  for (const auto& [id, departure] : departed_) departures.push_back(departure);
  return departures;
}

void UpstreamDirectory::SetDeparture(const UpstreamDeparture& departure) {
  const auto known = departed_.find(departure.id);
  if (known != departed_.end() &&
      known->second.last_record >= departure.last_record) {
    return;
  }
  EraseDeparture(departure.id);
  departed_[departure.id] = departure;
  digest_ ^= HashOf(departure);
}

void UpstreamDirectory::EraseDeparture(const UpstreamId& id) {
  const auto it = departed_.find(id);
  if (it == departed_.end()) return;
  digest_ ^= HashOf(it->second);
  departed_.erase(it);
}

void UpstreamDirectory::Remove(Time now, const UpstreamId& id,
                               StorePosition removed_at) {
  if (records_.count(id) == 0) return;
  const bool recent_outage =
      unreachable_ ||
      (reachable_since_ && now - *reachable_since_ < restore_grace_);
  if (recent_outage) {
    missing_.try_emplace(id, removed_at);
    return;
  }
  Depart(now, id, removed_at);
}

void UpstreamDirectory::Depart(Time now, const UpstreamId& id,
                               StorePosition removed_at) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  const RecordAge last_record = AgeOf(it->second);
  Erase(id);
  EraseDeparture(id);
  SetDeparture({id, last_record, removed_at, now});
}

bool UpstreamDirectory::LacksMostOfAService(
    const std::vector<UpstreamRecord>& records) const {
  std::map<ServiceId, size_t> listed;
  for (const UpstreamRecord& record : records) ++listed[record.service];
  for (const auto& [service, ids] : by_service_) {
    const size_t usable = Usable(service).size();
    if (usable > 1 && 2 * listed[service] < usable) return true;
  }
  return false;
}

void UpstreamDirectory::ReplaceAll(Time now,
                                   const std::vector<UpstreamRecord>& records,
                                   StorePosition position) {
  if (LacksMostOfAService(records)) reachable_since_ = now;
  std::set<UpstreamId> listed;
  for (const UpstreamRecord& record : records) {
    Put(record);
    listed.insert(record.id);
  }
  std::vector<UpstreamId> unlisted;
  for (const auto& [id, record] : records_) {
    if (listed.count(id) == 0) unlisted.push_back(id);
  }
  for (const UpstreamId& id : unlisted) Remove(now, id, position);
}

void UpstreamDirectory::Expire(Time now) {
  std::erase_if(departed_, [&](const auto& entry) {
    const UpstreamDeparture& departure = entry.second;
    const bool expired = now - departure.noticed_at > kDepartureRetention;
    if (expired) digest_ ^= HashOf(departure);
    return expired;
  });
  if (unreachable_ || missing_.empty()) return;
  if (reachable_since_ && now - *reachable_since_ < restore_grace_) return;
  const std::map<UpstreamId, StorePosition> expired = missing_;
  for (const auto& [id, removed_at] : expired) Depart(now, id, removed_at);
}

void UpstreamDirectory::Erase(const UpstreamId& id) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  digest_ ^= HashOf(it->second);
  by_service_[it->second.service].erase(id);
  missing_.erase(id);
  records_.erase(it);
}

const UpstreamRecord* UpstreamDirectory::Find(const UpstreamId& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

std::set<Address> UpstreamDirectory::Addresses() const {
  std::set<Address> addresses;
  for (const auto& [id, record] : records_) addresses.insert(record.address);
  return addresses;
}

std::vector<const UpstreamRecord*> UpstreamDirectory::Usable(
    const ServiceId& service) const {
  std::vector<const UpstreamRecord*> usable;
  const auto ids = by_service_.find(service);
  if (ids == by_service_.end()) return usable;
  for (const UpstreamId& id : ids->second) {
    const UpstreamRecord& record = records_.at(id);
    if (!record.draining) usable.push_back(&record);
  }
  return usable;
}

}  // namespace corianderlink
