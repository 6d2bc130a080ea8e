// Settings of the processes of one instance.
#include "corianderlink/Node/node_settings.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace corianderlink {
namespace {

constexpr int64_t kHourMs = 3600 * 1000;

Duration Millis(JsonReader& reader, const std::string& key, int64_t low,
                int64_t high, Duration fallback) {
  const int64_t fallback_ms =
      std::chrono::duration_cast<milliseconds>(fallback).count();
  return milliseconds(reader.Integer(key, low, high, fallback_ms));
}

ProcessAddresses ParseAddresses(JsonReader& all, const std::string& key,
                                bool has_callers,
                                std::vector<JsonError>& errors) {
  ProcessAddresses addresses;
  const Json* json = all.Object(key);
  if (json == nullptr) {
    all.Fail(key, "an object with the addresses of this process");
    return addresses;
  }
  JsonReader reader(*json, all.PathOf(key), errors);
  if (has_callers) addresses.listen = reader.RequiredAddress("listen");
  addresses.peer = reader.RequiredAddress("peer");
  addresses.admin = reader.RequiredAddress("admin");
  reader.RejectUnknown();
  return addresses;
}

TimingSettings ParseTiming(const Json& json, const std::string& path,
                           std::vector<JsonError>& errors) {
  TimingSettings t;
  JsonReader r(json, path, errors);
  t.heartbeat = Millis(r, "heartbeat_ms", 10, 10000, t.heartbeat);
  t.peer_timeout = Millis(r, "peer_timeout_ms", 50, 60000, t.peer_timeout);
  t.freshness = Millis(r, "freshness_ms", 500, 60000, t.freshness);
  t.store_poll = Millis(r, "store_poll_ms", 50, 60000, t.store_poll);
  t.instance_poll = Millis(r, "instance_poll_ms", 50, 60000, t.instance_poll);
  t.lease = Millis(r, "lease_ms", 200, kHourMs, t.lease);
  t.lease_guard = Millis(r, "lease_guard_ms", 50, kHourMs, t.lease_guard);
  t.engine_poll = Millis(r, "engine_poll_ms", 20, 60000, t.engine_poll);
  t.engine_report_lag =
      Millis(r, "engine_report_lag_ms", 0, 60000, t.engine_report_lag);
  t.directory_keep =
      Millis(r, "directory_keep_ms", 1000, kHourMs, t.directory_keep);
  if (t.peer_timeout < 2 * t.heartbeat) {
    r.Fail("peer_timeout_ms", "at least twice heartbeat_ms");
  }
  r.RejectUnknown();
  return t;
}

LimitSettings ParseLimits(const Json& json, const std::string& path,
                          std::vector<JsonError>& errors) {
  LimitSettings l;
  JsonReader r(json, path, errors);
  constexpr int64_t kMebibyte = 1024 * 1024;
  l.max_header_bytes =
      r.Integer("max_header_bytes", 1024, kMebibyte, l.max_header_bytes);
  l.max_body_bytes =
      r.Integer("max_body_bytes", 1024, 1024 * kMebibyte, l.max_body_bytes);
  l.max_queued_requests =
      r.Integer("max_queued_requests", 1, 1000000, l.max_queued_requests);
  l.max_stream_backlog_bytes =
      r.Integer("max_stream_backlog_bytes", 4096, 64 * kMebibyte,
                l.max_stream_backlog_bytes);
  r.RejectUnknown();
  return l;
}

RequestSettings ParseRequests(const Json& json, const std::string& path,
                              std::vector<JsonError>& errors) {
  RequestSettings q;
  JsonReader r(json, path, errors);
  q.urgent_deadline =
      Millis(r, "urgent_deadline_ms", 10, kHourMs, q.urgent_deadline);
  q.chat_deadline = Millis(r, "chat_deadline_ms", 10, kHourMs, q.chat_deadline);
  q.bulk_deadline =
      Millis(r, "bulk_deadline_ms", 10, 24 * kHourMs, q.bulk_deadline);
  q.stream_idle = Millis(r, "stream_idle_ms", 100, kHourMs, q.stream_idle);
  q.service_timeout =
      Millis(r, "service_timeout_ms", 10, kHourMs, q.service_timeout);
  q.retry_budget_ratio =
      r.Number("retry_budget_ratio", 0, 1, q.retry_budget_ratio);
  r.RejectUnknown();
  return q;
}

RoleSettings ParseRoles(const Json& json, const std::string& path,
                        std::vector<JsonError>& errors) {
  RoleSettings s;
  JsonReader r(json, path, errors);
  s.change_weight = r.Number("change_weight", 0, 1, s.change_weight);
  s.minimum_dwell = Millis(r, "minimum_dwell_ms", 0, kHourMs, s.minimum_dwell);
  s.horizon = Millis(r, "horizon_ms", 1000, 24 * kHourMs, s.horizon);
  r.RejectUnknown();
  return s;
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
  NodeSettings s;
  JsonReader r(*json, "", errors);
  s.deployment = r.RequiredString("deployment");
  s.instance = r.RequiredString("instance");
  s.zone = ZoneId(r.RequiredString("zone"));
  s.log_level = r.OneOf("log_level", {"info", "debug", "warning", "error"});
  s.peer_key_file = RequiredFile(r, "peer_key_file", directory);
  s.admin_token_file = RequiredFile(r, "admin_token_file", directory);
  s.entry = ParseAddresses(r, "entry", true, errors);
  s.fleet = ParseAddresses(r, "fleet", false, errors);
  if (const Json* platform = r.Object("platform")) {
    JsonReader p(*platform, "/platform", errors);
    s.platform = p.RequiredAddress("address");
    s.platform_timeout = Millis(p, "timeout_ms", 10, 60000, s.platform_timeout);
    p.RejectUnknown();
  } else {
    r.Fail("platform", "an object with the platform's address");
  }
  if (const Json* t = r.Object("timing")) {
    s.timing = ParseTiming(*t, "/timing", errors);
  }
  if (const Json* l = r.Object("limits")) {
    s.limits = ParseLimits(*l, "/limits", errors);
  }
  if (const Json* q = r.Object("requests")) {
    s.requests = ParseRequests(*q, "/requests", errors);
  }
  if (const Json* roles = r.Object("roles")) {
    s.roles = ParseRoles(*roles, "/roles", errors);
  }
  r.RejectUnknown();
  CheckAddressesDiffer(s, errors);
  if (errors.size() > errors_before) return std::nullopt;
  return s;
}

std::optional<NodeSettings> LoadNodeSettings(const std::string& file,
                                             std::vector<std::string>& errors) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    errors.push_back(file + ": expected a readable settings file");
    return std::nullopt;
  }
  std::vector<JsonError> found;
  const std::string directory =
      std::filesystem::path(file).parent_path().string();
  auto settings = ParseNodeSettings(*text, directory, found);
  for (const JsonError& error : found) {
    errors.push_back(file + ": " + error.ToString());
  }
  return settings;
}

}  // namespace corianderlink
