// Carries out role changes of engines.
//
// A lease in the store elects the one gateway that sends orders to engines.
// It tells its peers to send the engines no new work, asks each engine for its
// state, sends the orders one after another and waits until the directory of
// upstreams shows the new roles.
#ifndef CORIANDERLINK_GATEWAY_ROLE_COORDINATOR_H_
#define CORIANDERLINK_GATEWAY_ROLE_COORDINATOR_H_

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

/// Callbacks through which a RoleCoordinator reads the gateway's state and
/// acts.
struct RoleCoordinatorCallbacks {
  /// True if this gateway may acquire the lease.
  std::function<bool(Time)> is_candidate;
  /// Role changes to make now; empty if none is worth its cost.
  std::function<std::vector<RoleChange>(Time)> plan_changes;
  /// Called right before the order of a change is sent.
  std::function<void(Time, const RoleChange&)> on_ordered;
  /// Record of an engine, or null if it is not in the directory.
  std::function<const UpstreamRecord*(const UpstreamId&)> find_engine;
  /// Sets the engines that no gateway may send new work to, and announces them
  /// to the peers in heartbeats.
  std::function<void(const std::set<UpstreamId>&)> set_held_engines;
  /// Commits a transaction on the lease's row.
  std::function<void(const TableTransaction&, CommitCallback)> commit;
  /// Reads the rows whose keys begin with `prefix`.
  std::function<void(const std::string& prefix, ReadCallback)> read;
};

/// Sends role orders under a lease.  An order is sent only while the lease is
/// held and once no order of an earlier holder can still be in flight.  At most
/// one request to an engine is outstanding.
class RoleCoordinator {
 public:
  RoleCoordinator(EventLoop& loop, UpstreamPool& pool, RandomSource& random,
                  const OrderCodec& codec, ProcessId self,
                  Duration lease_duration, RoleCoordinatorCallbacks callbacks);

  void Start();
  /// Cancels the changes in progress and releases the lease.  Called when the
  /// process stops.
  void Stop();

  /// Raises the next fencing token above `known`, the highest one that peers
  /// have told of.  Returns the highest that is known here.
  FencingToken ExchangeFencing(FencingToken known) {
    lease_.RaiseFencingFloor(known);
    return lease_.fencing_floor();
  }

 private:
  enum class Step {
    /// No change is planned.
    kIdle,
    /// Waiting for the lease, and for earlier holders' orders to time out.
    kAcquireLease,
    /// Waiting for the heartbeats that tell peers to hold back new work.
    kHoldEngines,
    /// Engines are asked for their state and sent their orders one by one.
    kSendOrders,
    /// Waiting for the directory to show the new roles.
    kAwaitChanges,
  };

  void Tick();
  void AdvanceLease(Time now);
  void AdvanceStep(Time now);
  // True if the lease outlasts a request and orders of an earlier holder have
  // timed out.
  bool CanSendOrder(Time now) const;
  void EnterStep(Time now, Step step);
  void HoldPendingEngines();
  void CheckAcceptedChanges(Time now);
  void OrderNextChange();
  void OnStatus(const RoleChange& change, const std::string& body);
  void SendOrder(const RoleChange& change, const EngineStatus& status);
  void OnOrderResponse(const RoleChange& change, int status);
  void AbandonChange(const RoleChange& change, const char* reason);
  // Ends the changes in progress and lifts the hold on their engines.
  void ResetToIdle();
  void SendRequest(
      UpstreamRequest request,
      std::function<void(int status, const std::string& body)> done);

  EventLoop& loop_;
  UpstreamPool& pool_;
  const OrderCodec& codec_;
  const ProcessId self_;
  const Duration lease_duration_;
  const RoleCoordinatorCallbacks callbacks_;
  LeaseClient lease_;
  Step step_ = Step::kIdle;
  // Changes still to be ordered; the last one is next.
  std::vector<RoleChange> pending_changes_;
  // Changes that their engines accepted and have not completed.
  std::vector<RoleChange> accepted_changes_;
  Time step_since_{};
  // Start of the current uninterrupted tenure of the lease.
  std::optional<Time> lease_held_since_;
  // No process had held the lease before, so there are no earlier orders.
  bool first_holder_ = false;
  // No new change starts before this time.
  Time backoff_until_{};
  bool stopped_ = false;
  std::shared_ptr<UpstreamCall> request_call_;
  EventHandle request_timer_;
  EventHandle tick_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ROLE_COORDINATOR_H_
