// Decoding of the store's records, supplied by the platform's adapter.
#ifndef CORIANDERLINK_GATEWAY_RECORD_CODEC_H_
#define CORIANDERLINK_GATEWAY_RECORD_CODEC_H_

#include <functional>
#include <optional>
#include <string>

#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/upstream_record.h"

namespace corianderlink {

/// Names of the store's tables, and how to read their records.  A record that
/// cannot be read gives nothing and a reason.
struct RecordCodec {
  std::string config_table;
  std::string config_key;
  std::string upstream_table;
  /// This project's own table of gateways.
  std::string gateway_table;
  std::function<std::optional<GatewayConfig>(const std::string& value,
                                             std::string& reason)>
      decode_config;
  std::function<std::optional<UpstreamRecord>(
      const std::string& key, const std::string& value, std::string& reason)>
      decode_upstream;
};

/// The directory's question and answer.
struct DirectoryCodec {
  std::string path;
  std::function<std::string(const std::vector<Address>&, Duration ttl)>
      encode_answer;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RECORD_CODEC_H_
