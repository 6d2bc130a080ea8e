// JSON encoding of engine configurations and reports.
#include "corianderlink/Authority/engine_report.h"

#include "corianderlink/Support/id_json.h"
#include "corianderlink/Support/json_reader.h"

namespace corianderlink {
Json ToJson(const EngineConfig& config) {
  return {{"role", config.role},
          {"models", IdsToJson(config.models)},
          {"adapters", IdsToJson(config.adapters)}};
}

std::optional<EngineConfig> ParseEngineConfig(const Json& json) {
  try {
    EngineConfig config;
    config.role = json.at("role").get<std::string>();
    for (const Json& name : json.at("models")) {
      config.models.insert(ModelId(name.get<std::string>()));
    }
    for (const Json& name : json.at("adapters")) {
      config.adapters.insert(AdapterId(name.get<std::string>()));
    }
    return config;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

bool InterruptsServing(const EngineConfig& from, const EngineConfig& to) {
  return from.role != to.role || from.models != to.models;
}

std::optional<EngineReport> ParseEngineReport(const std::string& body,
                                              std::string& reason) {
  try {
    const Json json = ParseJson(body);
    EngineReport report;
    report.boot_id = json.at("boot_id").get<std::string>();
    const auto config = ParseEngineConfig(json);
    if (!config) {
      reason = "malformed configuration in an engine report";
      return std::nullopt;
    }
    report.config = *config;
    report.away = json.at("away").get<bool>();
    report.in_flight = json.at("in_flight").get<uint64_t>();
    report.running = json.at("running").get<uint64_t>();
    report.queued_prefill_tokens =
        json.at("queued_prefill_tokens").get<double>();
    report.max_batch = json.at("max_batch").get<uint64_t>();
    report.prefill_tokens_per_s = json.at("prefill_tokens_per_s").get<double>();
    report.step_ms = json.at("step_ms").get<double>();
    report.order_sequence = json.at("order_sequence").get<uint64_t>();
    report.order_fencing = json.at("order_fencing").get<FencingToken>();
    report.order_state = json.at("order_state").get<std::string>();
    report.order_reason = json.at("order_reason").get<std::string>();
    return report;
  } catch (const Json::exception& error) {
    reason = std::string("malformed engine report: ") + error.what();
    return std::nullopt;
  }
}

}  // namespace corianderlink
