// Keeps the rate limits of upstreams over all gateways together.
#include "corianderlink/Gateway/fleet_rate_limiter.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "corianderlink/Support/hash.h"

namespace corianderlink {
namespace {

// Part of a limit that a gateway grants if it sees at most half of the others.
// Together with a whole limit on the other side of a partition it stays well
// below one and a half.
constexpr double kMinorityShare = 0.35;
// Pause after a denial of a gateway that does not keep the upstream's limit in
// its own view, or that did not answer.
constexpr Duration kRetryAfterNoAnswer = milliseconds(250);
constexpr Duration kRetryOtherView = milliseconds(100);
// Longest pause that a peer may ask for.
constexpr Duration kMaxRetry = seconds(2);
// Requests that wait for a permit at the same time: this many, and those of
// this many seconds at the limit.
constexpr double kMaxWaiters = 2;
constexpr double kMaxWaitingSeconds = 0.1;
constexpr uint32_t kMaxPermitsPerRequest = 64;

}  // namespace

void FleetRateLimiter::SetView(FleetView view) {
  if (view == view_) return;
  view_ = std::move(view);
  member_hashes_.clear();
  for (const Address& member : view_.members) {
    member_hashes_.push_back(Fnv1aHash(member.ToString()));
  }
  allocator_.ForgetIf(
      [this](const UpstreamId& upstream) { return !IsOwnKeeper(upstream); });
}

std::optional<Address> FleetRateLimiter::Keeper(
    const UpstreamId& upstream) const {
  // Rendezvous hashing: the member with the highest rank keeps the limit.
  const uint64_t hash = Fnv1aHash(upstream.value());
  const auto best =
      std::max_element(member_hashes_.begin(), member_hashes_.end(),
                       [hash](uint64_t a, uint64_t b) {
                         return MixBits(hash ^ a) < MixBits(hash ^ b);
                       });
  if (best == member_hashes_.end()) return std::nullopt;
  return view_.members[static_cast<size_t>(best - member_hashes_.begin())];
}

bool FleetRateLimiter::IsOwnKeeper(const UpstreamId& upstream) const {
  return Keeper(upstream) == view_.self;
}

double FleetRateLimiter::GrantedShare() const {
  return 2 * view_.members.size() > view_.known ? 1 : kMinorityShare;
}

bool FleetRateLimiter::Blocks(Time now, const UpstreamRecord& upstream,
                              const RateLimitQuery& query) const {
  const auto per_second = limits_.PerSecond(upstream);
  if (!per_second) return false;
  if (query.avoid_limited) return true;
  if (BlockedUntil(now, upstream.id, query.priority)) return true;
  const auto pending = pending_.find(upstream.id);
  if (pending == pending_.end()) return false;
  return static_cast<double>(pending->second.waiters.size()) >=
         kMaxWaiters + kMaxWaitingSeconds * *per_second;
}

std::optional<Time> FleetRateLimiter::BlockedUntil(Time now,
                                                   const UpstreamId& upstream,
                                                   int priority) const {
  const auto it = blocked_.find(upstream);
  if (it == blocked_.end()) return std::nullopt;
  std::optional<Time> until;
  for (const auto& [denied, end] : it->second) {
    if (denied > priority) break;
    if (end > now) until = std::max(until.value_or(end), end);
  }
  return until;
}

void FleetRateLimiter::Block(Time now, const UpstreamId& upstream, int priority,
                             Duration duration) {
  ++denials_;
  const Duration bounded =
      std::clamp<Duration>(duration, Duration::zero(), kMaxRetry);
  blocked_[upstream][priority] = now + bounded;
}

void FleetRateLimiter::Acquire(Time now, const UpstreamRecord& upstream,
                               int priority, PermitCallback done) {
  if (!limits_.PerSecond(upstream)) {
    done(true);
    return;
  }
  priority = std::clamp(priority, 0, kLeastUrgent);
  const auto keeper = Keeper(upstream.id);
  if (!keeper || *keeper == view_.self) {
    const PermitGrant grant = TakeOwn(now, upstream, {1, priority});
    if (grant.granted == 0) {
      Block(now, upstream.id, priority, grant.retry_after);
    }
    done(grant.granted > 0);
    return;
  }
  Pending& pending = pending_[upstream.id];
  pending.upstream = upstream;
  pending.waiters.push_back({priority, std::move(done)});
  if (pending.asked == 0) Send(now, *keeper, pending);
}

void FleetRateLimiter::Send(Time now, const Address& keeper, Pending& pending) {
  std::stable_sort(
      pending.waiters.begin(), pending.waiters.end(),
      [](const Waiter& a, const Waiter& b) { return a.priority < b.priority; });
  pending.number = next_number_++;
  pending.sent_at = now;
  pending.asked = static_cast<uint32_t>(
      std::min<size_t>(pending.waiters.size(), kMaxPermitsPerRequest));
  PermitRequest request;
  request.number = pending.number;
  request.limit = *limits_.Find(pending.upstream);
  request.demand = {pending.asked, pending.waiters.front().priority};
  if (send_request) send_request(keeper, request);
}

PermitGrant FleetRateLimiter::TakeOwn(Time now, const UpstreamRecord& upstream,
                                      const PermitDemand& demand) {
  const auto per_second = limits_.PerSecond(upstream);
  if (!per_second) return {demand.count, Duration::zero()};
  return allocator_.Take(now, upstream.id, *per_second * GrantedShare(),
                         view_.settle, demand);
}

PermitReply FleetRateLimiter::OnRequest(Time now,
                                        const PermitRequest& request) {
  limits_.OnPeerNotices({request.limit});
  PermitReply reply;
  reply.number = request.number;
  reply.upstream = request.limit.upstream;
  if (!IsOwnKeeper(request.limit.upstream)) {
    reply.grant.retry_after = kRetryOtherView;
    return reply;
  }
  UpstreamRecord upstream;
  upstream.id = request.limit.upstream;
  upstream.started_ms = request.limit.started_ms;
  const PermitDemand demand{
      std::min(request.demand.count, kMaxPermitsPerRequest),
      std::clamp(request.demand.priority, 0, kLeastUrgent)};
  reply.grant = TakeOwn(now, upstream, demand);
  return reply;
}

void FleetRateLimiter::OnReply(Time now, const PermitReply& reply) {
  const auto it = pending_.find(reply.upstream);
  if (it == pending_.end() || it->second.number != reply.number) return;
  // A permit is for the time at which it was asked for.
  if (now - it->second.sent_at > kReplyTimeout) return;
  Settle(now, reply.upstream, reply.grant);
}

void FleetRateLimiter::Update(Time now) {
  std::vector<UpstreamId> late;
  for (const auto& [upstream, pending] : pending_) {
    if (now - pending.sent_at > kReplyTimeout) late.push_back(upstream);
  }
  for (const UpstreamId& upstream : late) {
    Settle(now, upstream, {0, kRetryAfterNoAnswer});
  }
}

void FleetRateLimiter::Settle(Time now, const UpstreamId& upstream,
                              const PermitGrant& grant) {
  auto node = pending_.extract(upstream);
  Pending& pending = node.mapped();
  const size_t asked = std::min<size_t>(pending.asked, pending.waiters.size());
  const size_t granted = std::min<size_t>(grant.granted, asked);
  const auto first_later =
      pending.waiters.begin() + static_cast<std::ptrdiff_t>(asked);
  std::vector<Waiter> later(std::make_move_iterator(first_later),
                            std::make_move_iterator(pending.waiters.end()));
  pending.waiters.erase(first_later, pending.waiters.end());
  if (granted < asked) {
    Block(now, upstream, pending.waiters[granted].priority, grant.retry_after);
  } else {
    // The callbacks may ask again, so this comes before they run.
    AcquireAll(now, pending.upstream, std::exchange(later, {}));
  }
  for (size_t i = 0; i < asked; ++i) pending.waiters[i].done(i < granted);
  for (Waiter& waiter : later) waiter.done(false);
}

void FleetRateLimiter::AcquireAll(Time now, const UpstreamRecord& upstream,
                                  std::vector<Waiter> waiters) {
  const auto keeper = Keeper(upstream.id);
  const bool asks_peer =
      limits_.PerSecond(upstream) && keeper && *keeper != view_.self;
  if (!asks_peer) {
    for (Waiter& waiter : waiters) {
      Acquire(now, upstream, waiter.priority, std::move(waiter.done));
    }
    return;
  }
  if (waiters.empty()) return;
  Pending& pending = pending_[upstream.id];
  pending.upstream = upstream;
  pending.waiters = std::move(waiters);
  Send(now, *keeper, pending);
}

}  // namespace corianderlink
