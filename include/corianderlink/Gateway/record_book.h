// The store's records as this gateway last read them.
#ifndef CORIANDERLINK_GATEWAY_RECORD_BOOK_H_
#define CORIANDERLINK_GATEWAY_RECORD_BOOK_H_

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

/// Decodes records, keeps the newest configuration and feeds the directory of
/// upstreams.  Records that cannot be read are logged once each and skipped.
class RecordBook {
 public:
  RecordBook(const RecordCodec& codec, UpstreamDirectory& directory,
             Metrics& metrics)
      : codec_(codec), directory_(directory), metrics_(metrics) {}

  /// Takes records of the configuration's table.  Returns the configuration if
  /// a newer version was among them.
  std::shared_ptr<const GatewayConfig> TakeConfig(
      const std::vector<StoreRecord>& records);
  /// Takes the whole list of upstreams, complete up to `version`.
  void TakeAllUpstreams(Time now, const std::vector<StoreRecord>& records,
                        uint64_t version);
  void TakeUpstreamChanges(Time now, const std::vector<StoreRecord>& records,
                           uint64_t version);
  /// Takes what a peer knows, as far as it is newer.  Returns the
  /// configuration if it is.
  std::shared_ptr<const GatewayConfig> TakePeerRecords(
      Time now, const PeerRecords& records);

  /// What a peer that asks is told.
  PeerRecords ForPeer(bool with_upstreams) const;

  /// True if `status` tells of a newer configuration or newer upstreams.
  bool BehindConfig(const GatewayStatus& status) const;
  bool BehindUpstreams(const GatewayStatus& status) const;

  const std::shared_ptr<const GatewayConfig>& config() const { return config_; }
  uint64_t config_version() const { return config_ ? config_->version : 0; }
  uint64_t upstreams_version() const { return upstreams_version_; }
  /// True once the list of upstreams was read.
  bool upstreams_loaded() const { return upstreams_loaded_; }

 private:
  std::optional<UpstreamRecord> Decode(const StoreRecord& record);
  void TakeChange(Time now, const StoreRecord& record);

  const RecordCodec& codec_;
  UpstreamDirectory& directory_;
  Metrics& metrics_;
  std::shared_ptr<const GatewayConfig> config_;
  std::optional<StoreRecord> config_record_;
  std::map<std::string, StoreRecord> upstream_records_;
  uint64_t upstreams_version_ = 0;
  bool upstreams_loaded_ = false;
  // Reasons already logged for records that cannot be read, by key.
  std::map<std::string, std::string> malformed_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RECORD_BOOK_H_
