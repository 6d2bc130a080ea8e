// Settings of a gateway process, read from JSON with comments.
#include "corianderlink/Gateway/gateway_settings.h"

#include <fstream>
#include <sstream>

#include "corianderlink/Support/json_reader.h"

namespace corianderlink {
namespace {

// Upper limit of all durations in the settings: one day.
constexpr double kMaxDurationSeconds = 86400;

Duration ReadSeconds(JsonReader& reader, const std::string& key,
                     Duration fallback) {
  return FromSeconds(
      reader.Number(key, 0.001, kMaxDurationSeconds, ToSeconds(fallback)));
}

void ReadListen(JsonReader& root, GatewaySettings& settings,
                std::vector<JsonError>& errors) {
  const Json* json = root.Object("listen");
  if (json == nullptr) {
    root.Fail("listen", "an object with the addresses of this process");
    return;
  }
  JsonReader reader(*json, root.PathOf("listen"), errors);
  settings.front = reader.RequiredAddress("front");
  settings.ready = reader.RequiredAddress("ready");
  settings.directory = reader.RequiredAddress("directory");
  settings.peer = reader.RequiredAddress("peer");
  settings.admin = reader.RequiredAddress("admin");
  if (json->contains("forward")) {
    settings.forward = reader.RequiredAddress("forward");
  }
  reader.RejectUnknown();
}

void ReadRetries(JsonReader& root, GatewaySettings& settings,
                 std::vector<JsonError>& errors) {
  const Json* json = root.Object("retries");
  if (json == nullptr) return;
  JsonReader reader(*json, root.PathOf("retries"), errors);
  RetryLimits& retries = settings.retries;
  retries.ratio = reader.Number("ratio", 0, 10, retries.ratio);
  retries.slack = reader.Number("slack", 0, 1e6, retries.slack);
  retries.window = ReadSeconds(reader, "window_s", retries.window);
  reader.RejectUnknown();
}

}  // namespace

std::optional<GatewaySettings> ParseGatewaySettings(
    const std::string& text, std::vector<std::string>& errors) {
  std::string reason;
  const std::optional<Json> json = ParseJsonWithComments(text, reason);
  if (!json || !json->is_object()) {
    errors.push_back("settings: " +
                     (reason.empty() ? "expected an object" : reason));
    return std::nullopt;
  }
  GatewaySettings settings;
  std::vector<JsonError> json_errors;
  JsonReader reader(*json, "", json_errors);
  settings.instance = reader.RequiredString("instance");
  settings.zone = ZoneId(reader.RequiredString("availability_zone"));
  ReadListen(reader, settings, json_errors);
  settings.store = reader.RequiredAddress("store");
  settings.log_level =
      reader.OneOf("log_level", {"info", "debug", "warning", "error"});
  settings.max_descriptors = static_cast<int>(reader.Integer(
      "max_descriptors", 64, 10000000, settings.max_descriptors));
  settings.stop_grace =
      ReadSeconds(reader, "stop_grace_s", settings.stop_grace);
  settings.directory_ttl_max =
      ReadSeconds(reader, "directory_ttl_max_s", settings.directory_ttl_max);
  settings.lease = ReadSeconds(reader, "lease_s", settings.lease);
  constexpr int64_t kBytesPerMb = 1024 * 1024;
  settings.memory_bytes = static_cast<size_t>(
      kBytesPerMb * reader.Integer("memory_mb", 16, 1 << 20,
                                   static_cast<int64_t>(settings.memory_bytes) /
                                       kBytesPerMb));
  settings.initial_start =
      reader.Boolean("initial_start", settings.initial_start);
  ReadRetries(reader, settings, json_errors);
  reader.RejectUnknown();
  for (const JsonError& error : json_errors) errors.push_back(error.ToString());
  if (!json_errors.empty()) return std::nullopt;
  return settings;
}

std::optional<GatewaySettings> LoadGatewaySettings(
    const std::string& path, std::vector<std::string>& errors) {
  std::ifstream file(path);
  if (!file) {
    errors.push_back(path + ": cannot open the settings file");
    return std::nullopt;
  }
  std::ostringstream contents;
  contents << file.rdbuf();
  return ParseGatewaySettings(contents.str(), errors);
}

}  // namespace corianderlink
