// HTTP/1.1 parsers based on boost::beast::http::basic_parser.
#include "corianderlink/Http/message_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "corianderlink/Http/message_framing.h"

namespace corianderlink {
namespace {

namespace http = boost::beast::http;
// HTTP/1.1.
constexpr int kFirstVersionWithChunks = 11;
using boost::beast::error_code;
using boost::beast::string_view;

// Stores the start line, header fields and body of one message.
template <bool kIsRequest>
class Collector : public http::basic_parser<kIsRequest> {
 public:
  using Base = http::basic_parser<kIsRequest>;

  explicit Collector(const ParserLimits& limits)
      : max_header_bytes_(limits.max_header_bytes) {
    this->eager(true);
    this->header_limit(limits.max_header_bytes);
    this->body_limit(limits.max_body_bytes);
  }

  size_t Feed(std::string_view data) {
    size_t used = 0;
    while (used < data.size() && !this->is_done() && !failed_) {
      error_code ec;
      const size_t n = this->put(
          boost::asio::const_buffer(data.data() + used, data.size() - used),
          ec);
      used += n;
      if (ec == http::error::need_more) break;
      if (ec) Fail(ec);
      if (n == 0) break;
    }
    LimitUnfinished(data.size() - used);
    return used;
  }

  void FeedEof() {
    if (this->is_done() || failed_) return;
    // The base class takes an end before the first byte for that of a message.
    error_code ec = http::error::end_of_stream;
    if (this->is_header_done()) this->put_eof(ec);
    if (ec) Fail(ec);
  }

  ParseState state() const {
    if (failed_) return ParseState::kFailed;
    if (this->is_done()) return ParseState::kDone;
    return this->is_header_done() ? ParseState::kBody : ParseState::kHead;
  }

  RequestHead request;
  ResponseHead response;
  std::string body;
  std::string reason;
  int rejection_status = 400;

 private:
  // The base class consumes the header line of a chunk and the trailer section
  // once they are complete, and sets no limit to their sizes.
  void LimitUnfinished(size_t unconsumed) {
    const bool is_part_of_message = !this->is_done() && !failed_;
    if (is_part_of_message && unconsumed > max_header_bytes_) {
      Fail(http::error::header_limit);
    }
  }
  void Fail(const error_code& ec) {
    failed_ = true;
    if (framing_fault_) {
      reason = framing_fault_->reason;
      rejection_status = framing_fault_->status;
      return;
    }
    reason = ec.message();
    const bool too_large =
        ec == http::error::body_limit || ec == http::error::header_limit;
    if (too_large) rejection_status = 413;
  }

  void on_request_impl(http::verb, string_view method, string_view target,
                       int version, error_code&) override {
    version_ = version;
    request.accepts_chunks = version >= kFirstVersionWithChunks;
    request.method = std::string{method};
    request.target = std::string{target};
  }
  void on_response_impl(int status, string_view, int version,
                        error_code&) override {
    version_ = version;
    response.status = status;
  }
  void on_field_impl(http::field, string_view name, string_view value,
                     error_code&) override {
    // The base class reports the fields of the trailer section here, too.
    if (head_complete_) return;
    framing_.AddField({name.data(), name.size()}, {value.data(), value.size()});
    HeaderFields& fields = kIsRequest ? request.fields : response.fields;
    fields.push_back({std::string{name}, std::string{value}});
  }
  // Asked before the base class decides whether there is a body.
  void on_header_impl(error_code& ec) override {
    framing_fault_ = kIsRequest
                         ? framing_.RequestFault(version_)
                         : framing_.ResponseFault(version_, response.status);
    if (framing_fault_) {
      ec = http::error::bad_transfer_encoding;
      return;
    }
    head_complete_ = true;
    request.keep_alive = this->keep_alive();
    response.keep_alive = this->keep_alive();
    response.ends_with_connection = this->need_eof();
    if (!this->chunked() && this->content_length()) {
      request.content_length = *this->content_length();
      response.content_length = request.content_length;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code&) override {}
  std::size_t on_body_impl(string_view data, error_code&) override {
    body.append(data.data(), data.size());
    return data.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, string_view data,
                                 error_code&) override {
    body.append(data.data(), data.size());
    return data.size();
  }
  void on_finish_impl(error_code&) override {}

  const size_t max_header_bytes_;
  MessageFraming framing_;
  std::optional<FramingFault> framing_fault_;
  // Of the protocol, 11 for HTTP/1.1.
  int version_ = 0;
  bool head_complete_ = false;
  bool failed_ = false;
};

}  // namespace

struct RequestParser::Impl {
  explicit Impl(const ParserLimits& limits) : collector(limits) {}
  Collector<true> collector;
};

RequestParser::RequestParser(ParserLimits limits)
    : impl_(std::make_unique<Impl>(limits)) {}
RequestParser::~RequestParser() = default;
size_t RequestParser::Feed(std::string_view data) {
  return impl_->collector.Feed(data);
}
ParseState RequestParser::state() const { return impl_->collector.state(); }
const std::string& RequestParser::reason() const {
  return impl_->collector.reason;
}
int RequestParser::rejection_status() const {
  return impl_->collector.rejection_status;
}
const RequestHead& RequestParser::head() const {
  return impl_->collector.request;
}
RequestHead RequestParser::TakeHead() {
  return std::move(impl_->collector.request);
}
std::string& RequestParser::body() { return impl_->collector.body; }

struct ResponseParser::Impl {
  explicit Impl(const ParserLimits& limits) : collector(limits) {}
  Collector<false> collector;
};

ResponseParser::ResponseParser(ParserLimits limits, AnsweredMethod method)
    : impl_(std::make_unique<Impl>(limits)) {
  impl_->collector.skip(method == AnsweredMethod::kHead);
}
ResponseParser::~ResponseParser() = default;
size_t ResponseParser::Feed(std::string_view data) {
  return impl_->collector.Feed(data);
}
void ResponseParser::FeedEof() { impl_->collector.FeedEof(); }
ParseState ResponseParser::state() const { return impl_->collector.state(); }
const std::string& ResponseParser::reason() const {
  return impl_->collector.reason;
}
const ResponseHead& ResponseParser::head() const {
  return impl_->collector.response;
}
std::string& ResponseParser::body() { return impl_->collector.body; }

}  // namespace corianderlink
