// Upstreams that may be used.
#include "corianderlink/Gateway/upstream_directory.h"

namespace corianderlink {

void UpstreamDirectory::OnStoreUnreachable() {
  store_lost_ = true;
  store_back_.reset();
}

void UpstreamDirectory::OnStoreReachable(Time now) {
  if (!store_lost_) return;
  store_lost_ = false;
  store_back_ = now;
}

void UpstreamDirectory::Put(const UpstreamRecord& record) {
  const auto it = records_.find(record.id);
  if (it != records_.end()) {
    // A delayed record of an earlier incarnation.
    if (record.started_ms < it->second.started_ms) return;
    if (it->second.service != record.service) Erase(record.id);
  }
  vanished_.erase(record.id);
  records_[record.id] = record;
  by_service_[record.service].insert(record.id);
}

void UpstreamDirectory::Remove(Time now, const UpstreamId& id) {
  if (records_.count(id) == 0) return;
  const bool around_outage =
      store_lost_ || (store_back_ && now - *store_back_ < restore_time_);
  if (around_outage) {
    vanished_.insert(id);
    return;
  }
  Erase(id);
}

void UpstreamDirectory::ReplaceAll(Time now,
                                   const std::vector<UpstreamRecord>& records) {
  std::set<UpstreamId> listed;
  for (const UpstreamRecord& record : records) {
    Put(record);
    listed.insert(record.id);
  }
  std::vector<UpstreamId> missing;
  for (const auto& [id, record] : records_) {
    if (listed.count(id) == 0) missing.push_back(id);
  }
  for (const UpstreamId& id : missing) Remove(now, id);
}

void UpstreamDirectory::Expire(Time now) {
  if (store_lost_ || vanished_.empty()) return;
  if (store_back_ && now - *store_back_ < restore_time_) return;
  const std::set<UpstreamId> gone = vanished_;
  for (const UpstreamId& id : gone) Erase(id);
}

void UpstreamDirectory::Erase(const UpstreamId& id) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  by_service_[it->second.service].erase(id);
  vanished_.erase(id);
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
