#include "corianderlink/Fleet/fleet_rows.h"

#include "corianderlink/Support/json_reader.h"

namespace corianderlink {
namespace {

constexpr char kFleetPrefix[] = "fleet/";
constexpr char kTransitionKey[] = "fleet/transition";
constexpr char kRolesKey[] = "fleet/roles";

}  // namespace

void FleetRows::Read() {
  table_.ReadPrefix(kFleetPrefix,
                    [this](const ReadResult& result) { OnRead(result); });
}

void FleetRows::OnRead(const ReadResult& result) {
  if (!result.rows) return;
  read_ = true;
  transitioning_engine_.clear();
  transition_version_ = 0;
  for (const TableRow& row : *result.rows) {
    if (row.key == kTransitionKey) {
      transitioning_engine_ = row.value;
      transition_version_ = row.version;
    }
    if (row.key == kRolesKey) OnRolesRow(row);
  }
}

void FleetRows::OnRolesRow(const TableRow& row) {
  if (row.version < roles_version_) return;
  const Json json = ParseJson(row.value);
  if (!json.is_object()) return;
  roles_version_ = row.version;
  chosen_roles_.clear();
  for (const auto& [text, role] : json.items()) {
    const auto address = Address::Parse(text);
    if (address && role.is_string()) {
      chosen_roles_[*address] = role.get<std::string>();
    }
  }
}

bool FleetRows::MayInterrupt(const Address& engine) const {
  return read_ && (transitioning_engine_.empty() ||
                   transitioning_engine_ == engine.ToString());
}

void FleetRows::AddTransition(TableTransaction& txn,
                              const std::optional<Address>& engine) const {
  txn.conditions.push_back({kTransitionKey, transition_version_});
  txn.writes.push_back(
      {kTransitionKey,
       engine ? std::optional<std::string>(engine->ToString()) : std::nullopt});
}

void FleetRows::OnTransition(const std::optional<Address>& engine,
                             RowVersion version) {
  transitioning_engine_ = engine ? engine->ToString() : "";
  transition_version_ = version;
}

std::string FleetRows::RoleOf(const Address& engine) const {
  const auto chosen = chosen_roles_.find(engine);
  return chosen == chosen_roles_.end() ? "mixed" : chosen->second;
}

TableTransaction FleetRows::ChooseRole(const Address& engine,
                                       const std::string& role) const {
  Json roles = Json::object();
  for (const auto& [address, chosen] : chosen_roles_) {
    roles[address.ToString()] = chosen;
  }
  roles[engine.ToString()] = role;
  TableTransaction txn;
  txn.conditions.push_back({kRolesKey, roles_version_});
  txn.writes.push_back({kRolesKey, roles.dump()});
  return txn;
}

}  // namespace corianderlink
