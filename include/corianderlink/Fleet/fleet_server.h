// The fleet process: release notes, orders to engines, roles.
#ifndef CORIANDERLINK_FLEET_FLEET_SERVER_H_
#define CORIANDERLINK_FLEET_FLEET_SERVER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Authority/lease_holder.h"
#include "corianderlink/Authority/order_gate.h"
#include "corianderlink/Fleet/engine_state.h"
#include "corianderlink/Fleet/note_api.h"
#include "corianderlink/Fleet/role_controller.h"
#include "corianderlink/Node/engine_poller.h"
#include "corianderlink/Node/node.h"

namespace corianderlink {

class FleetServer {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  explicit FleetServer(Node& node);

  bool Start();
  /// Gives the leases back and stops the loop.
  void BeginStop();

 private:
  /// One shard of the engines and its lease.
  struct Shard {
    std::unique_ptr<LeaseHolder> lease;
    /// The order rows were read since the lease was taken.
    bool rows_read = false;
    FencingNumber rows_fencing = 0;
  };

  /// Engines whose role is chosen by the controller, and their demand.
  struct RoleSnapshot {
    RoleView view;
    RoleDemand demand;
    std::vector<const EngineState*> engines;
  };

  void Tick();
  void DriveLease(Shard& shard);
  void ChooseShards(Time now);
  size_t ShardOf(const Address& engine) const;
  bool Holds(Time now, const Address& engine) const;
  void ReadOrders(size_t index);
  void ReadOrder(const Address& engine);
  void OnOrderRow(const TableRow& row);
  void ReadFleetRows();
  void OnRelease();
  void OnReport(const Address& engine, Time asked, const std::string& body);
  void UpdateTargets();

  void Reconcile(Time now, EngineState& keeper);
  std::optional<EngineConfig> WantedConfig(const EngineState& keeper) const;
  bool MayInterrupt(const EngineState& keeper) const;
  void Record(EngineState& keeper, const OrderRecord& record);
  void SendOrder(Time now, EngineState& keeper, const OrderRecord& record);
  void OnOrderAnswer(const Address& engine, const HttpResponse& response);
  RoleSnapshot TakeRoleSnapshot(Time now) const;
  void DecideRoles(Time now);
  void RecordRole(const Address& engine, const std::string& role);
  void FillHeartbeat(wire::Heartbeat& heartbeat);
  void FillDump(Json& dump) const;
  bool OnAdmin(const Exchange& exchange);
  Json Status() const;

  Node& node_;
  OrderGate gate_;
  NoteApi notes_;
  RoleController roles_;
  std::vector<Shard> shards_;
  std::map<Address, EngineState> keepers_;
  EnginePoller reports_;
  /// Roles chosen for engines whose declared role is auto.
  std::map<Address, std::string> chosen_roles_;
  RowVersion roles_version_ = 0;
  /// Address of the one engine in transition, or empty.
  std::string transition_;
  RowVersion transition_version_ = 0;
  bool fleet_rows_read_ = false;
  bool roles_busy_ = false;
  bool stopping_ = false;
  Time stop_began_{};
  EventHandle tick_timer_;
  EventHandle rows_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_FLEET_SERVER_H_
