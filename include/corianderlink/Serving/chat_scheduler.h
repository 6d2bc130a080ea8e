// Queues model requests, picks engines for them and parks bulk ones.
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

class ChatScheduler {
 public:
  explicit ChatScheduler(Node& node);

  /// Starts a request; it is kept until it ended.
  std::shared_ptr<ChatTask> Start(ChatTask::Options options,
                                  ChatCallbacks callbacks);

  /// Queues a task again or for the first time.
  std::optional<Refusal> Enqueue(const std::shared_ptr<ChatTask>& task,
                                 bool first_time);
  /// Places as many queued requests as there is room for.
  void Pump();
  /// Pumps once from the loop, however often it is called before that.
  void PumpSoon();
  void OnTaskEnded(const std::shared_ptr<ChatTask>& task);

  /// Fills in this entry's part of a heartbeat.
  void FillHeartbeat(wire::Heartbeat& heartbeat);
  void OnPeerHeartbeat(const ProcessId& peer, const wire::Heartbeat& heartbeat);
  void OnRelease();
  void FillDump(Json& dump) const;

  Node& node() { return node_; }
  EngineRouter& router() { return router_; }
  RetryBudget& retry_budget() { return retry_budget_; }
  size_t in_flight() const { return tasks_.size(); }
  size_t InFlightOf(const AccountId& account) const;

 private:
  void ParkForUrgent(const PendingRequest& urgent);
  void ExpireQueued();
  bool MaySend(Time now) const;
  void UpdateHolds();
  void MoveHeldStreams();
  void ForgetSilentPeers();

  Node& node_;
  EngineRouter router_;
  AdmissionQueue queue_;
  RetryBudget retry_budget_;
  std::unordered_map<RequestId, std::shared_ptr<ChatTask>> tasks_;
  std::map<AccountId, size_t> per_account_;
  HoldTable hold_table_;
  std::set<Address> held_;
  double prompt_tokens_ = 0;
  double output_tokens_ = 0;
  Time demand_since_{};
  double prompt_rate_ = 0;
  double output_rate_ = 0;
  bool pump_posted_ = false;
  Time last_park_{};
  std::set<ProcessId> sharing_peers_;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CHAT_SCHEDULER_H_
