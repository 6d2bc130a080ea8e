// Keeps each stream at the software version that began it: what the store keeps
// for a start of all gateways.
//
// Keys and values of the records, with times in Unix milliseconds:
//   versions/SERVICE   [{"service", "version", "last_seen_ms"}, ...]
//   origins/WRITER/N   [{"service", "version", "written_ms", "keys"}, ...]
// A version that is registered was last seen at 0.  Keys are hexadecimal.
#include <algorithm>
#include <utility>

#include "corianderlink/Gateway/prompt.h"
#include "corianderlink/Gateway/stream_versions.h"
#include "corianderlink/Support/json_reader.h"
#include "corianderlink/Support/url_encode.h"

namespace corianderlink {
namespace {

constexpr char kVersionsPrefix[] = "versions/";
constexpr char kOriginsPrefix[] = "origins/";
// Records of origins of one writer; they are used in turn.
constexpr uint64_t kOriginRecords = 256;
// A record with so many origins is full.
constexpr size_t kFullRecord = 100;
constexpr size_t kMaxOriginsPerWrite = 1000;
// The year 2286.
constexpr uint64_t kMaxUnixMs = 10'000'000'000'000;
// Names of services and versions; they go into every heartbeat.
constexpr size_t kMaxNameBytes = 200;

std::string TextMember(const Json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

/// Time since `unix_ms`, which clocks of other instances may show a little
/// later.
Duration AgeOf(const Json& object, const char* name, int64_t unix_now_ms) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_unsigned()) return Duration::max();
  const auto number = it->get<uint64_t>();
  if (number > kMaxUnixMs) return Duration::max();
  const auto unix_ms = static_cast<int64_t>(number);
  if (unix_ms == 0) return Duration::zero();
  constexpr int64_t kMaxAgeMs = 24L * 3600 * 1000;
  return milliseconds(std::clamp(unix_now_ms - unix_ms, int64_t{0}, kMaxAgeMs));
}

}  // namespace

std::optional<StoreRecord> StreamVersions::NextRecord(Time now,
                                                      int64_t unix_now_ms,
                                                      size_t writer) {
  if (writer == 0) {
    auto versions = NextVersionsRecord(now, unix_now_ms);
    if (versions) return versions;
  }
  return NextOriginsRecord(now, unix_now_ms, writer);
}

std::optional<StoreRecord> StreamVersions::NextVersionsRecord(
    Time now, int64_t unix_now_ms) {
  // The record replaces that of another gateway, which may know more.
  if (!is_complete() || KnowledgeAge(now) > kMaxKnowledgeAge) {
    return std::nullopt;
  }
  std::map<ServiceId, RegisteredVersions> versions;
  std::map<ServiceId, Json> values;
  for (const VersionSighting& sighting : history_.Sightings()) {
    const auto& [service, version, last_seen] = sighting;
    const bool registered = history_.IsRegistered(service, version);
    const auto age = std::chrono::duration_cast<milliseconds>(now - last_seen);
    versions[service][version] = registered;
    values[service].push_back(
        {{"service", service.value()},
         {"version", version.value()},
         {"last_seen_ms", registered ? 0 : unix_now_ms - age.count()}});
  }
  for (const auto& [service, registered] : versions) {
    const auto stored = stored_versions_.find(service);
    if (stored != stored_versions_.end() && stored->second == registered) {
      continue;
    }
    written_service_ = service;
    written_versions_ = registered;
    return StoreRecord{kVersionsPrefix + UrlEncode(service.value()),
                       values[service].dump(), 0};
  }
  return std::nullopt;
}

bool StreamVersions::ExtendOpenRecord(const std::set<ServiceId>& mixed) {
  auto fresh = origins_.TakeUnlogged(
      kMaxOriginsPerWrite,
      [&mixed](const ServiceId& service) { return mixed.count(service) > 0; });
  if (fresh.empty()) return false;
  if (!open_record_number_) open_record_number_ = random_.Bits();
  if (open_record_.size() > kFullRecord) {
    open_record_.clear();
    ++*open_record_number_;
  }
  std::move(fresh.begin(), fresh.end(), std::back_inserter(open_record_));
  return true;
}

std::optional<StoreRecord> StreamVersions::NextOriginsRecord(
    Time now, int64_t unix_now_ms, size_t writer) {
  const std::set<ServiceId> mixed = history_.MixedServices();
  if (mixed.empty()) return std::nullopt;
  // A record that was not written is not added to, which bounds its size.
  if (!open_record_failed_ && !ExtendOpenRecord(mixed)) return std::nullopt;
  open_record_failed_ = false;
  std::map<std::pair<ServiceId, SoftwareVersion>, Json> groups;
  for (const StreamOrigin& origin : open_record_) {
    if (now - origin.begun_at > history_.stream_lifetime()) continue;
    groups[{origin.service, origin.version}].push_back(
        FormatPartId(origin.key.value));
  }
  Json value = Json::array();
  for (const auto& [group, keys] : groups) {
    value.push_back({{"service", group.first.value()},
                     {"version", group.second.value()},
                     {"written_ms", unix_now_ms},
                     {"keys", keys}});
  }
  return StoreRecord{kOriginsPrefix + std::to_string(writer) + "/" +
                         std::to_string(*open_record_number_ % kOriginRecords),
                     value.dump(), 0};
}

void StreamVersions::OnRecordWritten(bool written) {
  if (!written_service_) {
    open_record_failed_ |= !written;
    return;
  }
  if (written) stored_versions_[*written_service_] = written_versions_;
  written_service_.reset();
}

void StreamVersions::Restore(Time now, const std::vector<StoreRecord>& records,
                             int64_t unix_now_ms, Time asked_at) {
  for (const StoreRecord& record : records) {
    if (!record.value) continue;
    const Json list = ParseJson(*record.value);
    if (!list.is_array()) continue;
    for (const Json& entry : list) {
      if (entry.is_object()) RestoreEntry(now, entry, unix_now_ms);
    }
  }
  OnHistory(asked_at);
}

void StreamVersions::RestoreEntry(Time now, const Json& entry,
                                  int64_t unix_now_ms) {
  const ServiceId service(TextMember(entry, "service"));
  const SoftwareVersion version(TextMember(entry, "version"));
  const bool is_named = !service.empty() &&
                        service.value().size() <= kMaxNameBytes &&
                        version.value().size() <= kMaxNameBytes;
  if (!is_named) return;
  const auto keys = entry.find("keys");
  if (keys == entry.end()) {
    const Duration age = AgeOf(entry, "last_seen_ms", unix_now_ms);
    if (age > history_.stream_lifetime()) return;
    history_.OnSighting(now, {service, version, now - age});
    return;
  }
  const Duration age = AgeOf(entry, "written_ms", unix_now_ms);
  if (age > history_.stream_lifetime() || !keys->is_array()) return;
  for (const Json& text : *keys) {
    if (!text.is_string()) continue;
    const auto key = ParsePartId(text.get<std::string>());
    if (!key) continue;
    origins_.AddKnown({StreamKey{*key}, service, version, now - age}, true);
  }
}

}  // namespace corianderlink
