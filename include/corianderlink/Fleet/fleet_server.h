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
#include "corianderlink/Fleet/role_assigner.h"
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
  /// Starts to release the leases; the loop stops once they are released and
  /// every administration request is answered, or after a timeout.  No notes
  /// are taken from now on.
  void BeginStop();

 private:
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
  void FillHeartbeat(wire::Heartbeat& heartbeat);
  void FillDump(Json& dump) const;
  bool OnAdmin(const Exchange& exchange);
  Json Status() const;

  Node& node_;
  LeaseSocketGuard socket_guard_;
  NoteApi note_api_;
  FleetRows rows_;
  EngineShards shards_;
  EngineStates engines_;
  RoleAssigner role_assigner_;
  EnginePoller report_poller_;
  bool stopping_ = false;
  Time stop_start_time_{};
  EventHandle tick_timer_;
  EventHandle fleet_rows_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_FLEET_SERVER_H_
