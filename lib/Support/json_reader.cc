// Validating reader of JSON objects.
#include "corianderlink/Support/json_reader.h"

#include <algorithm>
#include <sstream>

namespace corianderlink {
namespace {

/// Discards what is nested too deeply while it is parsed.
class DepthLimit {
 public:
  Json::parser_callback_t Callback() {
    return [this](int depth, Json::parse_event_t, Json&) {
      exceeded_ |= depth > kMaxJsonDepth;
      return !exceeded_;
    };
  }
  bool exceeded() const { return exceeded_; }

 private:
  bool exceeded_ = false;
};

}  // namespace

std::string JoinErrors(const std::vector<JsonError>& errors) {
  std::string text;
  for (const JsonError& error : errors) {
    text += (text.empty() ? "" : "; ") + error.ToString();
  }
  return text;
}

Json ParseJson(std::string_view text) {
  DepthLimit limit;
  Json json = Json::parse(text, limit.Callback(), /*allow_exceptions=*/false);
  return limit.exceeded() ? Json(Json::value_t::discarded) : json;
}

std::optional<Json> ParseJsonWithComments(const std::string& text,
                                          std::string& reason) {
  try {
    DepthLimit limit;
    Json json = Json::parse(text, limit.Callback(), /*allow_exceptions=*/true,
                            /*ignore_comments=*/true);
    if (!limit.exceeded()) return json;
    reason = "nested too deeply";
    return std::nullopt;
  } catch (const Json::parse_error& error) {
    reason = error.what();
    return std::nullopt;
  }
}

JsonReader::JsonReader(const Json& object, std::string path,
                       std::vector<JsonError>& errors)
    : object_(object), path_(std::move(path)), errors_(errors) {
  if (!object_.is_object()) errors_.push_back({path_, "an object"});
}

const Json* JsonReader::Find(const std::string& key) {
  known_keys_.insert(key);
  if (!object_.is_object()) return nullptr;
  const auto it = object_.find(key);
  return it == object_.end() ? nullptr : &*it;
}

void JsonReader::Fail(const std::string& key, const std::string& expected) {
  errors_.push_back({PathOf(key), expected});
}

std::string JsonReader::RequiredString(const std::string& key) {
  const Json* value = Find(key);
  if (value != nullptr && value->is_string() &&
      !value->get_ref<const std::string&>().empty()) {
    return value->get<std::string>();
  }
  Fail(key, "a non-empty string");
  return {};
}

std::string JsonReader::OptionalString(const std::string& key,
                                       const std::string& fallback) {
  const Json* value = Find(key);
  if (value == nullptr) return fallback;
  if (value->is_string()) return value->get<std::string>();
  Fail(key, "a string");
  return fallback;
}

std::string JsonReader::OneOf(const std::string& key,
                              const std::vector<std::string>& allowed) {
  const std::string value = OptionalString(key, allowed.front());
  if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) {
    return value;
  }
  std::string choices;
  for (const std::string& choice : allowed) {
    choices += (choices.empty() ? "" : ", ") + choice;
  }
  Fail(key, "one of " + choices);
  return allowed.front();
}

int64_t JsonReader::Integer(const std::string& key, int64_t low, int64_t high,
                            std::optional<int64_t> fallback) {
  const Json* value = Find(key);
  if (value == nullptr && fallback.has_value()) return *fallback;
  if (value != nullptr && value->is_number_integer()) {
    const auto number = value->get<int64_t>();
    if (number >= low && number <= high) return number;
  }
  Fail(key, "an integer from " + std::to_string(low) + " to " +
                std::to_string(high));
  return fallback.value_or(low);
}

double JsonReader::Number(const std::string& key, double low, double high,
                          std::optional<double> fallback) {
  const Json* value = Find(key);
  if (value == nullptr && fallback.has_value()) return *fallback;
  if (value != nullptr && value->is_number()) {
    const auto number = value->get<double>();
    if (number >= low && number <= high) return number;
  }
  std::ostringstream expected;
  expected << "a number from " << low << " to " << high;
  Fail(key, expected.str());
  return fallback.value_or(low);
}

bool JsonReader::Boolean(const std::string& key, bool fallback) {
  const Json* value = Find(key);
  if (value == nullptr) return fallback;
  if (value->is_boolean()) return value->get<bool>();
  Fail(key, "true or false");
  return fallback;
}

Address JsonReader::RequiredAddress(const std::string& key) {
  const Json* value = Find(key);
  if (value != nullptr && value->is_string()) {
    const auto address = Address::Parse(value->get<std::string>());
    if (address.has_value()) return *address;
  }
  Fail(key, "an address as ip:port with a numeric IP");
  return {};
}

std::vector<std::string> JsonReader::Strings(const std::string& key) {
  const Json* value = Find(key);
  std::vector<std::string> strings;
  if (value == nullptr) return strings;
  if (!value->is_array()) {
    Fail(key, "an array of strings");
    return strings;
  }
  for (const Json& item : *value) {
    if (!item.is_string()) {
      Fail(key, "an array of strings");
      return strings;
    }
    strings.push_back(item.get<std::string>());
  }
  return strings;
}

const Json* JsonReader::Object(const std::string& key) {
  const Json* value = Find(key);
  if (value == nullptr || value->is_object()) return value;
  Fail(key, "an object");
  return nullptr;
}

const Json* JsonReader::Array(const std::string& key) {
  const Json* value = Find(key);
  if (value == nullptr || value->is_array()) return value;
  Fail(key, "an array");
  return nullptr;
}

void JsonReader::RejectUnknown() {
  if (!object_.is_object()) return;
  for (const auto& [key, value] : object_.items()) {
    if (known_keys_.count(key) == 0) Fail(key, "a known key");
  }
}

}  // namespace corianderlink
