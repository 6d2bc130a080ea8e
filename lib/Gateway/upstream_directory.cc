// The registered upstreams.
#include "corianderlink/Gateway/upstream_directory.h"

namespace corianderlink {
namespace {

// Longer than a restored copy of the store can be old.
constexpr Duration kDepartureRetention = seconds(600);

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
  ++restores_;
}

bool UpstreamDirectory::IsOutdated(const UpstreamRecord& record) const {
  const auto known = records_.find(record.id);
  // Without a start time, a restarted upstream cannot be told from an old one.
  if (known != records_.end() && known->second.started_ms != 0) {
    return AgeOf(record) < AgeOf(known->second);
  }
  const auto departed = departed_.find(record.id);
  if (departed == departed_.end() || record.started_ms == 0) return false;
  // Without a restore since, the record was written after the removal.
  if (departed->second.restores == restores_) return false;
  return AgeOf(record) <= departed->second.last_record;
}

void UpstreamDirectory::Put(const UpstreamRecord& record) {
  if (IsOutdated(record)) return;
  const auto it = records_.find(record.id);
  if (it != records_.end() && it->second.service != record.service) {
    Erase(record.id);
  }
  departed_.erase(record.id);
  missing_.erase(record.id);
  records_[record.id] = record;
  by_service_[record.service].insert(record.id);
}

void UpstreamDirectory::Remove(Time now, const UpstreamId& id) {
  if (records_.count(id) == 0) return;
  const bool recent_outage =
      unreachable_ ||
      (reachable_since_ && now - *reachable_since_ < restore_grace_);
  if (recent_outage) {
    missing_.insert(id);
    return;
  }
  Depart(now, id);
}

void UpstreamDirectory::Depart(Time now, const UpstreamId& id) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  departed_[id] = {AgeOf(it->second), restores_, now};
  Erase(id);
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
                                   const std::vector<UpstreamRecord>& records) {
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
  for (const UpstreamId& id : unlisted) Remove(now, id);
}

void UpstreamDirectory::Expire(Time now) {
  std::erase_if(departed_, [&](const auto& entry) {
    return now - entry.second.at > kDepartureRetention;
  });
  if (unreachable_ || missing_.empty()) return;
  if (reachable_since_ && now - *reachable_since_ < restore_grace_) return;
  const std::set<UpstreamId> expired = missing_;
  for (const UpstreamId& id : expired) Depart(now, id);
}

void UpstreamDirectory::Erase(const UpstreamId& id) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
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
