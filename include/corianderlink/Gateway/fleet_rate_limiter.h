// Keeps the rate limits of upstreams over all gateways together.
#ifndef CORIANDERLINK_GATEWAY_FLEET_RATE_LIMITER_H_
#define CORIANDERLINK_GATEWAY_FLEET_RATE_LIMITER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "corianderlink/Gateway/permit_allocator.h"
#include "corianderlink/Gateway/upstream_limits.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/random.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// The gateways as this one sees them.
struct FleetView {
  /// Address of this gateway for messages of peers.
  Address self;
  /// Gateways that serve and are not leaving, this one included.
  std::vector<Address> members;
  /// Gateways with a recent heartbeat, this one included, without those that
  /// have said that they are leaving.
  size_t known = 1;
  /// Time in which all gateways learn of a change.
  Duration settle{};

  bool operator==(const FleetView&) const = default;
};

/// Asks the gateway that keeps an upstream's limit for permits.
struct PermitRequest {
  uint64_t number = 0;
  /// The limit as the asking gateway knows it.
  RateLimitNotice limit;
  PermitDemand demand;
};

struct PermitReply {
  /// Number of the request that this answers.
  uint64_t number = 0;
  UpstreamId upstream;
  PermitGrant grant;
};

/// Properties of a request that count for a rate-limited upstream.
struct RateLimitQuery {
  /// 0 is the most urgent.
  int priority = 0;
  /// The request was denied too often and goes to unlimited upstreams only.
  bool avoid_limited = false;
};

/// Answers the load of many gateways on an upstream that takes few requests.
///
/// Each request to a rate-limited upstream needs a permit.  For each upstream
/// one gateway, which all compute alike from the members, has the token bucket
/// and grants permits; the others ask it when they have a request.  So any
/// gateway can use the whole limit, and no gateway needs a part of a request.
///
/// Views of the members may differ.  A gateway grants only where it is the
/// right one in its own view, and only after a settling time.  A gateway that
/// sees at most half of the known ones grants a smaller part of the limit, so
/// that the two sides of a partition stay below one and a half times the limit.
class FleetRateLimiter {
 public:
  using PermitCallback = std::function<void(bool granted)>;

  /// Numbers of requests begin at random: replies go to an address, at which an
  /// earlier process may have asked.
  explicit FleetRateLimiter(RandomSource& random)
      : next_number_(random.Bits()) {}

  /// Sets the members; replaces the earlier view.
  void SetView(FleetView view);
  const FleetView& view() const { return view_; }

  /// Limits that upstreams have named.
  UpstreamLimits& limits() { return limits_; }
  const UpstreamLimits& limits() const { return limits_; }

  /// True if the upstream can't get such a request now.
  bool Blocks(Time now, const UpstreamRecord& upstream,
              const RateLimitQuery& query) const;
  /// When the upstream may get such a request again, if `Blocks` is true for a
  /// permit that was denied.
  std::optional<Time> BlockedUntil(Time now, const UpstreamId& upstream,
                                   int priority) const;
  /// Calls `done`, at once or later, with whether the request may be sent to
  /// the upstream now.
  void Acquire(Time now, const UpstreamRecord& upstream, int priority,
               PermitCallback done);

  /// A peer asks for permits.
  PermitReply OnRequest(Time now, const PermitRequest& request);
  /// A peer has answered a request of this gateway.
  void OnReply(Time now, const PermitReply& reply);
  /// Denies the permits that no peer has answered in time.
  void Update(Time now);
  /// True if a request of this gateway is unanswered.
  bool HasPending() const { return !pending_.empty(); }

  /// Sends a request to the gateway at `to`.
  std::function<void(const Address& to, const PermitRequest&)> send_request;

  /// Drops the state of upstreams for which `gone` returns true.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    limits_.ForgetIf(gone);
    allocator_.ForgetIf(gone);
    std::erase_if(blocked_,
                  [&](const auto& entry) { return gone(entry.first); });
  }

  /// Permits denied by this gateway or a peer since the start.
  uint64_t denials() const { return denials_; }

  /// Requests without an answer for this long are denied.
  static constexpr Duration kReplyTimeout = milliseconds(50);
  /// Requests of a higher number have this priority.
  static constexpr int kLeastUrgent = 15;

 private:
  struct Waiter {
    int priority = 0;
    PermitCallback done;
  };
  /// A request for permits that was sent and not answered.
  struct Pending {
    uint64_t number = 0;
    Time sent_at{};
    uint32_t asked = 0;
    /// The waiters that arrived since come after the first `asked` ones.
    std::vector<Waiter> waiters;
    UpstreamRecord upstream;
  };

  /// The gateway that keeps the upstream's limit; empty without members.
  std::optional<Address> Keeper(const UpstreamId& upstream) const;
  bool IsOwnKeeper(const UpstreamId& upstream) const;
  PermitGrant TakeOwn(Time now, const UpstreamRecord& upstream,
                      const PermitDemand& demand);
  /// Part of a limit that this gateway may grant.
  double GrantedShare() const;
  void Send(Time now, const Address& keeper, Pending& pending);
  void Block(Time now, const UpstreamId& upstream, int priority,
             Duration duration);
  /// Asks for the permits of several waiters at once.
  void AcquireAll(Time now, const UpstreamRecord& upstream,
                  std::vector<Waiter> waiters);
  /// Ends the present request and continues with the later waiters.
  void Settle(Time now, const UpstreamId& upstream, const PermitGrant& grant);

  FleetView view_;
  UpstreamLimits limits_;
  PermitAllocator allocator_;
  std::map<UpstreamId, Pending> pending_;
  // When requests of a priority, or less urgent ones, may ask again.
  std::map<UpstreamId, std::map<int, Time>> blocked_;
  uint64_t next_number_;
  uint64_t denials_ = 0;
  // Hashes of the members' addresses, in the order of the members.
  std::vector<uint64_t> member_hashes_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_FLEET_RATE_LIMITER_H_
