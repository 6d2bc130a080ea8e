// Queues model requests, assigns them to engines and preempts bulk requests.
#ifndef CORIANDERLINK_SERVING_CHAT_SCHEDULER_H_
#define CORIANDERLINK_SERVING_CHAT_SCHEDULER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Membership/hold_table.h"
#include "corianderlink/Node/node.h"
#include "corianderlink/Routing/admission_queue.h"
#include "corianderlink/Routing/engine_router.h"
#include "corianderlink/Routing/retry_budget.h"
#include "corianderlink/Serving/chat_task.h"

namespace corianderlink {

/// Owns the model requests in progress in this process.
class ChatScheduler {
 public:
  explicit ChatScheduler(Node& node);

  /// Starts a request, and owns its task until the request has ended.
  std::shared_ptr<ChatTask> Start(ChatTask::Options options,
                                  ChatCallbacks callbacks);

  /// Queues a task, or returns why it is refused.  If `first_time` is false,
  /// the task had an attempt before and is not bound by its admission deadline.
  std::optional<Refusal> Enqueue(const std::shared_ptr<ChatTask>& task,
                                 bool first_time);
  /// Dispatches queued requests while there are engines with free capacity.
  void DispatchQueued();
  /// Schedules one DispatchQueued on the event loop; calls before it runs are
  /// coalesced.
  void ScheduleDispatch();
  /// Called by a task once it has ended.
  void OnTaskEnded(const std::shared_ptr<ChatTask>& task);

  /// Adds this entry's load, demand and hold acknowledgements to a heartbeat.
  void FillHeartbeat(wire::Heartbeat& heartbeat);
  /// Updates the load of peer entries and the holds of fleet processes.
  void OnPeerHeartbeat(const ProcessId& peer, const wire::Heartbeat& heartbeat);
  /// Applies a new desired state.
  void OnRelease();
  /// Adds the requests and engines to the diagnostic dump.
  void FillDump(Json& dump) const;

  Node& node() { return node_; }
  EngineRouter& router() { return router_; }
  RetryBudget& retry_budget() { return retry_budget_; }
  size_t in_flight() const { return tasks_.size(); }
  /// Number of requests in progress for `account`.
  size_t InFlightOf(const AccountId& account) const;

 private:
  void PreemptForUrgent(const PendingRequest& urgent);
  void ExpireQueued();
  bool CanDispatch(Time now);
  /// Ids of the instances in the platform's list.
  std::set<std::string> ListedInstances() const;
  void UpdateHolds();
  void MigrateHeldStreams();
  void RemoveDeadPeers();

  Node& node_;
  EngineRouter router_;
  AdmissionQueue queue_;
  RetryBudget retry_budget_;
  std::unordered_map<RequestId, std::shared_ptr<ChatTask>> tasks_;
  std::map<AccountId, size_t> per_account_;
  const Time started_;
  HoldTable hold_table_;
  bool logged_first_dispatch_ = false;
  std::set<Address> held_;
  double interval_prompt_tokens_ = 0;
  double interval_output_tokens_ = 0;
  Time interval_start_{};
  double prompt_tokens_per_s_ = 0;
  double output_tokens_per_s_ = 0;
  bool dispatch_scheduled_ = false;
  Time last_preemption_{};
  std::set<ProcessId> peers_with_shares_;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CHAT_SCHEDULER_H_
