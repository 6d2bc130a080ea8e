// Configuration that an order gives to an engine.
#ifndef CORIANDERLINK_AUTHORITY_ENGINE_CONFIG_H_
#define CORIANDERLINK_AUTHORITY_ENGINE_CONFIG_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// The whole configuration of an engine; orders never carry a difference.
struct EngineConfig {
  std::string role = "mixed";
  std::set<ModelId> models;
  std::set<AdapterId> adapters;

  bool operator==(const EngineConfig&) const = default;
};

nlohmann::json ToJson(const EngineConfig& config);
std::optional<EngineConfig> ParseEngineConfig(const nlohmann::json& json);

/// True if changing from `from` to `to` takes the engine away for a time.
bool InterruptsServing(const EngineConfig& from, const EngineConfig& to);

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_ENGINE_CONFIG_H_
