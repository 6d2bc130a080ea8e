// Chooses workers for calls to plain services and answers claim queries.
#ifndef CORIANDERLINK_SERVING_SERVICE_DISPATCHER_H_
#define CORIANDERLINK_SERVING_SERVICE_DISPATCHER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "corianderlink/Node/node.h"
#include "corianderlink/Routing/outlier_ejector.h"
#include "corianderlink/Routing/retry_budget.h"
#include "corianderlink/Serving/claim_ledger.h"
#include "corianderlink/Serving/service_task.h"

namespace corianderlink {

class ServiceDispatcher {
 public:
  explicit ServiceDispatcher(Node& node);

  std::shared_ptr<ServiceTask> Start(ServiceCall call, ServiceTask::Done done);

  /// The next worker, round robin, that was not tried and is not ejected; else
  /// an ejected one, else a tried one.  Nothing if the service has none.
  std::optional<Address> ChooseWorker(Time now, const ServiceId& service,
                                      const std::set<Address>& tried);
  void OnWorkerResult(Time now, const ServiceId& service, const Address& worker,
                      bool failed);

  /// Sends a claim query to the owner of another attempt's claim.
  void QueryOwner(const std::string& owner_address, const std::string& claim,
                  const std::string& nonce, std::shared_ptr<ServiceTask> asker);
  /// Handles a claim query, or the response to one, from a peer.
  void OnClaimMessage(const wire::Envelope& message);
  void OnTaskEnded(const std::shared_ptr<ServiceTask>& task);

  Node& node() { return node_; }
  ClaimLedger& ledger() { return ledger_; }
  RetryBudget& retry_budget() { return retry_budget_; }
  size_t in_flight() const { return tasks_.size(); }

 private:
  Node& node_;
  ClaimLedger ledger_;
  OutlierEjector ejector_;
  RetryBudget retry_budget_;
  std::map<ServiceId, size_t> next_worker_;
  std::set<std::shared_ptr<ServiceTask>> tasks_;
  // Tasks that wait for the response to a claim query, by nonce.
  std::multimap<std::string, std::weak_ptr<ServiceTask>> askers_;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_SERVICE_DISPATCHER_H_
