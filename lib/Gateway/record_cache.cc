// Cache of the store's records: the configuration and the upstreams.
#include "corianderlink/Gateway/record_cache.h"

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Bounds the memory for malformed records; beyond it, reasons are logged again.
constexpr size_t kMaxLoggedReasons = 1000;

// A record that was read from the store belongs to the era of the read, one
// that a peer passed on to the era in which it was read first.
StoreRecord WithEra(StoreRecord record, StorePosition position) {
  if (record.era == 0) record.era = position.era;
  return record;
}

}  // namespace

std::shared_ptr<const GatewayConfig> RecordCache::ApplyConfig(
    const std::vector<StoreRecord>& records) {
  std::shared_ptr<const GatewayConfig> new_config;
  for (const StoreRecord& record : records) {
    if (record.key != codec_.config_key || !record.value) continue;
    std::string reason;
    const auto config = codec_.decode_config(*record.value, reason);
    if (!config) {
      Log(LogLevel::kError, "config_malformed",
          {{"store_version", record.version}, {"reason", reason}});
      continue;
    }
    if (config_ && config->version <= config_->version) continue;
    stored_config_ = record;
    config_ = std::make_shared<const GatewayConfig>(*config);
    new_config = config_;
  }
  return new_config;
}

std::optional<UpstreamRecord> RecordCache::DecodeUpstreamRecord(
    const StoreRecord& record) {
  std::string reason;
  auto upstream = codec_.decode_upstream(record.key, *record.value, reason);
  if (upstream) {
    upstream->written_at = {record.era, record.version};
    logged_reasons_.erase(record.key);
    return upstream;
  }
  metrics_.Add("gateway_malformed_records_total");
  if (logged_reasons_.size() > kMaxLoggedReasons) logged_reasons_.clear();
  std::string& logged = logged_reasons_[record.key];
  if (logged != reason) {
    Log(LogLevel::kWarning, "upstream_record_malformed",
        {{"key", record.key}, {"reason", reason}});
    logged = reason;
  }
  return std::nullopt;
}

void RecordCache::ReplaceUpstreams(Time now,
                                   const std::vector<StoreRecord>& records,
                                   StorePosition position) {
  // A peer may be the first to tell of a restore of the store.
  if (upstreams_loaded_ && position.era > upstreams_position_.era) {
    directory_.OnStoreRestored(now);
  }
  std::vector<UpstreamRecord> upstreams;
  std::vector<StoreRecord> rows;
  for (const StoreRecord& record : records) {
    if (!record.value) continue;
    const StoreRecord row = WithEra(record, position);
    const auto upstream = DecodeUpstreamRecord(row);
    if (!upstream) continue;
    upstreams.push_back(*upstream);
    rows.push_back(row);
  }
  upstreams_loaded_ = true;
  upstreams_position_ = position;
  Log(LogLevel::kInfo, "upstreams_read",
      {{"count", static_cast<uint64_t>(upstreams.size())},
       {"store_era", position.era},
       {"store_version", position.version}});
  directory_.ReplaceAll(now, upstreams, position);
  for (size_t i = 0; i < rows.size(); ++i) KeepIfInForce(rows[i], upstreams[i]);
  DropRowsOfGoneUpstreams();
}

void RecordCache::DropRowsOfGoneUpstreams() {
  std::erase_if(stored_upstreams_, [this](const auto& entry) {
    return directory_.Find(UpstreamId(entry.first)) == nullptr;
  });
}

void RecordCache::KeepIfInForce(const StoreRecord& row,
                                const UpstreamRecord& upstream) {
  const UpstreamRecord* in_force = directory_.Find(upstream.id);
  if (in_force == nullptr || *in_force != upstream) return;
  stored_upstreams_[row.key] = row;
}

void RecordCache::ApplyUpstreamChanges(Time now,
                                       const std::vector<StoreRecord>& records,
                                       StorePosition position) {
  upstreams_position_ = position;
  for (const StoreRecord& record : records) {
    ApplyUpstreamChange(now, WithEra(record, position), position);
  }
  DropRowsOfGoneUpstreams();
}

void RecordCache::ApplyUpstreamChange(Time now, const StoreRecord& record,
                                      StorePosition position) {
  if (!record.value) {
    Log(LogLevel::kInfo, "upstream_gone",
        {{"upstream", record.key}, {"store_version", record.version}});
    directory_.Remove(now, UpstreamId(record.key), position);
    return;
  }
  const auto upstream = DecodeUpstreamRecord(record);
  if (!upstream) return;
  const UpstreamRecord* previous = directory_.Find(upstream->id);
  if (previous == nullptr || !(*previous == *upstream)) {
    Log(LogLevel::kInfo, "upstream_changed",
        {{"upstream", record.key},
         {"address", upstream->address.ToString()},
         {"draining", upstream->draining ? "yes" : "no"},
         {"version", upstream->version.value()},
         {"store_version", record.version}});
  }
  directory_.Put(*upstream);
  KeepIfInForce(record, *upstream);
}

void RecordCache::MergeUpstreams(const PeerRecords& records) {
  for (const StoreRecord& record : records.upstreams) {
    if (!record.value) continue;
    const StoreRecord row = WithEra(record, records.upstreams_position);
    const auto upstream = DecodeUpstreamRecord(row);
    if (!upstream) continue;
    directory_.Merge(*upstream);
    KeepIfInForce(row, *upstream);
  }
}

PeerRecords RecordCache::RecordsForPeer(bool with_upstreams) const {
  PeerRecords records;
  records.config = stored_config_;
  records.upstreams_position = upstreams_position_;
  if (!with_upstreams) return records;
  for (const auto& [key, record] : stored_upstreams_) {
    if (directory_.Find(UpstreamId(key)) == nullptr) continue;
    records.upstreams.push_back(record);
  }
  records.departures = directory_.Departures();
  return records;
}

std::shared_ptr<const GatewayConfig> RecordCache::ApplyPeerRecords(
    Time now, const PeerRecords& records) {
  std::shared_ptr<const GatewayConfig> new_config;
  if (records.config) new_config = ApplyConfig({*records.config});
  const bool newer_upstreams =
      !upstreams_loaded_ || records.upstreams_position > upstreams_position_;
  if (newer_upstreams && !records.upstreams.empty()) {
    Log(LogLevel::kInfo, "upstreams_from_peer",
        {{"era", records.upstreams_position.era},
         {"version", records.upstreams_position.version},
         {"before", upstreams_position_.version}});
    ReplaceUpstreams(now, records.upstreams, records.upstreams_position);
  } else {
    MergeUpstreams(records);
  }
  for (const UpstreamDeparture& departure : records.departures) {
    directory_.MergeDeparture(departure);
  }
  return new_config;
}

bool RecordCache::IsConfigBehind(const GatewayStatus& status) const {
  return status.config_version > config_version();
}

bool RecordCache::AreUpstreamsBehind(const GatewayStatus& status) const {
  return !upstreams_loaded_ || status.upstreams_position > upstreams_position_;
}

}  // namespace corianderlink
