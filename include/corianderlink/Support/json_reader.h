// Checked reading of JSON objects: every error is kept with its path.
#ifndef CORIANDERLINK_SUPPORT_JSON_READER_H_
#define CORIANDERLINK_SUPPORT_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Support/address.h"

namespace corianderlink {

using Json = nlohmann::json;

/// An error in a document: where, and what was expected there.
struct JsonError {
  std::string path;
  std::string expected;
  std::string ToString() const { return path + ": expected " + expected; }
};

/// Parses JSON with // and /* */ comments.  On failure returns nothing and
/// puts the position into `reason`.
std::optional<Json> ParseJsonWithComments(const std::string& text,
                                          std::string& reason);

/// Reads the members of one JSON object.  Each reader method records an error
/// instead of throwing and returns the fallback.  Call `RejectUnknown` last.
class JsonReader {
 public:
  /// Reads `object`, which must outlive this reader, at `path` of the
  /// document.  Errors are appended to `errors`.
  JsonReader(const Json& object, std::string path,
             std::vector<JsonError>& errors);

  /// A string that must be present and not empty.
  std::string RequiredString(const std::string& key);
  std::string OptionalString(const std::string& key,
                             const std::string& fallback);
  /// One of `allowed`, or the first of them if absent.
  std::string OneOf(const std::string& key,
                    const std::vector<std::string>& allowed);
  /// An integer in [low, high].
  int64_t Integer(const std::string& key, int64_t low, int64_t high,
                  std::optional<int64_t> fallback = std::nullopt);
  /// A number in [low, high].
  double Number(const std::string& key, double low, double high,
                std::optional<double> fallback = std::nullopt);
  bool Boolean(const std::string& key, bool fallback);
  /// "ip:port" with a numeric IP.
  Address RequiredAddress(const std::string& key);
  std::vector<std::string> Strings(const std::string& key);
  /// The member, if it is an object; an error if it is anything else.
  const Json* Object(const std::string& key);
  /// The member, if it is an array; an error if it is anything else.
  const Json* Array(const std::string& key);
  /// Records an error for each member that no method asked for.
  void RejectUnknown();

  /// Records an error at member `key`.
  void Fail(const std::string& key, const std::string& expected);
  /// Path of a member.
  std::string PathOf(const std::string& key) const { return path_ + "/" + key; }

 private:
  const Json* Find(const std::string& key);

  const Json& object_;
  const std::string path_;
  std::vector<JsonError>& errors_;
  std::set<std::string> known_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_JSON_READER_H_
