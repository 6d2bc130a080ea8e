// Validating reader of JSON objects that collects all errors with their paths.
#ifndef CORIANDERLINK_SUPPORT_JSON_READER_H_
#define CORIANDERLINK_SUPPORT_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "corianderlink/Support/address.h"

namespace corianderlink {

using Json = nlohmann::json;

/// A validation error: the path of a value and what was expected there.
struct JsonError {
  std::string path;
  std::string expected;
  std::string ToString() const { return path + ": expected " + expected; }
};

/// Joins the errors to one line.
std::string JoinErrors(const std::vector<JsonError>& errors);

/// Objects and arrays in one another that a text from outside may have.  The
/// library copies, compares and writes values recursively.
inline constexpr int kMaxJsonDepth = 256;

/// Parses JSON from outside.  Returns a discarded value, which is of no type,
/// if `text` is malformed or nested more deeply than kMaxJsonDepth.
Json ParseJson(std::string_view text);

/// Parses JSON with // and /* */ comments.  On failure returns nullopt and sets
/// `reason` to the parser's message, which includes the position.
std::optional<Json> ParseJsonWithComments(const std::string& text,
                                          std::string& reason);

/// Reads the members of one JSON object.  A method that finds a member missing
/// or invalid records an error and returns the fallback or an empty or minimum
/// value; it does not throw.  Call `RejectUnknown` last.
class JsonReader {
 public:
  /// Reads `object`, which is at `path` in its document and must outlive this
  /// reader.  Appends errors to `errors`.
  JsonReader(const Json& object, std::string path,
             std::vector<JsonError>& errors);

  /// Reads a required, non-empty string.
  std::string RequiredString(const std::string& key);
  /// Reads a string; returns `fallback` if it is absent.
  std::string OptionalString(const std::string& key,
                             const std::string& fallback);
  /// Reads a string that must be one of `allowed`; returns the first of them if
  /// it is absent.
  std::string OneOf(const std::string& key,
                    const std::vector<std::string>& allowed);
  /// Reads an integer in [low, high]; required if there is no `fallback`.
  int64_t Integer(const std::string& key, int64_t low, int64_t high,
                  std::optional<int64_t> fallback = std::nullopt);
  /// Reads a number in [low, high]; required if there is no `fallback`.
  double Number(const std::string& key, double low, double high,
                std::optional<double> fallback = std::nullopt);
  /// Reads true or false; returns `fallback` if it is absent.
  bool Boolean(const std::string& key, bool fallback);
  /// Reads a required address "ip:port" with a numeric IP.
  Address RequiredAddress(const std::string& key);
  /// Reads an array of strings; returns an empty one if it is absent.
  std::vector<std::string> Strings(const std::string& key);
  /// Returns the member if it is an object and nullptr if it is absent.
  /// Anything else is an error.
  const Json* Object(const std::string& key);
  /// Returns the member if it is an array and nullptr if it is absent. Anything
  /// else is an error.
  const Json* Array(const std::string& key);
  /// Records an error for each member that no method has read.
  void RejectUnknown();

  /// Records an error at member `key`.
  void Fail(const std::string& key, const std::string& expected);
  /// Path of member `key` in the document.
  std::string PathOf(const std::string& key) const { return path_ + "/" + key; }

 private:
  /// Returns the member or nullptr, and marks `key` as known.
  const Json* Find(const std::string& key);

  const Json& object_;
  const std::string path_;
  std::vector<JsonError>& errors_;
  std::set<std::string> known_keys_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_JSON_READER_H_
