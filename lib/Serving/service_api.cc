// The HTTP API of calls to plain services.
#include "corianderlink/Serving/service_api.h"

#include <utility>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr size_t kMaxIdempotencyKeyBytes = 256;

}  // namespace

void ServiceApi::OnRequest(const Exchange& exchange,
                           const ClientAccount& account) {
  const std::string rest =
      exchange->path().substr(std::string("/v1/services/").size());
  const size_t slash = rest.find('/');
  const ServiceId service(rest.substr(0, slash));
  const auto& services = node_.state().items.services;
  const auto spec = services.find(service);
  if (spec == services.end()) {
    return problems_.Reply(*exchange, 404, "Unknown service",
                           Outcome::NotRun("no such service is in force"));
  }
  const std::string path =
      slash == std::string::npos ? "/" : rest.substr(slash);
  ServiceCall call = MakeCall(*exchange, account, service, path);
  if (call.key.size() > kMaxIdempotencyKeyBytes) {
    return problems_.Reply(
        *exchange, 400, "Invalid key",
        Outcome::NotRun("Idempotency-Key is longer than 256 bytes"));
  }
  const CallSpec* declared = spec->second.FindCall(call.method, path);
  if (declared != nullptr) {
    call.idempotent = declared->idempotent;
    call.not_run_statuses = declared->not_run_statuses;
  }
  const RequestId id = call.id;
  const auto task = dispatcher_.Start(
      std::move(call), [this, exchange, id](const ClaimResult& result) {
        ReplyServiceResult(exchange, id, result);
      });
  const std::weak_ptr<ServiceTask> weak = task;
  exchange->signal_client_disconnected.connect([weak] {
    if (const auto running = weak.lock()) running->OnClientDisconnected();
  });
}

ServiceCall ServiceApi::MakeCall(const HttpExchange& exchange,
                                 const ClientAccount& account,
                                 const ServiceId& service,
                                 const std::string& path) {
  ServiceCall call;
  call.id = RequestId(node_.random().HexId());
  call.account = account.id;
  call.service = service;
  call.method = exchange.method();
  call.target = path + (exchange.query().empty() ? "" : "?") + exchange.query();
  call.content_type = exchange.Header("Content-Type");
  call.body = exchange.body();
  call.key = exchange.Header("Idempotency-Key");
  call.deadline = BootClock::now() + node_.settings().requests.service_timeout;
  return call;
}

void ServiceApi::ReplyServiceResult(const Exchange& exchange,
                                    const RequestId& id,
                                    const ClaimResult& result) {
  Log(LogLevel::kInfo, "service_call_ended",
      {{"request", id.value()},
       {"status", result.response.status},
       {"reason", result.reason}});
  switch (result.kind) {
    case ClaimResult::Kind::kResponse:
      exchange->Reply(result.response.status, result.response.content_type,
                      result.response.body, {{"X-Request-Id", id.value()}});
      return;
    case ClaimResult::Kind::kNotRun:
      return problems_.Reply(*exchange, 503, "Call not run",
                             Outcome::NotRun(result.reason), seconds(1));
    case ClaimResult::Kind::kMayHaveRun:
      return problems_.Reply(*exchange, 502, "Call may have run",
                             Outcome::MayHaveRun(result.reason), seconds(1));
    case ClaimResult::Kind::kKeyReused:
      return problems_.Reply(*exchange, 422, "Key reused",
                             Outcome::NotRun(result.reason));
  }
}

}  // namespace corianderlink
