// Cache of the store's records: the configuration and the upstreams.
#ifndef CORIANDERLINK_GATEWAY_RECORD_CACHE_H_
#define CORIANDERLINK_GATEWAY_RECORD_CACHE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/gateway_peers.h"
#include "corianderlink/Gateway/record_codec.h"
#include "corianderlink/Gateway/record_store.h"
#include "corianderlink/Gateway/upstream_directory.h"
#include "corianderlink/Support/metrics.h"

namespace corianderlink {

/// Decodes the store's records, keeps the newest configuration, updates the
/// directory of upstreams and serves the records to peers.  A malformed record
/// is skipped; a malformed upstream is logged once per key and reason.
class RecordCache {
 public:
  RecordCache(const RecordCodec& codec, UpstreamDirectory& directory,
              Metrics& metrics)
      : codec_(codec), directory_(directory), metrics_(metrics) {}

  /// Applies records of the configuration's table.  Returns the configuration
  /// if it was replaced by a newer version, else null.
  std::shared_ptr<const GatewayConfig> ApplyConfig(
      const std::vector<StoreRecord>& records);
  /// Replaces all upstreams with the records of a full read, complete up to
  /// `position` of the store.
  void ReplaceUpstreams(Time now, const std::vector<StoreRecord>& records,
                        StorePosition position);
  /// Applies records of upstreams that changed or were removed up to `position`
  /// of the store.
  void ApplyUpstreamChanges(Time now, const std::vector<StoreRecord>& records,
                            StorePosition position);
  /// Applies a peer's records as far as they are newer: its whole list if that
  /// is complete up to a later position, else single later records.  Returns
  /// the configuration if it was replaced, else null.
  std::shared_ptr<const GatewayConfig> ApplyPeerRecords(
      Time now, const PeerRecords& records);

  /// Records to send to a peer: the latest that are known, which a restored
  /// store may lack.
  PeerRecords RecordsForPeer(bool with_upstreams) const;

  /// True if a peer with this status has a newer configuration.
  bool IsConfigBehind(const GatewayStatus& status) const;
  /// True if a peer with this status has newer upstreams, or if this gateway
  /// has not read any yet.
  bool AreUpstreamsBehind(const GatewayStatus& status) const;

  const std::shared_ptr<const GatewayConfig>& config() const { return config_; }
  uint64_t config_version() const { return config_ ? config_->version : 0; }
  StorePosition upstreams_position() const { return upstreams_position_; }
  /// True once the upstreams have been read in full.
  bool upstreams_loaded() const { return upstreams_loaded_; }

 private:
  std::optional<UpstreamRecord> DecodeUpstreamRecord(const StoreRecord& record);
  void ApplyUpstreamChange(Time now, const StoreRecord& record,
                           StorePosition position);
  /// Applies single records of a peer whose list is not newer as a whole.
  void MergeUpstreams(const PeerRecords& records);
  void DropRowsOfGoneUpstreams();
  /// Keeps the row of an upstream if the directory has taken its record over.
  void KeepIfInForce(const StoreRecord& row, const UpstreamRecord& upstream);

  const RecordCodec& codec_;
  UpstreamDirectory& directory_;
  Metrics& metrics_;
  std::shared_ptr<const GatewayConfig> config_;
  // The rows of the records in force, to be passed on to peers.
  std::optional<StoreRecord> stored_config_;
  std::map<std::string, StoreRecord> stored_upstreams_;
  StorePosition upstreams_position_;
  bool upstreams_loaded_ = false;
  // Last reason logged for each malformed upstream record, by key.
  std::map<std::string, std::string> logged_reasons_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RECORD_CACHE_H_
