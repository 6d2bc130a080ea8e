// Decoder of the platform's list of instances.
#include "corianderlink/Platform/instance.h"

#include "corianderlink/Support/json_reader.h"

namespace corianderlink {

std::optional<std::vector<Instance>> DecodeInstances(const std::string& body,
                                                     std::string& reason) {
  const std::optional<Json> json = ParseJsonWithComments(body, reason);
  if (!json) return std::nullopt;
  std::vector<JsonError> errors;
  JsonReader reader(*json, "", errors);
  std::vector<Instance> instances;
  const Json* array = reader.Array("instances");
  if (array == nullptr) reader.Fail("instances", "an array");
  for (size_t i = 0; array != nullptr && i < array->size(); ++i) {
    JsonReader item((*array)[i], "/instances/" + std::to_string(i), errors);
    Instance instance;
    instance.id = item.RequiredString("id");
    instance.zone = ZoneId(item.RequiredString("zone"));
    instance.entry = item.RequiredAddress("entry");
    instance.entry_peer = item.RequiredAddress("entry_peer");
    instance.fleet_peer = item.RequiredAddress("fleet_peer");
    instance.leaving = item.Boolean("leaving", false);
    instances.push_back(std::move(instance));
  }
  if (errors.empty()) return instances;
  reason = errors.front().ToString();
  return std::nullopt;
}

}  // namespace corianderlink
