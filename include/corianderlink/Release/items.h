// The items declared in release notes, by kind and name.
#ifndef CORIANDERLINK_RELEASE_ITEMS_H_
#define CORIANDERLINK_RELEASE_ITEMS_H_

#include <map>
#include <string>
#include <vector>

#include "corianderlink/Release/specs.h"
#include "corianderlink/Support/json_reader.h"

namespace corianderlink {

/// Declared items of all kinds.
struct Items {
  std::map<ModelId, ModelSpec> models;
  std::map<AdapterId, AdapterSpec> adapters;
  std::map<EngineId, EngineSpec> engines;
  std::map<ServiceId, ServiceSpec> services;
  std::map<AccountId, AccountSpec> accounts;

  bool operator==(const Items&) const = default;
  /// Item keys such as "engines/e1", grouped by kind and sorted within a kind.
  std::vector<std::string> Keys() const;
};

/// Parses items from `json`.  Appends errors, whose paths start with `path`.
Items ParseItems(const Json& json, const std::string& path,
                 std::vector<JsonError>& errors);

Json ToJson(const Items& items);

/// Appends an error for each reference to an undeclared item and for each
/// engine address that another engine already uses.
void CheckReferences(const Items& items, std::vector<JsonError>& errors);

}  // namespace corianderlink

#endif  // CORIANDERLINK_RELEASE_ITEMS_H_
