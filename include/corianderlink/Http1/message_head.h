// Start line and header fields of an HTTP/1.1 message (RFC 9112).
#ifndef CORIANDERLINK_HTTP1_MESSAGE_HEAD_H_
#define CORIANDERLINK_HTTP1_MESSAGE_HEAD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderlink {

/// One header field as it came.
struct HeaderField {
  std::string name;
  std::string value;
};

using HeaderFields = std::vector<HeaderField>;

/// Value of the first field with this name, ignoring case, or null.
const std::string* FindField(const HeaderFields& fields, std::string_view name);

/// Appends "name: value" lines to `out`.
void AppendFields(const HeaderFields& fields, std::string& out);

/// True for fields that concern one connection only (RFC 9110, section 7.6.1)
/// or the framing of the body, both of which each hop sets for itself.
bool IsHopByHop(std::string_view name);

/// `fields` without hop-by-hop fields and those that Connection names.
HeaderFields EndToEndFields(const HeaderFields& fields);

/// Head of a request.
struct RequestHead {
  std::string method;
  /// Path with query.
  std::string target;
  HeaderFields fields;
  /// The client keeps the connection after the answer.
  bool keep_alive = true;

  /// Path without the query.
  std::string_view Path() const;
};

/// Head of a response.
struct ResponseHead {
  int status = 0;
  HeaderFields fields;
  /// The peer keeps the connection after this response.
  bool keep_alive = true;
  /// Body length, if the head gives one.
  std::optional<uint64_t> content_length;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_MESSAGE_HEAD_H_
