// Configuration of an engine, which is set by orders.
#ifndef CORIANDERLINK_AUTHORITY_ENGINE_CONFIG_H_
#define CORIANDERLINK_AUTHORITY_ENGINE_CONFIG_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// The complete configuration of an engine.  Orders always carry all of it,
/// never a difference.
struct EngineConfig {
  std::string role = "mixed";
  std::set<ModelId> models;
  std::set<AdapterId> adapters;

  bool operator==(const EngineConfig&) const = default;
};

nlohmann::json ToJson(const EngineConfig& config);
/// Returns nullopt if `json` is malformed.
std::optional<EngineConfig> ParseEngineConfig(const nlohmann::json& json);

/// Returns true if the engine cannot serve requests while it changes from
/// `from` to `to`.
bool InterruptsServing(const EngineConfig& from, const EngineConfig& to);

}  // namespace corianderlink

#endif  // CORIANDERLINK_AUTHORITY_ENGINE_CONFIG_H_
