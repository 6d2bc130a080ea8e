// The planned stop of a gateway.
#include <algorithm>

#include "corianderlink/Gateway/gateway.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Interval between looks for whether all connections have ended.
constexpr Duration kStopPollInterval = milliseconds(100);

}  // namespace

void Gateway::BeginShutdown() {
  if (shutting_down_) return;
  const Time now = BootClock::now();
  shutting_down_ = true;
  stop_admission_.Begin(now, settings_.stop_grace);
  const StopPlan& plan = *stop_admission_.plan();
  Log(LogLevel::kInfo, "stopping",
      {{"client_connections",
        static_cast<uint64_t>(client_server_.connections())},
       {"grace_ms", ToMillis(settings_.stop_grace)},
       {"accepts_for_ms", ToMillis(plan.accepts_until() - now)},
       {"requests_end_ms", ToMillis(plan.requests_end() - now)},
       {"process_end_ms", ToMillis(plan.process_end() - now)}});
  if (role_coordinator_) role_coordinator_->Stop();
  UpdateFleetView(now);
  peers_.SendHeartbeat();
  client_server_.CloseAfterResponses();
  forward_server_.CloseAfterResponses();
  ContinueShutdown();
}

bool Gateway::TakesInStop(Time now, const InboundExchange& exchange,
                          const RouteSpec& route,
                          const ClientRequest& request) const {
  const Duration limit =
      std::min(request.time_left.value_or(route.timeout), route.timeout);
  return stop_admission_.Takes(now, route.id, request.OutputTokens(),
                               exchange.received_at() + limit - now);
}

void Gateway::ContinueShutdown() {
  const Time now = BootClock::now();
  const StopPlan& plan = *stop_admission_.plan();
  if (!plan.Accepts(now)) {
    for (InboundServer* server : {&client_server_, &forward_server_}) {
      server->StopListening();
      server->CloseIdleConnections();
      if (now >= plan.requests_end()) server->EndRequests();
    }
    const size_t connections =
        client_server_.connections() + forward_server_.connections();
    if (connections == 0 || now >= plan.process_end()) {
      EndShutdown(now);
      return;
    }
  }
  const Duration next = plan.UntilNextStep(now);
  shutdown_timer_ = loop_.After(std::min(next, kStopPollInterval),
                                [this] { ContinueShutdown(); });
}

void Gateway::EndShutdown(Time now) {
  const InboundServer::OpenWork clients = client_server_.CountOpenWork();
  const InboundServer::OpenWork peers = forward_server_.CountOpenWork();
  const bool is_clean = clients.connections + peers.connections == 0;
  Log(is_clean ? LogLevel::kInfo : LogLevel::kWarning, "stop_finished",
      {{"elapsed_ms", ToMillis(now - stop_admission_.plan()->began())},
       {"client_connections", static_cast<uint64_t>(clients.connections)},
       {"client_requests", static_cast<uint64_t>(clients.requests)},
       {"client_unsent_bytes", static_cast<uint64_t>(clients.unsent_bytes)},
       {"peer_connections", static_cast<uint64_t>(peers.connections)},
       {"peer_requests", static_cast<uint64_t>(peers.requests)},
       {"peer_unsent_bytes", static_cast<uint64_t>(peers.unsent_bytes)}});
  loop_.Stop();
}

}  // namespace corianderlink
