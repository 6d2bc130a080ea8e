// Start line and header fields of an HTTP/1.1 message (RFC 9112).
#ifndef CORIANDERLINK_HTTP_MESSAGE_HEAD_H_
#define CORIANDERLINK_HTTP_MESSAGE_HEAD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderlink {

/// One header field as received.
struct HeaderField {
  std::string name;
  std::string value;
};

using HeaderFields = std::vector<HeaderField>;

/// Memory that `fields` take, in bytes: many times what was received if the
/// fields are short.
size_t MemoryOf(const HeaderFields& fields);

/// True if both are the same but for the case of ASCII letters.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Returns the value of the first field with this name (compared without
/// case), or null.
const std::string* FindField(const HeaderFields& fields, std::string_view name);

/// Appends each field to `out` as a "name: value" line that ends with CRLF.
void AppendFields(const HeaderFields& fields, std::string& out);

/// True for fields that apply to a single connection (RFC 9110, section 7.6.1)
/// or to the framing of the body; each hop sets both itself.
bool IsHopByHop(std::string_view name);

/// Returns `fields` without the hop-by-hop fields and without the fields that
/// Connection lists.
HeaderFields EndToEndFields(const HeaderFields& fields);

/// Head of a request.
struct RequestHead {
  std::string method;
  /// Request target: path with query.
  std::string target;
  HeaderFields fields;
  /// True if the connection may be reused after the response.
  bool keep_alive = true;
  /// The client reads chunks: its version is 1.1 at least.
  bool accepts_chunks = true;
  /// Value of Content-Length, unless the body is chunked.
  std::optional<uint64_t> content_length;

  /// Path without the query.
  std::string_view Path() const;
};

/// Head of a response.
struct ResponseHead {
  int status = 0;
  HeaderFields fields;
  /// True if the connection may be reused after this response.
  bool keep_alive = true;
  /// Value of Content-Length, unless the body is chunked.
  std::optional<uint64_t> content_length;
  /// The body has neither a length nor chunks: it ends with the connection.
  bool ends_with_connection = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP_MESSAGE_HEAD_H_
