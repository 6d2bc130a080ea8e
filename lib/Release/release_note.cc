// Parses, checks and serializes release notes.
#include "corianderlink/Release/release_note.h"

#include <map>
#include <utility>

namespace corianderlink {
namespace {

constexpr int64_t kMaxRevision = int64_t{1} << 53;
constexpr size_t kMaxIdBytes = 128;
const char* const kItemKinds[] = {"models", "adapters", "engines", "services",
                                  "accounts"};

void ParseWithdrawn(const Json& json, const std::string& path,
                    std::set<std::string>& withdrawn,
                    std::vector<JsonError>& errors) {
  JsonReader reader(json, path, errors);
  for (const char* kind : kItemKinds) {
    for (const std::string& name : reader.Strings(kind)) {
      withdrawn.insert(std::string(kind) + "/" + name);
    }
  }
  reader.RejectUnknown();
}

void CheckItemsAreUnique(const ReleaseNote& note,
                         std::vector<JsonError>& errors) {
  std::map<std::string, std::string> section_of;
  const auto add_key = [&](const std::string& key, const std::string& section) {
    const auto [it, inserted] = section_of.emplace(key, section);
    if (inserted) return;
    errors.push_back(
        {"/" + section + "/" + key,
         "an item in one section only; it is also in " + it->second});
  };
  for (const std::string& key : note.added.Keys()) add_key(key, "added");
  for (const std::string& key : note.changed.Keys()) add_key(key, "changed");
  for (const std::string& key : note.withdrawn) add_key(key, "withdrawn");
  if (section_of.empty()) errors.push_back({"", "at least one item"});
}

}  // namespace

std::set<std::string> ReleaseNote::ItemKeys() const {
  std::set<std::string> keys = withdrawn;
  for (std::string& key : added.Keys()) keys.insert(std::move(key));
  for (std::string& key : changed.Keys()) keys.insert(std::move(key));
  return keys;
}

std::optional<ReleaseNote> ParseReleaseNote(const std::string& text,
                                            std::vector<JsonError>& errors) {
  std::string reason;
  const std::optional<Json> json = ParseJsonWithComments(text, reason);
  if (!json) {
    errors.push_back({"", "JSON with comments (" + reason + ")"});
    return std::nullopt;
  }
  const size_t errors_before = errors.size();
  ReleaseNote note;
  JsonReader reader(*json, "", errors);
  note.id = NoteId(reader.RequiredString("id"));
  const bool bad_id = note.id.value().size() > kMaxIdBytes ||
                      note.id.value().find('/') != std::string::npos;
  if (bad_id) reader.Fail("id", "at most 128 bytes without '/'");
  note.base_revision =
      static_cast<Revision>(reader.Integer("base_revision", 0, kMaxRevision));
  if (const Json* added = reader.Object("added")) {
    note.added = ParseItems(*added, "/added", errors);
  }
  if (const Json* changed = reader.Object("changed")) {
    note.changed = ParseItems(*changed, "/changed", errors);
  }
  if (const Json* withdrawn = reader.Object("withdrawn")) {
    ParseWithdrawn(*withdrawn, "/withdrawn", note.withdrawn, errors);
  }
  reader.RejectUnknown();
  CheckItemsAreUnique(note, errors);
  if (errors.size() > errors_before) return std::nullopt;
  return note;
}

Json ToJson(const ReleaseNote& note) {
  Json withdrawn = Json::object();
  for (const std::string& key : note.withdrawn) {
    const size_t slash = key.find('/');
    withdrawn[key.substr(0, slash)].push_back(key.substr(slash + 1));
  }
  return {{"id", note.id.value()},
          {"base_revision", note.base_revision},
          {"added", ToJson(note.added)},
          {"changed", ToJson(note.changed)},
          {"withdrawn", withdrawn}};
}

}  // namespace corianderlink
