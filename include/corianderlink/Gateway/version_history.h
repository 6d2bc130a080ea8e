// Which software versions of a service may have begun a stream that still runs.
#ifndef CORIANDERLINK_GATEWAY_VERSION_HISTORY_H_
#define CORIANDERLINK_GATEWAY_VERSION_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "corianderlink/Gateway/upstream_directory.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// When upstreams of one software version were registered last.
struct VersionSighting {
  ServiceId service;
  SoftwareVersion version;
  Time last_seen{};
};

/// Versions of each service that are registered, or were within the lifetime of
/// a stream.  Later ones are forgotten, which bounds the history.
class VersionHistory {
 public:
  /// No stream lasts longer, over all attempts of its client.
  void SetStreamLifetime(Duration lifetime) { stream_lifetime_ = lifetime; }
  Duration stream_lifetime() const { return stream_lifetime_; }

  /// Takes over the present records of upstreams.
  void Update(Time now, const UpstreamDirectory& directory);
  /// A peer or the store has seen the version.
  void OnSighting(Time now, const VersionSighting& sighting);

  /// Versions at which a stream of the service may have begun.
  std::set<SoftwareVersion> Possible(const ServiceId& service) const;
  /// Services at whose streams several versions are possible.
  std::set<ServiceId> MixedServices() const;
  /// True if an upstream of that version is registered now.
  bool IsRegistered(const ServiceId& service,
                    const SoftwareVersion& version) const;
  /// All sightings, to be passed on.
  std::vector<VersionSighting> Sightings() const;
  /// Versions of the service that were first seen after `since`.
  std::set<SoftwareVersion> SeenFirstAfter(const ServiceId& service,
                                           Time since) const;

 private:
  struct Period {
    Time first_seen{};
    Time last_seen{};
    bool registered = false;
  };

  Period& PeriodOf(Time now, const VersionSighting& sighting);
  void ReadRecords(Time now, const UpstreamDirectory& directory);
  void Forget(Time now);

  Duration stream_lifetime_ = seconds(60);
  std::map<ServiceId, std::map<SoftwareVersion, Period>> services_;
  // Digest of the records that were read last.
  std::optional<uint64_t> digest_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_VERSION_HISTORY_H_
