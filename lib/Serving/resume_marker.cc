// Marker by which a client resumes a stream through any entry.
#include "corianderlink/Serving/resume_marker.h"

#include <charconv>

#include "corianderlink/Support/hash.h"

namespace corianderlink {
namespace {

constexpr char kSeparator = '~';
constexpr size_t kMaxMarkerBytes = 512;
constexpr size_t kDigestChars = 32;

std::string Digest(const AccountId& account, const std::string& body) {
  return Sha256Hex(account.value() + "\n" + body).substr(0, kDigestChars);
}

}  // namespace

std::string EncodeResumeMarker(const ResumeMarker& marker) {
  return marker.engine.value() + kSeparator + marker.request.value() +
         kSeparator + std::to_string(marker.next_offset);
}

std::optional<ResumeMarker> DecodeResumeMarker(const std::string& text) {
  if (text.size() > kMaxMarkerBytes) return std::nullopt;
  const size_t last = text.rfind(kSeparator);
  if (last == std::string::npos || last == 0) return std::nullopt;
  const size_t middle = text.rfind(kSeparator, last - 1);
  if (middle == std::string::npos) return std::nullopt;
  ResumeMarker marker;
  marker.engine = EngineId(text.substr(0, middle));
  marker.request = RequestId(text.substr(middle + 1, last - middle - 1));
  // The id becomes part of an HTTP request line, so only safe characters are
  // accepted.
  const bool plain = marker.request.value().find_first_not_of(
                         "0123456789abcdef-") == std::string::npos;
  if (!plain) return std::nullopt;
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + last + 1, end, marker.next_offset);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return marker;
}

RequestId MakeRequestId(const std::string& random, const AccountId& account,
                        const std::string& body) {
  return RequestId(random + "-" + Digest(account, body));
}

bool IsBoundTo(const RequestId& request, const AccountId& account,
               const std::string& body) {
  const std::string& id = request.value();
  if (id.size() <= kDigestChars) return false;
  return ConstantTimeEquals(id.substr(id.size() - kDigestChars),
                            Digest(account, body));
}

}  // namespace corianderlink
