// A set of declared items by kind and name.
#ifndef CORIANDERLINK_RELEASE_ITEMS_H_
#define CORIANDERLINK_RELEASE_ITEMS_H_

#include <map>
#include <string>
#include <vector>

#include "corianderlink/Release/specs.h"
#include "corianderlink/Support/json_reader.h"

namespace corianderlink {

/// Declared items of every kind.
struct Items {
  std::map<ModelId, ModelSpec> models;
  std::map<AdapterId, AdapterSpec> adapters;
  std::map<EngineId, EngineSpec> engines;
  std::map<ServiceId, ServiceSpec> services;
  std::map<AccountId, AccountSpec> accounts;

  bool operator==(const Items&) const = default;
  /// "engines/e1" and so on, sorted within a kind.
  std::vector<std::string> Keys() const;
};

/// Reads items at `path`; errors are appended.
Items ParseItems(const Json& json, const std::string& path,
                 std::vector<JsonError>& errors);

Json ToJson(const Items& items);

/// Errors of references between items and of addresses used twice.
void CheckReferences(const Items& items, std::vector<JsonError>& errors);

}  // namespace corianderlink

#endif  // CORIANDERLINK_RELEASE_ITEMS_H_
