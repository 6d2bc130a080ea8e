// Settings of the entry and fleet processes of one instance.
#include "corianderlink/Node/node_settings.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace corianderlink {
namespace {

constexpr int64_t kHourMs = 3600 * 1000;

Duration ParseMillis(JsonReader& reader, const std::string& key, int64_t low,
                     int64_t high, Duration fallback) {
  const int64_t fallback_ms =
      std::chrono::duration_cast<milliseconds>(fallback).count();
  return milliseconds(reader.Integer(key, low, high, fallback_ms));
}

ProcessAddresses ParseAddresses(JsonReader& parent, const std::string& key,
                                bool has_clients,
                                std::vector<JsonError>& errors) {
  ProcessAddresses addresses;
  const Json* json = parent.Object(key);
  if (json == nullptr) {
    parent.Fail(key, "an object with the addresses of this process");
    return addresses;
  }
  JsonReader reader(*json, parent.PathOf(key), errors);
  if (has_clients) addresses.listen = reader.RequiredAddress("listen");
  addresses.peer = reader.RequiredAddress("peer");
  addresses.admin = reader.RequiredAddress("admin");
  reader.RejectUnknown();
  return addresses;
}

TimingSettings ParseTiming(const Json& json, const std::string& path,
                           std::vector<JsonError>& errors) {
  TimingSettings timing;
  JsonReader reader(json, path, errors);
  timing.heartbeat =
      ParseMillis(reader, "heartbeat_ms", 10, 10000, timing.heartbeat);
  timing.peer_timeout =
      ParseMillis(reader, "peer_timeout_ms", 50, 60000, timing.peer_timeout);
  timing.freshness =
      ParseMillis(reader, "freshness_ms", 500, 60000, timing.freshness);
  timing.store_poll =
      ParseMillis(reader, "store_poll_ms", 50, 60000, timing.store_poll);
  timing.instance_poll =
      ParseMillis(reader, "instance_poll_ms", 50, 60000, timing.instance_poll);
  timing.lease = ParseMillis(reader, "lease_ms", 200, kHourMs, timing.lease);
  timing.lease_guard =
      ParseMillis(reader, "lease_guard_ms", 50, kHourMs, timing.lease_guard);
  timing.engine_poll =
      ParseMillis(reader, "engine_poll_ms", 20, 60000, timing.engine_poll);
  timing.engine_report_lag = ParseMillis(reader, "engine_report_lag_ms", 0,
                                         60000, timing.engine_report_lag);
  timing.directory_keep = ParseMillis(reader, "directory_keep_ms", 1000,
                                      kHourMs, timing.directory_keep);
  if (timing.peer_timeout < 2 * timing.heartbeat) {
    reader.Fail("peer_timeout_ms", "at least twice heartbeat_ms");
  }
  reader.RejectUnknown();
  return timing;
}

LimitSettings ParseLimits(const Json& json, const std::string& path,
                          std::vector<JsonError>& errors) {
  LimitSettings limits;
  JsonReader reader(json, path, errors);
  constexpr int64_t kMebibyte = 1024 * 1024;
  limits.max_header_bytes = reader.Integer("max_header_bytes", 1024, kMebibyte,
                                           limits.max_header_bytes);
  limits.max_body_bytes = reader.Integer(
      "max_body_bytes", 1024, 1024 * kMebibyte, limits.max_body_bytes);
  limits.max_queued_requests = reader.Integer("max_queued_requests", 1, 1000000,
                                              limits.max_queued_requests);
  limits.memory_mb = reader.Integer("memory_mb", 32, 1 << 20, limits.memory_mb);
  limits.max_descriptors = reader.Integer("max_descriptors", 256, 10'000'000,
                                          limits.max_descriptors);
  limits.max_stream_backlog_bytes =
      reader.Integer("max_stream_backlog_bytes", 4096, 64 * kMebibyte,
                     limits.max_stream_backlog_bytes);
  reader.RejectUnknown();
  return limits;
}

RequestSettings ParseRequests(const Json& json, const std::string& path,
                              std::vector<JsonError>& errors) {
  RequestSettings requests;
  JsonReader reader(json, path, errors);
  requests.urgent_deadline = ParseMillis(reader, "urgent_deadline_ms", 10,
                                         kHourMs, requests.urgent_deadline);
  requests.chat_deadline = ParseMillis(reader, "chat_deadline_ms", 10, kHourMs,
                                       requests.chat_deadline);
  requests.bulk_deadline = ParseMillis(reader, "bulk_deadline_ms", 10,
                                       24 * kHourMs, requests.bulk_deadline);
  requests.stream_idle =
      ParseMillis(reader, "stream_idle_ms", 100, kHourMs, requests.stream_idle);
  requests.service_timeout = ParseMillis(reader, "service_timeout_ms", 10,
                                         kHourMs, requests.service_timeout);
  requests.retry_budget_ratio =
      reader.Number("retry_budget_ratio", 0, 1, requests.retry_budget_ratio);
  reader.RejectUnknown();
  return requests;
}

RoleSettings ParseRoles(const Json& json, const std::string& path,
                        std::vector<JsonError>& errors) {
  RoleSettings roles;
  JsonReader reader(json, path, errors);
  roles.change_weight =
      reader.Number("change_weight", 0, 1, roles.change_weight);
  roles.minimum_dwell =
      ParseMillis(reader, "minimum_dwell_ms", 0, kHourMs, roles.minimum_dwell);
  roles.horizon =
      ParseMillis(reader, "horizon_ms", 1000, 24 * kHourMs, roles.horizon);
  reader.RejectUnknown();
  return roles;
}

std::string RequiredFile(JsonReader& reader, const std::string& key,
                         const std::string& directory) {
  const std::string name = reader.RequiredString(key);
  if (name.empty()) return {};
  const std::filesystem::path path =
      std::filesystem::path(directory) / std::filesystem::path(name);
  if (!ReadFile(path.string())) {
    reader.Fail(key, "a readable file, not " + path.string());
  }
  return path.string();
}

void CheckAddressesDiffer(const NodeSettings& settings,
                          std::vector<JsonError>& errors) {
  std::set<Address> seen;
  const std::pair<const char*, Address> all[] = {
      {"/entry/listen", settings.entry.listen},
      {"/entry/peer", settings.entry.peer},
      {"/entry/admin", settings.entry.admin},
      {"/fleet/peer", settings.fleet.peer},
      {"/fleet/admin", settings.fleet.admin}};
  for (const auto& [path, address] : all) {
    if (address.port == 0 || seen.insert(address).second) continue;
    errors.push_back({path, "an address that no other setting uses"});
  }
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<NodeSettings> ParseNodeSettings(const std::string& text,
                                              const std::string& directory,
                                              std::vector<JsonError>& errors) {
  std::string reason;
  const std::optional<Json> json = ParseJsonWithComments(text, reason);
  if (!json) {
    errors.push_back({"", "JSON with comments (" + reason + ")"});
    return std::nullopt;
  }
  const size_t errors_before = errors.size();
  NodeSettings settings;
  JsonReader reader(*json, "", errors);
  settings.deployment = reader.RequiredString("deployment");
  settings.instance = reader.RequiredString("instance");
  settings.zone = ZoneId(reader.RequiredString("zone"));
  settings.log_level =
      reader.OneOf("log_level", {"info", "debug", "warning", "error"});
  settings.peer_key_file = RequiredFile(reader, "peer_key_file", directory);
  settings.admin_token_file =
      RequiredFile(reader, "admin_token_file", directory);
  settings.entry = ParseAddresses(reader, "entry", true, errors);
  settings.fleet = ParseAddresses(reader, "fleet", false, errors);
  if (const Json* platform = reader.Object("platform")) {
    JsonReader platform_reader(*platform, "/platform", errors);
    settings.platform = platform_reader.RequiredAddress("address");
    settings.platform_timeout = ParseMillis(platform_reader, "timeout_ms", 10,
                                            60000, settings.platform_timeout);
    platform_reader.RejectUnknown();
  } else {
    reader.Fail("platform", "an object with the platform's address");
  }
  if (const Json* timing = reader.Object("timing")) {
    settings.timing = ParseTiming(*timing, "/timing", errors);
  }
  if (const Json* limits = reader.Object("limits")) {
    settings.limits = ParseLimits(*limits, "/limits", errors);
  }
  if (const Json* requests = reader.Object("requests")) {
    settings.requests = ParseRequests(*requests, "/requests", errors);
  }
  if (const Json* roles = reader.Object("roles")) {
    settings.roles = ParseRoles(*roles, "/roles", errors);
  }
  reader.RejectUnknown();
  CheckAddressesDiffer(settings, errors);
  if (errors.size() > errors_before) return std::nullopt;
  return settings;
}

std::optional<NodeSettings> LoadNodeSettings(const std::string& file,
                                             std::vector<std::string>& errors) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    errors.push_back(file + ": expected a readable settings file");
    return std::nullopt;
  }
  std::vector<JsonError> parse_errors;
  const std::string directory =
      std::filesystem::path(file).parent_path().string();
  auto settings = ParseNodeSettings(*text, directory, parse_errors);
  for (const JsonError& error : parse_errors) {
    errors.push_back(file + ": " + error.ToString());
  }
  return settings;
}

}  // namespace corianderlink
