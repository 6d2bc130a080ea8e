// What the head of an HTTP/1.1 message says about where the message ends.
#include "corianderlink/Http/message_framing.h"

#include <event2/util.h>

#include <algorithm>

namespace corianderlink {
namespace {

constexpr int kHttp11 = 11;

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         evutil_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

// Elements of all values, which count as one list; empty ones are left out.
std::vector<std::string_view> Elements(const std::vector<std::string>& values) {
  std::vector<std::string_view> elements;
  for (std::string_view rest : values) {
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      const std::string_view element = Trim(rest.substr(0, comma));
      if (!element.empty()) elements.push_back(element);
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return elements;
}

bool IsChunked(std::string_view coding) {
  return EqualsIgnoringCase(coding, "chunked");
}

std::optional<FramingFault> Refuse(const char* reason) {
  return FramingFault{400, reason};
}

// The body is passed on without its codings, so all but the last one, which
// frames it, would be lost.
std::optional<FramingFault> CodingFault(
    const std::vector<std::string_view>& codings) {
  if (codings.empty() || !IsChunked(codings.back())) {
    return Refuse("final transfer coding is not chunked");
  }
  for (size_t i = 0; i + 1 < codings.size(); ++i) {
    if (IsChunked(codings[i])) return Refuse("chunked twice");
    if (EqualsIgnoringCase(codings[i], "identity")) continue;
    return FramingFault{501, "transfer coding not supported"};
  }
  return std::nullopt;
}

}  // namespace

void MessageFraming::AddField(std::string_view name, std::string_view value) {
  if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    codings_.emplace_back(value);
  } else if (EqualsIgnoringCase(name, "Content-Length")) {
    lengths_.emplace_back(value);
  }
}

std::optional<FramingFault> MessageFraming::RequestFault(int version) const {
  if (!codings_.empty()) {
    if (version < kHttp11) return Refuse("transfer coding before HTTP/1.1");
    if (!lengths_.empty()) return Refuse("length beside a transfer coding");
    return CodingFault(Elements(codings_));
  }
  for (const std::string& value : lengths_) {
    const std::string_view length = Trim(value);
    if (length.empty() || !std::all_of(length.begin(), length.end(), IsDigit)) {
      return Refuse("malformed length");
    }
    if (length != Trim(lengths_.front())) return Refuse("two lengths");
  }
  return std::nullopt;
}

}  // namespace corianderlink
