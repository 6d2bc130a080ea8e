// Carries out role changes of engines under a lease.
#include "corianderlink/Gateway/role_coordinator.h"

#include <memory>
#include <utility>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr int kHttpOk = 200;
constexpr char kLeaseKey[] = "roles";
constexpr Duration kTickInterval = milliseconds(100);
constexpr Duration kLeaseRenewAfter = seconds(1);
constexpr Duration kLeaseGuard = seconds(1);
constexpr Duration kLeasePollInterval = milliseconds(500);
// Time for heartbeats to reach the other gateways.
constexpr Duration kHoldPropagationTime = milliseconds(150);
// Timeout of a request to an engine.  An order is sent only if the lease
// remains valid for longer than this.
constexpr Duration kRequestTimeout = milliseconds(800);
// An accepted change is abandoned if the directory of upstreams does not show
// it within this time.
constexpr Duration kRoleChangeTimeout = seconds(10);
// An order without a response may still be carried out within this time, so no
// new change starts before it has passed.
constexpr Duration kLateOrderWindow = seconds(15);
// The lease is kept for this long after a change, because changes come in
// series.
constexpr Duration kLeaseLingerTime = seconds(2);

LeaseTiming MakeLeaseTiming(Duration lease_duration) {
  LeaseTiming timing;
  timing.lease = lease_duration;
  timing.guard = kLeaseGuard;
  timing.renew_after = std::min<Duration>(kLeaseRenewAfter, lease_duration / 3);
  timing.poll = kLeasePollInterval;
  return timing;
}

}  // namespace

RoleCoordinator::RoleCoordinator(EventLoop& loop, UpstreamPool& pool,
                                 RandomSource& random, const OrderCodec& codec,
                                 ProcessId self, Duration lease_duration,
                                 RoleCoordinatorCallbacks callbacks)
    : loop_(loop),
      pool_(pool),
      codec_(codec),
      self_(std::move(self)),
      lease_duration_(lease_duration),
      callbacks_(std::move(callbacks)),
      lease_(kLeaseKey, self_, MakeLeaseTiming(lease_duration),
             [&random] { return random.HexId(); }) {
  lease_.SetCandidate(false);
}

void RoleCoordinator::Start() {
  tick_timer_ = loop_.Every(kTickInterval, [this] { Tick(); });
}

void RoleCoordinator::Stop() {
  stopped_ = true;
  if (request_call_) request_call_->Cancel();
  request_call_.reset();
  request_timer_.Reset();
  ResetToIdle();
  lease_.SetCandidate(false);
}

void RoleCoordinator::Tick() {
  const Time now = BootClock::now();
  AdvanceLease(now);
  AdvanceStep(now);
}

void RoleCoordinator::AdvanceLease(Time now) {
  // After a restore, the store may have lost the lease of an earlier holder.
  const bool was_unclaimed = lease_.observed().holder.empty() &&
                             lease_.fencing_floor() == 0 &&
                             !lease_.after_restore();
  const LeaseAction action = lease_.Next(now);
  if (action.kind == LeaseAction::Kind::kRead) {
    callbacks_.read(kLeaseKey, [this](const ReadResult& result) {
      lease_.OnRead(BootClock::now(), result);
    });
  } else if (action.kind == LeaseAction::Kind::kCommit) {
    callbacks_.commit(action.txn,
                      [this, was_unclaimed](const CommitResult& result) {
                        if (!lease_held_since_) first_holder_ = was_unclaimed;
                        lease_.OnCommit(BootClock::now(), result);
                      });
  }
  if (!lease_.IsHeld(now)) {
    lease_held_since_.reset();
  } else if (!lease_held_since_) {
    lease_held_since_ = now;
    Log(LogLevel::kInfo, "lease_taken",
        {{"lease", kLeaseKey}, {"fencing", lease_.fencing()}});
  }
}

bool RoleCoordinator::CanSendOrder(Time now) const {
  if (!lease_held_since_ || !lease_.IsHeld(now + kRequestTimeout)) return false;
  return first_holder_ ||
         now - *lease_held_since_ >= lease_duration_ + kRequestTimeout;
}

void RoleCoordinator::EnterStep(Time now, Step step) {
  step_ = step;
  step_since_ = now;
}

void RoleCoordinator::AdvanceStep(Time now) {
  if (stopped_) return;
  const Duration time_in_step = now - step_since_;
  switch (step_) {
    case Step::kIdle: {
      const bool wanted = now >= backoff_until_ &&
                          callbacks_.is_candidate(now) &&
                          !callbacks_.plan_changes(now).empty();
      if (wanted) {
        lease_.SetCandidate(true);
        EnterStep(now, Step::kAcquireLease);
      } else if (time_in_step > kLeaseLingerTime ||
                 !callbacks_.is_candidate(now)) {
        lease_.SetCandidate(false);
      }
      return;
    }
    case Step::kAcquireLease:
      if (!callbacks_.is_candidate(now)) {
        ResetToIdle();
        return;
      }
      if (!CanSendOrder(now)) return;
      // The demand may have changed while the lease was being acquired.
      pending_changes_ = callbacks_.plan_changes(now);
      if (pending_changes_.empty()) {
        ResetToIdle();
        return;
      }
      HoldPendingEngines();
      EnterStep(now, Step::kHoldEngines);
      return;
    case Step::kHoldEngines:
      if (time_in_step < kHoldPropagationTime) return;
      EnterStep(now, Step::kSendOrders);
      OrderNextChange();
      return;
    case Step::kSendOrders:
      return;
    case Step::kAwaitChanges:
      CheckAcceptedChanges(now);
      return;
  }
}

