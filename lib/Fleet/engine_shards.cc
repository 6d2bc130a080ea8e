#include "corianderlink/Fleet/engine_shards.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "corianderlink/Support/hash.h"

namespace corianderlink {
namespace {

constexpr size_t kShardCount = 4;

std::string ShardRowKey(size_t index) {
  return "leases/shard-" + std::to_string(index);
}

LeaseTiming MakeLeaseTiming(const NodeSettings& settings) {
  LeaseTiming timing;
  timing.lease = settings.timing.lease;
  timing.guard = settings.timing.lease_guard;
  timing.renew_after = settings.timing.lease / 3;
  timing.poll = settings.timing.lease / 6;
  return timing;
}

// Rendezvous hashing (Thaler and Ravishankar, 1998).
std::string SelectHolder(const std::string& row_key,
                         const std::vector<std::string>& candidates) {
  std::string best;
  uint64_t best_hash = 0;
  for (const std::string& candidate : candidates) {
    const uint64_t hash = StableHash(row_key + candidate);
    if (!best.empty() && hash <= best_hash) continue;
    best = candidate;
    best_hash = hash;
  }
  return best;
}

}  // namespace

EngineShards::EngineShards(Node& node) : node_(node) {
  for (size_t i = 0; i < kShardCount; ++i) {
    Shard shard;
    shard.lease = std::make_unique<LeaseClient>(
        ShardRowKey(i), node_.self(), MakeLeaseTiming(node_.settings()),
        [&node] { return node.random().HexId(); });
    shard.lease->SetCandidate(false);
    shards_.push_back(std::move(shard));
  }
}

size_t EngineShards::IndexOf(const Address& engine) {
  return StableHash(engine.ToString()) % kShardCount;
}

// Spreads the shards over the live fleet processes.  The result only selects
// which process tries to acquire a lease; safety rests on the lease alone.
void EngineShards::UpdateCandidacy(Time now, bool stopping) {
  const std::string& self = node_.settings().instance;
  std::vector<std::string> candidates;
  if (!stopping) candidates.push_back(self);
  for (const PeerState* peer : node_.peers().Live(now, "fleet")) {
    if (!peer->heartbeat.leaving()) {
      candidates.push_back(peer->heartbeat.instance());
    }
  }
  for (Shard& shard : shards_) {
    const std::string holder = SelectHolder(shard.lease->row_key(), candidates);
    shard.lease->SetCandidate(!stopping && holder == self);
  }
}

void EngineShards::AdvanceLease(size_t index) {
  LeaseClient* lease = shards_[index].lease.get();
  LeaseAction action = lease->Next(BootClock::now());
  switch (action.kind) {
    case LeaseAction::Kind::kNone:
      return;
    case LeaseAction::Kind::kRead:
      node_.table().ReadPrefix(lease->row_key(),
                               [lease](const ReadResult& result) {
                                 lease->OnRead(BootClock::now(), result);
                               });
      return;
    case LeaseAction::Kind::kCommit:
      node_.table().Commit(action.txn, [lease](const CommitResult& result) {
        lease->OnCommit(BootClock::now(), result);
      });
      return;
  }
}

bool EngineShards::HoldsNone() const {
  return std::none_of(shards_.begin(), shards_.end(), [&](const Shard& s) {
    return s.lease->observed().holder == node_.self();
  });
}

bool EngineShards::MayOrder(Time now, const Address& engine) const {
  const Shard& shard = shards_[IndexOf(engine)];
  return shard.lease->IsHeld(now) && shard.orders_read;
}

bool EngineShards::NeedsOrders(Time now, size_t index) {
  Shard& shard = shards_[index];
  if (!shard.lease->IsHeld(now)) {
    shard.orders_read = false;
    return false;
  }
  return !shard.orders_read || shard.orders_fencing != shard.lease->fencing();
}

FencingToken EngineShards::BeginRead(size_t index) {
  Shard& shard = shards_[index];
  shard.orders_fencing = shard.lease->fencing();
  shard.orders_read = false;
  return shard.orders_fencing;
}

bool EngineShards::IsCurrentRead(size_t index, FencingToken fencing) const {
  return shards_[index].orders_fencing == fencing;
}

void EngineShards::EndRead(size_t index, bool succeeded) {
  Shard& shard = shards_[index];
  if (succeeded) {
    shard.orders_read = true;
  } else {
    shard.orders_fencing = 0;
  }
}

void EngineShards::ForgetOrders(const Address& engine) {
  shards_[IndexOf(engine)].orders_read = false;
}

Json EngineShards::Dump(Time now) const {
  Json shards = Json::array();
  for (const Shard& shard : shards_) {
    shards.push_back({{"row", shard.lease->row_key()},
                      {"held", shard.lease->IsHeld(now)},
                      {"fencing", shard.lease->fencing()},
                      {"holder", shard.lease->observed().holder.value()},
                      {"rows_read", shard.orders_read}});
  }
  return shards;
}

}  // namespace corianderlink
