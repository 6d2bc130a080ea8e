// The split of engines between the two roles.
#include "corianderlink/Gateway/role_planner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace corianderlink {
namespace {

constexpr double kMsPerSecond = 1000;
// Links and slots beyond this share of use delay what waits for them.
constexpr double kUsableLinkShare = 0.5;
constexpr double kUsableSlotShare = 0.8;
// With fewer engines each role needs those that it has.
constexpr size_t kFewestEngines = 4;

// The engine of role `from` that is missed least: one of the zone that has
// most of them, with the fewest requests.
const EngineSnapshot* LeastMissed(const std::vector<EngineSnapshot>& engines,
                                  UpstreamRole from) {
  std::map<ZoneId, int> in_zone;
  for (const EngineSnapshot& engine : engines) {
    if (engine.role == from) ++in_zone[engine.zone];
  }
  const EngineSnapshot* best = nullptr;
  for (const EngineSnapshot& engine : engines) {
    if (engine.role != from || engine.in_trouble) continue;
    if (best == nullptr) {
      best = &engine;
      continue;
    }
    const int here = in_zone[engine.zone];
    const int there = in_zone[best->zone];
    if (here > there || (here == there && engine.requests < best->requests)) {
      best = &engine;
    }
  }
  return best;
}

}  // namespace

double RolePlanner::Load(const ServiceDemand& demand, double prefill,
                         double decode, double slots) const {
  const double prefill_load = demand.prefill_ms_per_s / kMsPerSecond / prefill;
  const double link_load =
      demand.handover_ms_per_s / kMsPerSecond / kUsableLinkShare;
  const double slot_load = demand.generating / (slots * kUsableSlotShare);
  return std::max(prefill_load, (link_load + slot_load) / decode);
}

void RolePlanner::NoteMembership(Time now,
                                 const std::vector<EngineSnapshot>& engines) {
  std::vector<UpstreamId> members;
  for (const EngineSnapshot& engine : engines) members.push_back(engine.id);
  std::sort(members.begin(), members.end());
  if (members == members_ && !TooMuchTrouble(engines)) return;
  members_ = std::move(members);
  settled_since_ = now;
}

bool RolePlanner::TooMuchTrouble(
    const std::vector<EngineSnapshot>& engines) const {
  const auto troubled = static_cast<double>(
      std::count_if(engines.begin(), engines.end(),
                    [](const auto& engine) { return engine.in_trouble; }));
  return troubled >
         static_cast<double>(engines.size()) * limits_.tolerated_trouble;
}

std::vector<RoleChange> RolePlanner::Plan(
    Time now, const ServiceDemand& demand,
    const std::vector<EngineSnapshot>& engines) {
  NoteMembership(now, engines);
  if (demand.prefill_ms_per_s <= 0) return {};
  if (!first_demand_) first_demand_ = now;
  const size_t count = engines.size();
  if (count < kFewestEngines) return {};
  if (now - *first_demand_ < limits_.warm_up) return {};
  if (now - settled_since_ < limits_.settle) return {};

  double slots = 0;
  double decode = 0;
  for (const EngineSnapshot& engine : engines) {
    slots += engine.slots;
    if (engine.role == UpstreamRole::kDecode) ++decode;
  }
  const auto total = static_cast<double>(count);
  slots /= total;
  const double prefill = total - decode;
  const double fewest_decode =
      std::max(1.0, std::ceil(total * limits_.min_decode_share));
  const double present =
      prefill < 1 || decode < 1 ? 1e9 : Load(demand, prefill, decode, slots);
  if (present < limits_.min_load) return {};

  double best_decode = decode;
  double best_load = present;
  for (double d = fewest_decode; d <= total - 1; ++d) {
    const double load = Load(demand, total - d, d, slots);
    if (load >= best_load) continue;
    best_load = load;
    best_decode = d;
  }
  if (best_load > present * (1 - limits_.min_gain)) return {};
  const UpstreamRole to =
      best_decode < decode ? UpstreamRole::kPrefill : UpstreamRole::kDecode;
  const bool reversal = last_direction_ && *last_direction_ != to;
  if (reversal && now - last_change_ < limits_.reversal_dwell) return {};
  const double share_at_once = present < limits_.calm_load
                                   ? limits_.max_share_at_once
                                   : limits_.max_share_under_load;
  const double at_once = std::floor(total * share_at_once);
  const double wanted = std::abs(best_decode - decode);
  return Choose(engines, to, std::max(1.0, std::min(wanted, at_once)));
}

std::vector<RoleChange> RolePlanner::Choose(std::vector<EngineSnapshot> engines,
                                            UpstreamRole to, double count) {
  const UpstreamRole from = to == UpstreamRole::kPrefill
                                ? UpstreamRole::kDecode
                                : UpstreamRole::kPrefill;
  std::vector<RoleChange> changes;
  while (static_cast<double>(changes.size()) < count) {
    const EngineSnapshot* engine = LeastMissed(engines, from);
    if (engine == nullptr) break;
    changes.push_back({engine->id, to});
    std::erase_if(engines, [id = engine->id](const EngineSnapshot& other) {
      return other.id == id;
    });
  }
  return changes;
}

void RolePlanner::OnOrdered(Time now, const RoleChange& change) {
  last_direction_ = change.role;
  last_change_ = now;
}

}  // namespace corianderlink
