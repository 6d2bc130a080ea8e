// Parses, serializes and checks declared items.
#include "corianderlink/Release/items.h"

#include <utility>

#include "corianderlink/Support/id_json.h"

namespace corianderlink {
namespace {

constexpr double kMaxAccountWeight = 1000;
constexpr int64_t kMaxAccountInFlight = 100000;
constexpr size_t kSha256HexDigits = 64;

template <typename Id>
std::set<Id> ToIds(const std::vector<std::string>& names) {
  std::set<Id> ids;
  for (const std::string& name : names) ids.insert(Id(name));
  return ids;
}

ModelSpec ParseModel(JsonReader& reader) {
  return {reader.RequiredString("weights")};
}

AdapterSpec ParseAdapter(JsonReader& reader) {
  AdapterSpec spec;
  spec.model = ModelId(reader.RequiredString("model"));
  spec.weights = reader.RequiredString("weights");
  return spec;
}

EngineSpec ParseEngine(JsonReader& reader) {
  EngineSpec spec;
  spec.address = reader.RequiredAddress("address");
  spec.zone = ZoneId(reader.RequiredString("zone"));
  spec.role = ParseEngineRole(
      reader.OneOf("role", {"mixed", "prefill", "decode", "auto"}));
  spec.checks_fencing = reader.Boolean("checks_fencing", true);
  spec.automatic_orders = reader.Boolean("automatic_orders", true);
  spec.models = ToIds<ModelId>(reader.Strings("models"));
  spec.adapters = ToIds<AdapterId>(reader.Strings("adapters"));
  return spec;
}

CallSpec ParseCall(const Json& json, const std::string& path,
                   std::vector<JsonError>& errors) {
  JsonReader reader(json, path, errors);
  CallSpec call;
  call.method = reader.OneOf("method", {"GET", "POST", "PUT", "DELETE"});
  call.path = reader.RequiredString("path");
  call.idempotent = reader.Boolean("idempotent", false);
  const Json* statuses = reader.Array("not_run_statuses");
  for (size_t i = 0; statuses != nullptr && i < statuses->size(); ++i) {
    const Json& status = (*statuses)[i];
    const bool valid =
        status.is_number_integer() && status >= 400 && status <= 599;
    if (!valid) reader.Fail("not_run_statuses", "statuses from 400 to 599");
    if (valid) call.not_run_statuses.insert(status.get<int64_t>());
  }
  reader.RejectUnknown();
  return call;
}

ServiceSpec ParseService(JsonReader& reader, const std::string& path,
                         std::vector<JsonError>& errors) {
  ServiceSpec spec;
  const std::vector<std::string> workers = reader.Strings("workers");
  for (const std::string& text : workers) {
    const auto address = Address::Parse(text);
    if (!address) reader.Fail("workers", "addresses as ip:port");
    if (address) spec.workers.push_back(*address);
  }
  if (workers.empty()) reader.Fail("workers", "at least one address");
  const Json* calls = reader.Array("calls");
  for (size_t i = 0; calls != nullptr && i < calls->size(); ++i) {
    spec.calls.push_back(
        ParseCall((*calls)[i], path + "/calls/" + std::to_string(i), errors));
  }
  return spec;
}

AccountSpec ParseAccount(JsonReader& reader) {
  AccountSpec spec;
  spec.key_sha256 = reader.RequiredString("key_sha256");
  if (spec.key_sha256.size() != kSha256HexDigits) {
    reader.Fail("key_sha256", "64 hexadecimal digits");
  }
  spec.weight = reader.Number("weight", 0.001, kMaxAccountWeight, 1.0);
  spec.max_in_flight =
      reader.Integer("max_in_flight", 1, kMaxAccountInFlight, 64);
  return spec;
}

// Parses each item of kind `kind` with `parse`.
template <typename Id, typename Spec, typename Parse>
void ParseKind(JsonReader& parent, const std::string& kind,
               std::map<Id, Spec>& specs, std::vector<JsonError>& errors,
               Parse parse) {
  const Json* items = parent.Object(kind);
  if (items == nullptr) return;
  for (const auto& [name, json] : items->items()) {
    const std::string path = parent.PathOf(kind) + "/" + name;
    if (name.empty() || name.find('/') != std::string::npos) {
      errors.push_back({path, "a name without '/'"});
      continue;
    }
    JsonReader reader(json, path, errors);
    specs[Id(name)] = parse(reader, path);
    reader.RejectUnknown();
  }
}

template <typename Map>
void AppendKeys(const std::string& kind, const Map& map,
                std::vector<std::string>& keys) {
  for (const auto& [id, spec] : map) keys.push_back(kind + "/" + id.value());
}

}  // namespace

const char* ToString(EngineRole role) {
  switch (role) {
    case EngineRole::kMixed:
      return "mixed";
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
    case EngineRole::kAuto:
      return "auto";
  }
  return "mixed";
}

EngineRole ParseEngineRole(const std::string& name) {
  if (name == "prefill") return EngineRole::kPrefill;
  if (name == "decode") return EngineRole::kDecode;
  if (name == "auto") return EngineRole::kAuto;
  return EngineRole::kMixed;
}

const CallSpec* ServiceSpec::FindCall(const std::string& method,
                                      const std::string& path) const {
  for (const CallSpec& call : calls) {
    if (call.method == method && call.path == path) return &call;
  }
  return nullptr;
}

std::vector<std::string> Items::Keys() const {
  std::vector<std::string> keys;
  AppendKeys("models", models, keys);
  AppendKeys("adapters", adapters, keys);
  AppendKeys("engines", engines, keys);
  AppendKeys("services", services, keys);
  AppendKeys("accounts", accounts, keys);
  return keys;
}

Items ParseItems(const Json& json, const std::string& path,
                 std::vector<JsonError>& errors) {
  Items items;
  JsonReader reader(json, path, errors);
  ParseKind(reader, "models", items.models, errors,
            [](JsonReader& r, const std::string&) { return ParseModel(r); });
  ParseKind(reader, "adapters", items.adapters, errors,
            [](JsonReader& r, const std::string&) { return ParseAdapter(r); });
  ParseKind(reader, "engines", items.engines, errors,
            [](JsonReader& r, const std::string&) { return ParseEngine(r); });
  ParseKind(reader, "services", items.services, errors,
            [&errors](JsonReader& r, const std::string& p) {
              return ParseService(r, p, errors);
            });
  ParseKind(reader, "accounts", items.accounts, errors,
            [](JsonReader& r, const std::string&) { return ParseAccount(r); });
  reader.RejectUnknown();
  return items;
}

Json ToJson(const Items& items) {
  Json json = {{"models", Json::object()},
               {"adapters", Json::object()},
               {"engines", Json::object()},
               {"services", Json::object()},
               {"accounts", Json::object()}};
  for (const auto& [id, spec] : items.models) {
    json["models"][id.value()] = {{"weights", spec.weights}};
  }
  for (const auto& [id, spec] : items.adapters) {
    json["adapters"][id.value()] = {{"model", spec.model.value()},
                                    {"weights", spec.weights}};
  }
  for (const auto& [id, spec] : items.engines) {
    json["engines"][id.value()] = {{"address", spec.address.ToString()},
                                   {"zone", spec.zone.value()},
                                   {"role", ToString(spec.role)},
                                   {"checks_fencing", spec.checks_fencing},
                                   {"automatic_orders", spec.automatic_orders},
                                   {"models", IdsToJson(spec.models)},
                                   {"adapters", IdsToJson(spec.adapters)}};
  }
  for (const auto& [id, spec] : items.services) {
    Json workers = Json::array();
    for (const Address& worker : spec.workers) {
      workers.push_back(worker.ToString());
    }
    Json calls = Json::array();
    for (const CallSpec& call : spec.calls) {
      calls.push_back({{"method", call.method},
                       {"path", call.path},
                       {"idempotent", call.idempotent},
                       {"not_run_statuses", call.not_run_statuses}});
    }
    json["services"][id.value()] = {{"workers", workers}, {"calls", calls}};
  }
  for (const auto& [id, spec] : items.accounts) {
    json["accounts"][id.value()] = {{"key_sha256", spec.key_sha256},
                                    {"weight", spec.weight},
                                    {"max_in_flight", spec.max_in_flight}};
  }
  return json;
}

void CheckReferences(const Items& items, std::vector<JsonError>& errors) {
  for (const auto& [id, adapter] : items.adapters) {
    if (items.models.count(adapter.model) == 0) {
      errors.push_back({"/adapters/" + id.value() + "/model",
                        "a declared model, not " + adapter.model.value()});
    }
  }
  std::map<Address, std::string> path_of_address;
  for (const auto& [id, engine] : items.engines) {
    const std::string path = "/engines/" + id.value();
    for (const ModelId& model : engine.models) {
      if (items.models.count(model) > 0) continue;
      errors.push_back(
          {path + "/models", "declared models, not " + model.value()});
    }
    for (const AdapterId& adapter : engine.adapters) {
      if (items.adapters.count(adapter) > 0) continue;
      errors.push_back(
          {path + "/adapters", "declared adapters, not " + adapter.value()});
    }
    const auto [it, inserted] = path_of_address.emplace(engine.address, path);
    if (inserted) continue;
    errors.push_back(
        {path + "/address",
         "an address that no other engine uses; " + it->second + " uses it"});
  }
}

}  // namespace corianderlink
