// Upstreams that may be used, from the platform's list.
//
// The list loses records while the store is away, and live upstreams restore
// theirs soon after its return.  A record that vanishes around an outage is
// therefore kept until that time has passed.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_DIRECTORY_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

class UpstreamDirectory {
 public:
  /// A record that vanished is kept until `restore_time` after the store's
  /// return.
  explicit UpstreamDirectory(Duration restore_time)
      : restore_time_(restore_time) {}

  /// The store stopped answering.
  void OnStoreUnreachable();
  /// The store answers again.
  void OnStoreReachable(Time now);

  void Put(const UpstreamRecord& record);
  void Remove(Time now, const UpstreamId& id);
  /// The whole list was read again.
  void ReplaceAll(Time now, const std::vector<UpstreamRecord>& records);
  /// Drops vanished records whose time has passed.
  void Expire(Time now);

  const UpstreamRecord* Find(const UpstreamId& id) const;
  /// Upstreams of a service that take new work.
  std::vector<const UpstreamRecord*> Usable(const ServiceId& service) const;
  /// Addresses of all upstreams.
  std::set<Address> Addresses() const;
  const std::map<UpstreamId, UpstreamRecord>& records() const {
    return records_;
  }

 private:
  void Erase(const UpstreamId& id);

  const Duration restore_time_;
  std::map<UpstreamId, UpstreamRecord> records_;
  std::map<ServiceId, std::set<UpstreamId>> by_service_;
  std::set<UpstreamId> vanished_;
  bool store_lost_ = false;
  std::optional<Time> store_back_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_DIRECTORY_H_
