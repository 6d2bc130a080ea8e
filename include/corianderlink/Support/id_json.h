// Conversion of sets of identifiers to JSON arrays.
#ifndef CORIANDERLINK_SUPPORT_ID_JSON_H_
#define CORIANDERLINK_SUPPORT_ID_JSON_H_

#include <nlohmann/json.hpp>
#include <set>

namespace corianderlink {

/// Returns the values of `ids` as a sorted JSON array of strings.
template <typename Id>
nlohmann::json IdsToJson(const std::set<Id>& ids) {
  nlohmann::json names = nlohmann::json::array();
  for (const Id& id : ids) names.push_back(id.value());
  return names;
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_ID_JSON_H_
