// The shards of the engines, each with its lease.
#ifndef CORIANDERLINK_FLEET_ENGINE_SHARDS_H_
#define CORIANDERLINK_FLEET_ENGINE_SHARDS_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "corianderlink/Authority/lease_client.h"
#include "corianderlink/Node/node.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/json_reader.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Divides the engines into shards.  Each shard has a lease in the table
/// service; only its holder writes and sends orders for the shard's engines,
/// once it has read the shard's order rows under that lease.
class EngineShards {
 public:
  /// `node` must outlive it.
  explicit EngineShards(Node& node);

  size_t size() const { return shards_.size(); }
  /// Returns the shard that `engine` belongs to.
  static size_t IndexOf(const Address& engine);
  LeaseClient& lease(size_t index) { return *shards_[index].lease; }
  LeaseClient& LeaseFor(const Address& engine) {
    return lease(IndexOf(engine));
  }

  /// Selects the shards whose leases this process tries to hold; none if it is
  /// `stopping`.
  void UpdateCandidacy(Time now, bool stopping);
  /// Starts the next request of the shard's lease, if one is due.
  void AdvanceLease(size_t index);
  /// True if the table service shows this process as the holder of no shard.
  bool HoldsNone() const;

  /// True if this process may decide on orders for `engine`.
  bool MayOrder(Time now, const Address& engine) const;
  /// Returns whether the shard's order rows have to be read.
  bool NeedsOrders(Time now, size_t index);
  /// Notes that a read of the order rows starts; returns the fencing token to
  /// pass in at its end.
  FencingToken BeginRead(size_t index);
  /// True if no read has started or failed since under another token.
  bool IsCurrentRead(size_t index, FencingToken fencing) const;
  /// Notes that the current read ended, and whether it returned the rows.
  void EndRead(size_t index, bool succeeded);
  /// Notes that an order row of `engine`'s shard has unknown contents.
  void ForgetOrders(const Address& engine);

  /// The shards' state for the diagnostic dump.
  Json Dump(Time now) const;

 private:
  /// One shard of the engines, with its lease.
  struct Shard {
    std::unique_ptr<LeaseClient> lease;
    /// True once the order rows were read under the present lease.  No order is
    /// written or sent before.
    bool orders_read = false;
    /// Fencing token of the lease at the start of the last read of the order
    /// rows; 0 if that read failed.
    FencingToken orders_fencing = 0;
  };

  Node& node_;
  std::vector<Shard> shards_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_FLEET_ENGINE_SHARDS_H_
