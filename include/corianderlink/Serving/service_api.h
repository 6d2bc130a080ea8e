// The HTTP API of calls to plain services.
#ifndef CORIANDERLINK_SERVING_SERVICE_API_H_
#define CORIANDERLINK_SERVING_SERVICE_API_H_

#include <memory>
#include <string>

#include "corianderlink/Http/http_server.h"
#include "corianderlink/Node/node.h"
#include "corianderlink/Serving/client_account.h"
#include "corianderlink/Serving/problem_replier.h"
#include "corianderlink/Serving/service_dispatcher.h"

namespace corianderlink {

/// Answers calls to plain services.
class ServiceApi {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  ServiceApi(Node& node, ServiceDispatcher& dispatcher,
             const ProblemReplier& problems)
      : node_(node), dispatcher_(dispatcher), problems_(problems) {}

  /// Answers a request whose path begins with /v1/services/.
  void OnRequest(const Exchange& exchange, const ClientAccount& account);

 private:
  ServiceCall MakeCall(const HttpExchange& exchange,
                       const ClientAccount& account, const ServiceId& service,
                       const std::string& path);
  void ReplyServiceResult(const Exchange& exchange, const RequestId& id,
                          const ClaimResult& result);

  Node& node_;
  ServiceDispatcher& dispatcher_;
  const ProblemReplier& problems_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_SERVICE_API_H_
