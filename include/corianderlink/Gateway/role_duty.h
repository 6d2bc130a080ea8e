// Carries out role changes: one gateway at a time, under a lease.
#ifndef CORIANDERLINK_GATEWAY_ROLE_DUTY_H_
#define CORIANDERLINK_GATEWAY_ROLE_DUTY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Authority/lease_client.h"
#include "corianderlink/Gateway/order_codec.h"
#include "corianderlink/Gateway/role_planner.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http1/upstream_pool.h"
#include "corianderlink/Platform/table.h"
#include "corianderlink/Support/random.h"

namespace corianderlink {

/// What the duty looks at and tells.
struct RoleDutyPorts {
  /// True if this gateway should take the duty if nobody has it.
  std::function<bool(Time)> candidate;
  /// The changes that are worth it now.
  std::function<std::vector<RoleChange>(Time)> plan;
  /// A change was ordered.
  std::function<void(Time, const RoleChange&)> on_ordered;
  std::function<const UpstreamRecord*(const UpstreamId&)> find;
  /// Engines that no gateway sends new work to; goes out with heartbeats.
  std::function<void(const std::set<UpstreamId>&)> set_held;
  /// The store's transactions on the lease row.
  std::function<void(const TableTransaction&, CommitCallback)> commit;
  std::function<void(const std::string& prefix, ReadCallback)> read;
};

/// Orders are sent only while the lease is held, after the time in which an
/// earlier holder's orders may still arrive, and one after another.
class RoleDuty {
 public:
  RoleDuty(EventLoop& loop, UpstreamPool& pool, RandomSource& random,
           const OrderCodec& codec, ProcessId self, Duration lease,
           RoleDutyPorts ports);

  void Start();
  /// Gives the duty up; the process stops.
  void Stop();

 private:
  enum class Step {
    kIdle,      ///< No change is wanted.
    kLease,     ///< Waiting for the lease and the end of earlier orders.
    kHold,      ///< Gateways are told to send the engines no new work.
    kOrdering,  ///< Engines are asked for their state and ordered in turn.
    kChanging,  ///< The engines change their roles.
  };

  void Tick();
  void DriveLease(Time now);
  void Advance(Time now);
  bool MayOrder(Time now) const;
  void Enter(Time now, Step step);
  void HoldPending();
  void AwaitChanges(Time now);
  void OrderNext();
  void OnStatus(const RoleChange& change, const std::string& body);
  void SendOrder(const RoleChange& change, const EngineStatus& status);
  void OnOrderAnswered(const RoleChange& change, int status);
  void Skip(const RoleChange& change, const char* reason);
  void EndChanges();
  void Call(UpstreamRequest request,
            std::function<void(int status, const std::string& body)> done);

  EventLoop& loop_;
  UpstreamPool& pool_;
  const OrderCodec& codec_;
  const ProcessId self_;
  const Duration lease_time_;
  const RoleDutyPorts ports_;
  LeaseClient lease_;
  Step step_ = Step::kIdle;
  // Changes that have to be ordered, the next one last.
  std::vector<RoleChange> pending_;
  // Changes that were accepted.
  std::vector<RoleChange> accepted_;
  Time step_since_{};
  // Since when the lease has been held without a break.
  std::optional<Time> held_since_;
  // Nobody held the lease before this process.
  bool first_holder_ = false;
  // No new change before this time.
  Time quiet_until_{};
  bool stopped_ = false;
  std::shared_ptr<UpstreamCall> call_;
  EventHandle call_timer_;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ROLE_DUTY_H_
