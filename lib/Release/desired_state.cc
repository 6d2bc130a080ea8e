// The desired state and the application of release notes to it.
#include "corianderlink/Release/desired_state.h"

#include <utility>

namespace corianderlink {
namespace {

template <typename Map>
void AddItems(const std::string& kind, const Map& added, Map& items,
              std::vector<JsonError>& errors) {
  for (const auto& [id, spec] : added) {
    if (items.emplace(id, spec).second) continue;
    errors.push_back({"/added/" + kind + "/" + id.value(),
                      "a new name; an item of this name exists"});
  }
}

template <typename Map>
void ChangeItems(const std::string& kind, const Map& changed, Map& items,
                 std::vector<JsonError>& errors) {
  for (const auto& [id, spec] : changed) {
    const auto it = items.find(id);
    if (it == items.end()) {
      errors.push_back({"/changed/" + kind + "/" + id.value(),
                        "the name of an existing item"});
      continue;
    }
    it->second = spec;
  }
}

template <typename Map>
void WithdrawItems(const std::string& kind, const std::set<std::string>& keys,
                   Map& items, std::vector<JsonError>& errors) {
  const std::string prefix = kind + "/";
  for (const std::string& key : keys) {
    if (key.compare(0, prefix.size(), prefix) != 0) continue;
    using Id = typename Map::key_type;
    if (items.erase(Id(key.substr(prefix.size()))) > 0) continue;
    errors.push_back({"/withdrawn/" + key, "the name of an existing item"});
  }
}

template <typename Map>
void ApplyKind(const std::string& kind, const ReleaseNote& note,
               const Map& added, const Map& changed, Map& items,
               std::vector<JsonError>& errors) {
  WithdrawItems(kind, note.withdrawn, items, errors);
  ChangeItems(kind, changed, items, errors);
  AddItems(kind, added, items, errors);
}

}  // namespace

Json ToJson(const DesiredState& state) {
  Json last_changes = Json::object();
  for (const auto& [key, change] : state.last_changes) {
    last_changes[key] = {{"revision", change.revision},
                         {"note", change.note.value()}};
  }
  return {{"revision", state.revision},
          {"items", ToJson(state.items)},
          {"marks", last_changes}};
}

std::optional<DesiredState> ParseDesiredState(const std::string& text,
                                              std::string& reason) {
  const std::optional<Json> json = ParseJsonWithComments(text, reason);
  if (!json) return std::nullopt;
  std::vector<JsonError> errors;
  DesiredState state;
  JsonReader reader(*json, "", errors);
  state.revision =
      static_cast<Revision>(reader.Integer("revision", 0, int64_t{1} << 53));
  if (const Json* items = reader.Object("items")) {
    state.items = ParseItems(*items, "/items", errors);
  }
  if (const Json* last_changes = reader.Object("marks")) {
    for (const auto& [key, value] : last_changes->items()) {
      JsonReader change(value, "/marks/" + key, errors);
      state.last_changes[key] = {static_cast<Revision>(change.Integer(
                                     "revision", 0, int64_t{1} << 53)),
                                 NoteId(change.RequiredString("note"))};
    }
  }
  reader.RejectUnknown();
  if (errors.empty()) return state;
  reason = errors.front().ToString();
  return std::nullopt;
}

std::vector<NoteConflict> FindConflicts(const DesiredState& state,
                                        const ReleaseNote& note) {
  std::vector<NoteConflict> conflicts;
  for (const std::string& key : note.ItemKeys()) {
    const auto it = state.last_changes.find(key);
    if (it == state.last_changes.end()) continue;
    if (it->second.revision <= note.base_revision) continue;
    conflicts.push_back({key, it->second.note, it->second.revision});
  }
  return conflicts;
}

std::optional<DesiredState> ApplyNote(const DesiredState& state,
                                      const ReleaseNote& note,
                                      std::vector<JsonError>& errors) {
  const size_t errors_before = errors.size();
  DesiredState next = state;
  next.revision = state.revision + 1;
  Items& items = next.items;
  ApplyKind("models", note, note.added.models, note.changed.models,
            items.models, errors);
  ApplyKind("adapters", note, note.added.adapters, note.changed.adapters,
            items.adapters, errors);
  ApplyKind("engines", note, note.added.engines, note.changed.engines,
            items.engines, errors);
  ApplyKind("services", note, note.added.services, note.changed.services,
            items.services, errors);
  ApplyKind("accounts", note, note.added.accounts, note.changed.accounts,
            items.accounts, errors);
  CheckReferences(items, errors);
  if (errors.size() > errors_before) return std::nullopt;
  for (const std::string& key : note.ItemKeys()) {
    next.last_changes[key] = {next.revision, note.id};
  }
  return next;
}

}  // namespace corianderlink
