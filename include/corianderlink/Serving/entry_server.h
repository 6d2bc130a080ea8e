// The entry process: HTTP API for clients.
#ifndef CORIANDERLINK_SERVING_ENTRY_SERVER_H_
#define CORIANDERLINK_SERVING_ENTRY_SERVER_H_

#include <memory>
#include <optional>
#include <string>

#include "corianderlink/Http/http_server.h"
#include "corianderlink/Node/engine_poller.h"
#include "corianderlink/Node/node.h"
#include "corianderlink/Serving/chat_scheduler.h"
#include "corianderlink/Serving/client_account.h"
#include "corianderlink/Serving/job_api.h"
#include "corianderlink/Serving/job_runner.h"
#include "corianderlink/Serving/problem_replier.h"
#include "corianderlink/Serving/service_api.h"
#include "corianderlink/Serving/service_dispatcher.h"

namespace corianderlink {

/// Serves chat completions, jobs, plain services and the entry directory.
class EntryServer {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  explicit EntryServer(Node& node);

  /// Binds the address for clients; false if it cannot be bound.
  bool Start();

  /// Starts a graceful shutdown: leaves the entry directory, continues to serve
  /// until every cached directory response has expired and all requests have
  /// ended, then stops the event loop.
  void BeginStop();

 private:
  void OnRequest(const Exchange& exchange);
  void OnEntries(const Exchange& exchange);
  void OnModels(const Exchange& exchange);
  void OnChat(const Exchange& exchange, const ClientAccount& account);
  ChatTask::Options MakeOptions(const HttpExchange& exchange,
                                const ClientAccount& account,
                                ChatRequest request);
  ChatCallbacks MakeCallbacks(const Exchange& exchange,
                              const ChatTask::Options& options);
  /// Checks that this process may serve and authenticates the client.  On
  /// failure, sends the error response and returns nothing.
  std::optional<ClientAccount> Admit(const Exchange& exchange);

  void OnEngineReport(const Address& engine, Time requested_at,
                      const std::string& body);
  void OnCacheEvents(const Address& engine, const std::string& body);
  void OnRelease();
  /// True if, during a stop, all directory answers that name this process have
  /// expired.
  bool HasAddressExpired(Time now) const;
  void StopIfDrained();
  bool OnAdmin(const Exchange& exchange);

  Node& node_;
  const ProblemReplier problems_;
  ChatScheduler scheduler_;
  ServiceDispatcher dispatcher_;
  JobRunner jobs_;
  JobApi job_api_;
  ServiceApi service_api_;
  EnginePoller report_poller_;
  EnginePoller cache_event_poller_;
  HttpServer server_;
  std::map<Address, EngineId> engine_by_address_;
  Time stop_began_{};
  // When no request was in progress any more.
  Time drained_{};
  EventHandle stop_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_ENTRY_SERVER_H_
