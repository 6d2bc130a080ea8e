// Percent-encoding of URL components.
#include "corianderlink/Support/url_encode.h"

namespace corianderlink {

std::string UrlEncode(const std::string& text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool unreserved = (byte >= '0' && byte <= '9') ||
                            (byte >= 'A' && byte <= 'Z') ||
                            (byte >= 'a' && byte <= 'z') || byte == '-' ||
                            byte == '.' || byte == '_' || byte == '~';
    if (unreserved) {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kHex[byte >> 4];
    encoded += kHex[byte & 15];
  }
  return encoded;
}

}  // namespace corianderlink
