// Percent-encoding of URL components (RFC 3986).
#ifndef CORIANDERLINK_SUPPORT_URL_ENCODE_H_
#define CORIANDERLINK_SUPPORT_URL_ENCODE_H_

#include <string>

namespace corianderlink {

/// Percent-encodes every byte of `text` that is not an unreserved character.
std::string UrlEncode(const std::string& text);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_URL_ENCODE_H_
