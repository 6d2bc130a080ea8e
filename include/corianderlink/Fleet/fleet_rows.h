// The rows that all fleet processes share: the engine in transition and the
// chosen roles.
#ifndef CORIANDERLINK_FLEET_FLEET_ROWS_H_
#define CORIANDERLINK_FLEET_FLEET_ROWS_H_

#include <map>
#include <optional>
#include <string>

#include "corianderlink/Platform/http_table_store.h"
#include "corianderlink/Platform/table.h"
#include "corianderlink/Support/address.h"

namespace corianderlink {

/// The rows under "fleet/" as last read or written.
class FleetRows {
 public:
  /// `table` must outlive it.
  explicit FleetRows(HttpTableStore& table) : table_(table) {}

  /// Starts a read of the rows.
  void Read();
  /// True once the rows were read.
  bool read() const { return read_; }

  /// Address of the engine whose serving is being interrupted by an order, or
  /// empty.  At most one engine at a time, over all fleet processes.
  const std::string& transitioning_engine() const {
    return transitioning_engine_;
  }
  /// True if the rows are known to let an order interrupt `engine`'s serving.
  bool MayInterrupt(const Address& engine) const;
  /// Adds to `txn` the write after which `engine` is in transition, or none.
  void AddTransition(TableTransaction& txn,
                     const std::optional<Address>& engine) const;
  /// Takes over that write, which was committed as `version`.
  void OnTransition(const std::optional<Address>& engine, RowVersion version);

  /// Returns the role chosen for an engine declared with role auto.
  std::string RoleOf(const Address& engine) const;
  /// Returns the write that chooses `role` for `engine`.
  TableTransaction ChooseRole(const Address& engine,
                              const std::string& role) const;

 private:
  void OnRead(const ReadResult& result);
  void OnRolesRow(const TableRow& row);

  HttpTableStore& table_;
  bool read_ = false;
  std::string transitioning_engine_;
  RowVersion transition_version_ = 0;
  std::map<Address, std::string> chosen_roles_;
  RowVersion roles_version_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_FLEET_ROWS_H_
