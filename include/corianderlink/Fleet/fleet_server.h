// The fleet process: accepts release notes, sends orders to engines and assigns
// engine roles.
#ifndef CORIANDERLINK_FLEET_FLEET_SERVER_H_
#define CORIANDERLINK_FLEET_FLEET_SERVER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Authority/lease_socket_guard.h"
#include "corianderlink/Fleet/engine_shards.h"
#include "corianderlink/Fleet/engine_state.h"
#include "corianderlink/Fleet/fleet_rows.h"
#include "corianderlink/Fleet/note_api.h"
#include "corianderlink/Fleet/role_controller.h"
#include "corianderlink/Node/engine_poller.h"
#include "corianderlink/Node/node.h"

namespace corianderlink {

/// Reconciles the engines of the shards whose leases it holds with the desired
/// state.
class FleetServer {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  /// Registers its handlers with `node`, which must outlive it.
  explicit FleetServer(Node& node);

  /// Starts the timers.  Always returns true.
  bool Start();
  /// Starts to release the leases; the loop stops once they are released, or
  /// after a timeout.
  void BeginStop();

 private:
  /// Input for a role decision: the available engines with automatic role, and
  /// the demand on them.
  struct RoleSnapshot {
    RoleView view;
    RoleDemand demand;
    std::vector<const EngineState*> engines;
  };

  void Tick();
  void ReadShardOrders(size_t index);
  void ReadOrder(const Address& engine);
  void OnOrderRow(const TableRow& row);
  void OnRelease();
  void OnReport(const Address& engine, Time requested_at,
                const std::string& body);
  void UpdatePollTargets();

  void Reconcile(Time now, EngineState& state);
  std::optional<EngineConfig> DesiredConfig(const EngineState& state) const;
  bool CanInterruptServing(const EngineState& state) const;
  void WriteOrder(EngineState& state, const OrderRecord& record);
  void SendOrder(Time now, EngineState& state, const OrderRecord& record);
  void OnOrderResponse(const Address& engine, const HttpResponse& response);
  RoleSnapshot TakeRoleSnapshot(Time now) const;
  void DecideRoles(Time now);
  void WriteChosenRole(const Address& engine, const std::string& role);
  void FillHeartbeat(wire::Heartbeat& heartbeat);
  void FillDump(Json& dump) const;
  bool OnAdmin(const Exchange& exchange);
  Json Status() const;

  Node& node_;
  LeaseSocketGuard socket_guard_;
  NoteApi note_api_;
  FleetRows rows_;
  EngineShards shards_;
  RoleController role_controller_;
  std::map<Address, EngineState> engines_;
  EnginePoller report_poller_;
  /// True while a write of the chosen roles awaits its result.
  bool roles_write_pending_ = false;
  bool stopping_ = false;
  Time stop_start_time_{};
  EventHandle tick_timer_;
  EventHandle fleet_rows_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_FLEET_SERVER_H_
