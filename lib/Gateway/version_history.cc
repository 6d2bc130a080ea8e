// Which software versions of a service may have begun a stream that still runs.
#include "corianderlink/Gateway/version_history.h"

#include <algorithm>

namespace corianderlink {

void VersionHistory::Update(Time now, const UpstreamDirectory& directory) {
  if (digest_ != directory.Digest()) ReadRecords(now, directory);
  digest_ = directory.Digest();
  for (auto& [service, versions] : services_) {
    for (auto& [version, period] : versions) {
      if (period.registered) period.last_seen = now;
    }
  }
  Forget(now);
}

void VersionHistory::ReadRecords(Time now, const UpstreamDirectory& directory) {
  for (auto& [service, versions] : services_) {
    for (auto& [version, period] : versions) period.registered = false;
  }
  for (const auto& [id, record] : directory.records()) {
    PeriodOf(now, {record.service, record.version, now}).registered = true;
  }
}

VersionHistory::Period& VersionHistory::PeriodOf(
    Time now, const VersionSighting& sighting) {
  const Period first{now, sighting.last_seen, false};
  return services_[sighting.service]
      .try_emplace(sighting.version, first)
      .first->second;
}

void VersionHistory::OnSighting(Time now, const VersionSighting& sighting) {
  if (now - sighting.last_seen > stream_lifetime_) return;
  Period& period = PeriodOf(now, sighting);
  period.last_seen = std::max(period.last_seen, sighting.last_seen);
}

bool VersionHistory::IsRegistered(const ServiceId& service,
                                  const SoftwareVersion& version) const {
  const auto versions = services_.find(service);
  if (versions == services_.end()) return false;
  const auto period = versions->second.find(version);
  return period != versions->second.end() && period->second.registered;
}

std::set<ServiceId> VersionHistory::MixedServices() const {
  std::set<ServiceId> mixed;
  for (const auto& [service, versions] : services_) {
    if (versions.size() > 1) mixed.insert(service);
  }
  return mixed;
}

void VersionHistory::Forget(Time now) {
  for (auto& [service, versions] : services_) {
    std::erase_if(versions, [&](const auto& entry) {
      return now - entry.second.last_seen > stream_lifetime_;
    });
  }
  std::erase_if(services_,
                [](const auto& entry) { return entry.second.empty(); });
}

std::set<SoftwareVersion> VersionHistory::Possible(
    const ServiceId& service) const {
  return SeenFirstAfter(service, Time::min());
}

std::vector<VersionSighting> VersionHistory::Sightings() const {
  std::vector<VersionSighting> sightings;
  for (const auto& [service, versions] : services_) {
    for (const auto& [version, period] : versions) {
      sightings.push_back({service, version, period.last_seen});
    }
  }
  return sightings;
}

std::set<SoftwareVersion> VersionHistory::SeenFirstAfter(
    const ServiceId& service, Time since) const {
  std::set<SoftwareVersion> found;
  const auto versions = services_.find(service);
  if (versions == services_.end()) return found;
  for (const auto& [version, period] : versions->second) {
    if (period.first_seen > since) found.insert(version);
  }
  return found;
}

}  // namespace corianderlink
