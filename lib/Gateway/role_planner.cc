// Split of a service's engines between prefill and decode.
#include "corianderlink/Gateway/role_planner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace corianderlink {
namespace {

constexpr double kMsPerSecond = 1000;
// Links and slots that are used beyond these fractions delay waiting requests.
constexpr double kUsableLinkFraction = 0.5;
constexpr double kUsableSlotFraction = 0.8;
// With fewer engines, each role needs those that it has.
constexpr size_t kMinEngines = 4;

// Streams go on at their version only, so each version keeps a decode engine.
bool IsLastDecodeEngine(const EngineSnapshot& engine,
                        const std::vector<EngineSnapshot>& engines) {
  if (engine.role != UpstreamRole::kDecode) return false;
  return std::none_of(engines.begin(), engines.end(), [&](const auto& other) {
    return other.id != engine.id && other.version == engine.version &&
           other.role == UpstreamRole::kDecode;
  });
}

// A prefill engine of a version that has several engines, none of them for
// decoding; null if there is none.
const EngineSnapshot* EngineOfVersionWithoutDecode(
    const std::vector<EngineSnapshot>& engines) {
  std::map<SoftwareVersion, int> decode_counts;
  std::map<SoftwareVersion, const EngineSnapshot*> candidates;
  std::map<SoftwareVersion, int> counts;
  for (const EngineSnapshot& engine : engines) {
    ++counts[engine.version];
    if (engine.role == UpstreamRole::kDecode) ++decode_counts[engine.version];
    if (!engine.unhealthy) candidates[engine.version] = &engine;
  }
  for (const auto& [version, engine] : candidates) {
    if (decode_counts[version] == 0 && counts[version] > 1) return engine;
  }
  return nullptr;
}

// The engine of role `from` whose reassignment costs least: one of the zone
// with the most engines of this role, with the fewest requests.  Null if there
// is no healthy one.
const EngineSnapshot* CheapestToReassign(
    const std::vector<EngineSnapshot>& engines, UpstreamRole from) {
  std::map<ZoneId, int> zone_counts;
  for (const EngineSnapshot& engine : engines) {
    if (engine.role == from) ++zone_counts[engine.zone];
  }
  const EngineSnapshot* best = nullptr;
  for (const EngineSnapshot& engine : engines) {
    if (engine.role != from || engine.unhealthy) continue;
    if (IsLastDecodeEngine(engine, engines)) continue;
    if (best == nullptr) {
      best = &engine;
      continue;
    }
    const int engines_in_zone = zone_counts[engine.zone];
    const int engines_in_best_zone = zone_counts[best->zone];
    if (engines_in_zone > engines_in_best_zone ||
        (engines_in_zone == engines_in_best_zone &&
         engine.requests < best->requests)) {
      best = &engine;
    }
  }
  return best;
}

}  // namespace

double RolePlanner::BusierRoleLoad(const ServiceDemand& demand, double prefill,
                                   double decode, double slots) const {
  const double prefill_load = demand.prefill_ms_per_s / kMsPerSecond / prefill;
  const double link_load =
      demand.handover_ms_per_s / kMsPerSecond / kUsableLinkFraction;
  const double slot_load = demand.generating / (slots * kUsableSlotFraction);
  return std::max(prefill_load, (link_load + slot_load) / decode);
}

void RolePlanner::UpdateMembership(Time now,
                                   const std::vector<EngineSnapshot>& engines) {
  std::vector<UpstreamId> members;
  for (const EngineSnapshot& engine : engines) members.push_back(engine.id);
  std::sort(members.begin(), members.end());
  if (members == members_ && !TooManyUnhealthy(engines)) return;
  members_ = std::move(members);
  stable_since_ = now;
}

bool RolePlanner::TooManyUnhealthy(
    const std::vector<EngineSnapshot>& engines) const {
  const auto unhealthy_count = static_cast<double>(
      std::count_if(engines.begin(), engines.end(),
                    [](const auto& engine) { return engine.unhealthy; }));
  return unhealthy_count > static_cast<double>(engines.size()) *
                               limits_.tolerated_unhealthy_fraction;
}

std::vector<RoleChange> RolePlanner::Plan(
    Time now, const ServiceDemand& demand,
    const std::vector<EngineSnapshot>& engines) {
  UpdateMembership(now, engines);
  if (demand.prefill_ms_per_s <= 0) return {};
  if (!first_demand_at_) first_demand_at_ = now;
  const size_t count = engines.size();
  if (count < kMinEngines) return {};
  if (now - *first_demand_at_ < limits_.warm_up) return {};
  if (const auto* engine = EngineOfVersionWithoutDecode(engines)) {
    return {{engine->id, UpstreamRole::kDecode}};
  }
  if (now - stable_since_ < limits_.stable_time) return {};

  double slots = 0;
  double decode = 0;
  for (const EngineSnapshot& engine : engines) {
    slots += engine.slots;
    if (engine.role == UpstreamRole::kDecode) ++decode;
  }
  const auto total = static_cast<double>(count);
  slots /= total;
  const double prefill = total - decode;
  const double min_decode_fraction =
      std::lerp(limits_.min_decode_fraction, limits_.min_mixed_decode_fraction,
                demand.decode_prefill);
  const double min_decode =
      std::max(1.0, std::ceil(total * min_decode_fraction));
  const double current_load =
      prefill < 1 || decode < 1
          ? 1e9
          : BusierRoleLoad(demand, prefill, decode, slots);
  if (current_load < limits_.min_load) return {};

  double best_decode = decode;
  double best_load = current_load;
  for (double d = min_decode; d <= total - 1; ++d) {
    const double load = BusierRoleLoad(demand, total - d, d, slots);
    if (load >= best_load) continue;
    best_load = load;
    best_decode = d;
  }
  if (best_load > current_load * (1 - limits_.min_gain)) return {};
  const UpstreamRole to =
      best_decode < decode ? UpstreamRole::kPrefill : UpstreamRole::kDecode;
  const bool reversal = last_direction_ && *last_direction_ != to;
  if (reversal && now - last_change_ < limits_.reversal_dwell) return {};
  const double max_fraction = current_load < limits_.low_load
                                  ? limits_.max_fraction_at_low_load
                                  : limits_.max_fraction_under_load;
  const double max_changes = std::floor(total * max_fraction);
  const double needed_changes = std::abs(best_decode - decode);
  return SelectChanges(engines, to,
                       std::max(1.0, std::min(needed_changes, max_changes)));
}

std::vector<RoleChange> RolePlanner::SelectChanges(
    std::vector<EngineSnapshot> engines, UpstreamRole to, double count) {
  const UpstreamRole from = to == UpstreamRole::kPrefill
                                ? UpstreamRole::kDecode
                                : UpstreamRole::kPrefill;
  std::vector<RoleChange> changes;
  while (static_cast<double>(changes.size()) < count) {
    const EngineSnapshot* engine = CheapestToReassign(engines, from);
    if (engine == nullptr) break;
    changes.push_back({engine->id, to});
    for (EngineSnapshot& other : engines) {
      if (other.id == changes.back().engine) other.role = to;
    }
  }
  return changes;
}

void RolePlanner::OnOrdered(Time now, const RoleChange& change) {
  last_direction_ = change.role;
  last_change_ = now;
}

}  // namespace corianderlink
