// One request received by the server and its response.
#include "corianderlink/Http/http_exchange.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/inbound_exchange.h"

namespace corianderlink {
namespace {

HeaderFields MakeFields(const std::string& content_type,
                        const HttpHeaders& headers) {
  HeaderFields fields;
  if (!content_type.empty()) fields.push_back({"Content-Type", content_type});
  for (const auto& [name, value] : headers) {
    // A line break would begin another field.
    if (value.find_first_of("\r\n") != std::string::npos) continue;
    fields.push_back({name, value});
  }
  return fields;
}

}  // namespace

HttpExchange::HttpExchange(std::shared_ptr<InboundExchange> request,
                           std::shared_ptr<const bool> is_closing)
    : request_(std::move(request)), is_closing_(std::move(is_closing)) {
  evhttp_uri* uri = evhttp_uri_parse_with_flags(request_->head().target.c_str(),
                                                EVHTTP_URI_NONCONFORMANT);
  if (uri == nullptr) return;
  const char* path = evhttp_uri_get_path(uri);
  const char* query = evhttp_uri_get_query(uri);
  path_ = path == nullptr ? "" : path;
  query_ = query == nullptr ? "" : query;
  evhttp_uri_free(uri);
}

HttpExchange::~HttpExchange() = default;

const std::string& HttpExchange::method() const {
  return request_->head().method;
}

const std::string& HttpExchange::body() const { return request_->body(); }

bool HttpExchange::open() const { return request_->open(); }

std::string HttpExchange::Header(const std::string& name) const {
  const std::string* value = FindField(request_->head().fields, name);
  return value == nullptr ? std::string() : *value;
}

std::optional<std::string> HttpExchange::QueryParameter(
    const std::string& name) const {
  evkeyvalq params{};
  if (evhttp_parse_query_str(query_.c_str(), &params) != 0) return {};
  const char* value = evhttp_find_header(&params, name.c_str());
  std::optional<std::string> found;
  if (value != nullptr) found = value;
  evhttp_clear_headers(&params);
  return found;
}

void HttpExchange::WatchForDisconnect() {
  request_->on_client_disconnected = [self = shared_from_this()] {
    self->signal_client_disconnected.emit();
  };
}

void HttpExchange::Reply(int status, const std::string& content_type,
                         const std::string& body, const HttpHeaders& headers) {
  if (!open() || streaming_) return;
  const auto self = shared_from_this();
  request_->on_client_disconnected = nullptr;
  request_->StartResponse(status, MakeFields(content_type, headers),
                          body.size());
  // The head says the length of a body that does not come.
  if (method() != "HEAD") request_->SendBody(body);
  request_->CompleteResponse();
}

void HttpExchange::StartStream(int status, const std::string& content_type,
                               const HttpHeaders& headers) {
  if (!open() || streaming_) return;
  streaming_ = true;
  request_->StartResponse(status, MakeFields(content_type, headers),
                          std::nullopt);
}

void HttpExchange::SendChunk(const std::string& chunk) {
  if (!open() || !streaming_ || chunk.empty()) return;
  request_->SendBody(chunk);
  // The first chunk is sent with the default priority; from the second one on
  // the connection has the priority of streams.
  if (++chunks_sent_ == 2) request_->SetPriority(kStreamPriority);
}

void HttpExchange::EndStream() {
  if (!open() || !streaming_) return;
  const auto self = shared_from_this();
  request_->on_client_disconnected = nullptr;
  // The head may have been sent before the server began to close.
  if (*is_closing_) request_->CloseAfterResponse();
  request_->CompleteResponse();
}

void HttpExchange::Abort() {
  if (!open()) return;
  const auto self = shared_from_this();
  request_->Abort();
}

size_t HttpExchange::PendingBytes() const { return request_->PendingBytes(); }

}  // namespace corianderlink
