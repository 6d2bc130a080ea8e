// Names and formats of the store's records, supplied by the platform adapter.
#ifndef CORIANDERLINK_GATEWAY_RECORD_CODEC_H_
#define CORIANDERLINK_GATEWAY_RECORD_CODEC_H_

#include <functional>
#include <optional>
#include <string>

#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/upstream_record.h"

namespace corianderlink {

/// Names of the store's tables and decoders of their records.  A decoder
/// returns nothing and sets `reason` if a record is malformed.
struct RecordCodec {
  std::string config_table;
  std::string config_key;
  std::string upstream_table;
  /// Table in which gateways register themselves; not part of the platform.
  std::string gateway_table;
  /// Table of the parts of prompts that crash engines; not part of the
  /// platform.
  std::string quarantine_table;
  /// Table of software versions and of the origins of streams; not part of the
  /// platform.
  std::string stream_table;
  std::function<std::optional<GatewayConfig>(const std::string& value,
                                             std::string& reason)>
      decode_config;
  std::function<std::optional<UpstreamRecord>(
      const std::string& key, const std::string& value, std::string& reason)>
      decode_upstream;
};

/// Request path and response format of the directory, which tells clients the
/// addresses of gateways.
struct DirectoryCodec {
  std::string path;
  /// Encodes the addresses and the time for which clients may cache them.
  std::function<std::string(const std::vector<Address>&, Duration ttl)>
      encode_response;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RECORD_CODEC_H_
