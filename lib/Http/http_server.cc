// HTTP server of the own path.
#include "corianderlink/Http/http_server.h"

#include <event2/http.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/message_framing.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Connections of a server with a budget of its own.
constexpr size_t kOwnConnections = 10'000;

bool IsKnownMethod(std::string_view method) {
  constexpr std::string_view kMethods[] = {"GET",    "POST", "PUT",
                                           "DELETE", "HEAD", "PATCH"};
  return std::find(std::begin(kMethods), std::end(kMethods), method) !=
         std::end(kMethods);
}

bool IsUri(const std::string& target) {
  evhttp_uri* uri =
      evhttp_uri_parse_with_flags(target.c_str(), EVHTTP_URI_NONCONFORMANT);
  if (uri == nullptr) return false;
  evhttp_uri_free(uri);
  return true;
}

// What the parser accepts and no request of this path has.
std::optional<FramingFault> FindFault(const RequestHead& head) {
  if (!IsKnownMethod(head.method)) {
    return FramingFault{501, "method not supported"};
  }
  if (!IsUri(head.target)) return FramingFault{400, "malformed target"};
  MessageFraming framing;
  for (const HeaderField& field : head.fields) {
    framing.AddField(field.name, field.value);
  }
  if (auto fault = framing.SingleCodingFault()) return fault;
  const bool has_body_of_head =
      head.method == "HEAD" && framing.announces_body();
  if (has_body_of_head) return FramingFault{400, "body of a HEAD request"};
  return std::nullopt;
}

}  // namespace

HttpServer::HttpServer(EventLoop& loop, HttpServerLimits limits,
                       Handler handler,
                       std::shared_ptr<ClientConnections> connections)
    : server_(loop,
              connections ? std::move(connections)
                          : InboundServer::MakeOwnBudget(kOwnConnections),
              [handler = std::move(handler), is_closing = is_closing_](
                  const std::shared_ptr<InboundExchange>& request) {
                const auto exchange =
                    std::make_shared<HttpExchange>(request, is_closing);
                exchange->WatchForDisconnect();
                handler(exchange);
              }) {
  InboundLimits inbound;
  inbound.max_header_bytes = static_cast<uint32_t>(limits.max_header_bytes);
  inbound.max_body_bytes = limits.max_body_bytes;
  inbound.header_timeout = seconds(limits.request_timeout_s);
  server_.SetLimits(BootClock::now(), inbound);
  server_.find_fault = FindFault;
  server_.on_request_rejected = [](const std::string& reason) {
    Log(LogLevel::kWarning, "request_rejected", {{"reason", reason}});
  };
}

HttpServer::~HttpServer() = default;

void HttpServer::CloseAfterAnswers() {
  *is_closing_ = true;
  server_.CloseAfterResponses();
}

}  // namespace corianderlink