void RoleCoordinator::HoldPendingEngines() {
  std::set<UpstreamId> held;
  for (const RoleChange& change : pending_changes_) held.insert(change.engine);
  callbacks_.set_held_engines(held);
}

void RoleCoordinator::CheckAcceptedChanges(Time now) {
  const auto is_complete = [this](const RoleChange& change) {
    const UpstreamRecord* engine = callbacks_.find_engine(change.engine);
    return engine == nullptr || engine->role == change.role;
  };
  std::erase_if(accepted_changes_, is_complete);
  if (accepted_changes_.empty()) {
    Log(LogLevel::kInfo, "roles_changed",
        {{"took_ms", ToMillis(now - step_since_)}});
    ResetToIdle();
    return;
  }
  if (now - step_since_ <= kRoleChangeTimeout) return;
  for (const RoleChange& change : accepted_changes_) {
    AbandonChange(change, "engine did not change its role before the timeout");
  }
  ResetToIdle();
}

void RoleCoordinator::OrderNextChange() {
  const Time now = BootClock::now();
  if (pending_changes_.empty()) {
    if (accepted_changes_.empty()) {
      ResetToIdle();
    } else {
      EnterStep(now, Step::kAwaitChanges);
    }
    return;
  }
  const RoleChange change = pending_changes_.back();
  pending_changes_.pop_back();
  const UpstreamRecord* engine = callbacks_.find_engine(change.engine);
  if (engine == nullptr) {
    AbandonChange(change, "engine is no longer in the directory");
    OrderNextChange();
    return;
  }
  SendRequest(codec_.encode_status_request(*engine),
              [this, change](int status, const std::string& body) {
                if (status == kHttpOk) {
                  OnStatus(change, body);
                  return;
                }
                AbandonChange(change, "engine status request failed");
                OrderNextChange();
              });
}

void RoleCoordinator::OnStatus(const RoleChange& change,
                               const std::string& body) {
  const std::optional<EngineStatus> status = codec_.decode_status(body);
  if (status && !status->busy) {
    SendOrder(change, *status);
    return;
  }
  AbandonChange(change, "engine is busy or its status is malformed");
  OrderNextChange();
}

void RoleCoordinator::SendOrder(const RoleChange& change,
                                const EngineStatus& status) {
  const UpstreamRecord* engine = callbacks_.find_engine(change.engine);
  // Read the clock right before sending: the process may have been suspended
  // since this step began.
  const Time now = BootClock::now();
  if (engine == nullptr || !CanSendOrder(now)) {
    AbandonChange(change, "engine left the directory or the lease ran out");
    OrderNextChange();
    return;
  }
  RoleOrder order;
  order.engine = *engine;
  order.role = change.role;
  order.holder = self_.value();
  order.fencing = lease_.fencing();
  order.expected_orders = status.orders_accepted;
  Log(LogLevel::kInfo, "role_ordered",
      {{"engine", change.engine.value()},
       {"role", change.role == UpstreamRole::kPrefill ? "prefill" : "decode"},
       {"fencing", order.fencing},
       {"expected", order.expected_orders},
       {"lease_left_ms", ToMillis(lease_.valid_until() - now)}});
  callbacks_.on_ordered(now, change);
  SendRequest(codec_.encode_order(order),
              [this, change](int http_status, const std::string&) {
                OnOrderResponse(change, http_status);
              });
}

void RoleCoordinator::OnOrderResponse(const RoleChange& change, int status) {
  constexpr int kHttpAccepted = 202;
  if (status == kHttpAccepted || status == kHttpOk) {
    accepted_changes_.push_back(change);
  } else {
    backoff_until_ = BootClock::now() + kLateOrderWindow;
    AbandonChange(change, status == 0 ? "order was not answered"
                                      : "engine refused the order");
  }
  OrderNextChange();
}

void RoleCoordinator::SendRequest(
    UpstreamRequest request,
    std::function<void(int, const std::string&)> done) {
  struct Response {
    int status = 0;
    std::string body;
  };
  const auto response = std::make_shared<Response>();
  const auto finish = [this, response, done] {
    request_timer_.Reset();
    request_call_.reset();
    done(response->status, response->body);
  };
  UpstreamHandlers handlers;
  handlers.on_head = [response](const ResponseHead& head) {
    response->status = head.status;
  };
  handlers.on_body = [response](const std::string& data) {
    response->body += data;
  };
  handlers.on_end = finish;
  handlers.on_fail = [response, finish](const Outcome&) {
    response->status = 0;
    finish();
  };
  request_timer_ = loop_.After(kRequestTimeout, [this, response, finish] {
    request_call_->Cancel();
    response->status = 0;
    finish();
  });
  request_call_ = pool_.Start(std::move(request), std::move(handlers));
}

void RoleCoordinator::AbandonChange(const RoleChange& change,
                                    const char* reason) {
  Log(LogLevel::kInfo, "role_change_abandoned",
      {{"engine", change.engine.value()}, {"reason", reason}});
}

void RoleCoordinator::ResetToIdle() {
  callbacks_.set_held_engines({});
  pending_changes_.clear();
  accepted_changes_.clear();
  EnterStep(BootClock::now(), Step::kIdle);
}

}  // namespace corianderlink
