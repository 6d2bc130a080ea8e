// What the head of an HTTP/1.1 message says about where the message ends.
#include "corianderlink/Http/message_framing.h"

#include <algorithm>

#include "corianderlink/Http/message_head.h"

namespace corianderlink {
namespace {

constexpr int kHttp11 = 11;
constexpr int kMinStatus = 100;
constexpr int kSwitchingProtocols = 101;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsLetter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

// "tchar" of RFC 9110, section 5.6.2.
bool IsTokenCharacter(char c) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || IsLetter(c) || kOthers.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

// Control characters may not stand in the value of a field; a tab may.
bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7F;
}

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
  if (!IsToken(name)) malformed_ = "malformed field name";
  if (std::any_of(value.begin(), value.end(), IsControl)) {
    malformed_ = "control character in a field";
  }
  if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    codings_.emplace_back(value);
  } else if (EqualsIgnoringCase(name, "Content-Length")) {
    lengths_.emplace_back(value);
  }
}

bool MessageFraming::announces_body() const {
  const auto is_not_zero = [](const std::string& length) {
    return length.find_first_not_of("0 \t") != std::string::npos;
  };
  return !codings_.empty() ||
         std::any_of(lengths_.begin(), lengths_.end(), is_not_zero);
}

std::optional<FramingFault> MessageFraming::LengthFault() const {
  for (const std::string& value : lengths_) {
    const std::string_view length = Trim(value);
    if (length.empty() || !std::all_of(length.begin(), length.end(), IsDigit)) {
      return Refuse("malformed length");
    }
    if (length != Trim(lengths_.front())) return Refuse("two lengths");
  }
  return std::nullopt;
}

std::optional<FramingFault> MessageFraming::RequestFault(int version) const {
  if (malformed_) return FramingFault{400, *malformed_};
  if (codings_.empty()) return LengthFault();
  if (version < kHttp11) return Refuse("transfer coding before version 1.1");
  if (!lengths_.empty()) return Refuse("length beside a transfer coding");
  return CodingFault(Elements(codings_));
}

std::optional<FramingFault> MessageFraming::ResponseFault(int version,
                                                          int status) const {
  if (status < kMinStatus) return Refuse("status below 100");
  // No request asks for another protocol.
  if (status == kSwitchingProtocols) return Refuse("switch of protocols");
  // A coding whose field is not passed on would be lost here, too.
  return RequestFault(version);
}

std::optional<FramingFault> MessageFraming::SingleCodingFault() const {
  const bool is_understood =
      codings_.empty() || (codings_.size() == 1 && IsChunked(codings_.front()));
  if (is_understood) return std::nullopt;
  return FramingFault{501, "transfer coding not supported"};
}

}  // namespace corianderlink
