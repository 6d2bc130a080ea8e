// Role changes under a lease.
#include "corianderlink/Gateway/role_duty.h"

#include <memory>
#include <utility>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr int kHttpOk = 200;
constexpr char kLeaseRow[] = "roles";
constexpr Duration kTick = milliseconds(100);
constexpr Duration kRenewAfter = seconds(1);
constexpr Duration kLeaseGuard = seconds(1);
constexpr Duration kLeasePoll = milliseconds(500);
// For heartbeats to reach the other gateways.
constexpr Duration kHoldTime = milliseconds(150);
// A call to an engine; an order is sent only if the lease lasts longer.
constexpr Duration kCallTimeout = milliseconds(800);
// A change that the list does not show after this time is given up.
constexpr Duration kChangeTimeout = seconds(10);
// Longest time that an order without an answer may be carried out later.
constexpr Duration kLateOrderTime = seconds(15);
// The duty is kept for a while, as changes come in series.
constexpr Duration kKeepLease = seconds(2);

LeaseTiming Timing(Duration lease) {
  LeaseTiming timing;
  timing.lease = lease;
  timing.guard = kLeaseGuard;
  timing.renew_after = std::min<Duration>(kRenewAfter, lease / 3);
  timing.poll = kLeasePoll;
  return timing;
}

}  // namespace

RoleDuty::RoleDuty(EventLoop& loop, UpstreamPool& pool, RandomSource& random,
                   const OrderCodec& codec, ProcessId self, Duration lease,
                   RoleDutyPorts ports)
    : loop_(loop),
      pool_(pool),
      codec_(codec),
      self_(std::move(self)),
      lease_time_(lease),
      ports_(std::move(ports)),
      lease_(kLeaseRow, self_, Timing(lease),
             [&random] { return random.HexId(); }) {
  lease_.SetCandidate(false);
}

void RoleDuty::Start() {
  timer_ = loop_.Every(kTick, [this] { Tick(); });
}

void RoleDuty::Stop() {
  stopped_ = true;
  if (call_) call_->Cancel();
  call_.reset();
  call_timer_.Reset();
  EndChanges();
  lease_.SetCandidate(false);
}

void RoleDuty::Tick() {
  const Time now = BootClock::now();
  DriveLease(now);
  Advance(now);
}

void RoleDuty::DriveLease(Time now) {
  const bool was_free =
      lease_.observed().holder.empty() && lease_.observed().fencing == 0;
  const LeaseAction action = lease_.Next(now);
  if (action.kind == LeaseAction::Kind::kRead) {
    ports_.read(kLeaseRow, [this](const ReadResult& result) {
      lease_.OnRead(BootClock::now(), result);
    });
  } else if (action.kind == LeaseAction::Kind::kCommit) {
    ports_.commit(action.txn, [this, was_free](const CommitResult& result) {
      if (!held_since_) first_holder_ = was_free;
      lease_.OnCommit(BootClock::now(), result);
    });
  }
  if (!lease_.IsHeld(now)) {
    held_since_.reset();
  } else if (!held_since_) {
    held_since_ = now;
    Log(LogLevel::kInfo, "lease_taken",
        {{"lease", kLeaseRow}, {"fencing", lease_.fencing()}});
  }
}

bool RoleDuty::MayOrder(Time now) const {
  if (!held_since_ || !lease_.IsHeld(now + kCallTimeout)) return false;
  return first_holder_ || now - *held_since_ >= lease_time_ + kCallTimeout;
}

void RoleDuty::Enter(Time now, Step step) {
  step_ = step;
  step_since_ = now;
}

void RoleDuty::Advance(Time now) {
  if (stopped_) return;
  const Duration in_step = now - step_since_;
  switch (step_) {
    case Step::kIdle: {
      const bool wanted = now >= quiet_until_ && ports_.candidate(now) &&
                          !ports_.plan(now).empty();
      if (wanted) {
        lease_.SetCandidate(true);
        Enter(now, Step::kLease);
      } else if (in_step > kKeepLease || !ports_.candidate(now)) {
        lease_.SetCandidate(false);
      }
      return;
    }
    case Step::kLease:
      if (!ports_.candidate(now)) {
        EndChanges();
        return;
      }
      if (!MayOrder(now)) return;
      // The demand may have changed while waiting.
      pending_ = ports_.plan(now);
      if (pending_.empty()) {
        EndChanges();
        return;
      }
      HoldPending();
      Enter(now, Step::kHold);
      return;
    case Step::kHold:
      if (in_step < kHoldTime) return;
      Enter(now, Step::kOrdering);
      OrderNext();
      return;
    case Step::kOrdering:
      return;
    case Step::kChanging:
      AwaitChanges(now);
      return;
  }
}

void RoleDuty::HoldPending() {
  std::set<UpstreamId> held;
  for (const RoleChange& change : pending_) held.insert(change.engine);
  ports_.set_held(held);
}

void RoleDuty::AwaitChanges(Time now) {
  const auto done = [this](const RoleChange& change) {
    const UpstreamRecord* engine = ports_.find(change.engine);
    return engine == nullptr || engine->role == change.role;
  };
  std::erase_if(accepted_, done);
  if (accepted_.empty()) {
    Log(LogLevel::kInfo, "roles_changed",
        {{"took_ms", ToMillis(now - step_since_)}});
    EndChanges();
    return;
  }
  if (now - step_since_ <= kChangeTimeout) return;
  for (const RoleChange& change : accepted_) {
    Skip(change, "the engine did not change in time");
  }
  EndChanges();
}

void RoleDuty::OrderNext() {
  const Time now = BootClock::now();
  if (pending_.empty()) {
    if (accepted_.empty()) {
      EndChanges();
    } else {
      Enter(now, Step::kChanging);
    }
    return;
  }
  const RoleChange change = pending_.back();
  pending_.pop_back();
  const UpstreamRecord* engine = ports_.find(change.engine);
  if (engine == nullptr) {
    Skip(change, "the engine is gone");
    OrderNext();
    return;
  }
  Call(codec_.encode_status_request(*engine),
       [this, change](int status, const std::string& body) {
         if (status == kHttpOk) {
           OnStatus(change, body);
           return;
         }
         Skip(change, "the engine does not answer");
         OrderNext();
       });
}

void RoleDuty::OnStatus(const RoleChange& change, const std::string& body) {
  const std::optional<EngineStatus> status = codec_.decode_status(body);
  if (status && !status->busy) {
    SendOrder(change, *status);
    return;
  }
  Skip(change, "the engine is busy");
  OrderNext();
}

void RoleDuty::SendOrder(const RoleChange& change, const EngineStatus& status) {
  const UpstreamRecord* engine = ports_.find(change.engine);
  // The clock is read right before the write: the process may have been
  // suspended since the step began.
  const Time now = BootClock::now();
  if (engine == nullptr || !MayOrder(now)) {
    Skip(change, "the lease ran out");
    OrderNext();
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
  ports_.on_ordered(now, change);
  Call(codec_.encode_order(order),
       [this, change](int answer, const std::string&) {
         OnOrderAnswered(change, answer);
       });
}

void RoleDuty::OnOrderAnswered(const RoleChange& change, int status) {
  constexpr int kAccepted = 202;
  if (status == kAccepted || status == kHttpOk) {
    accepted_.push_back(change);
  } else {
    quiet_until_ = BootClock::now() + kLateOrderTime;
    Skip(change,
         status == 0 ? "the order was not answered" : "the order was refused");
  }
  OrderNext();
}

void RoleDuty::Call(UpstreamRequest request,
                    std::function<void(int, const std::string&)> done) {
  struct Answer {
    int status = 0;
    std::string body;
  };
  const auto answer = std::make_shared<Answer>();
  const auto finish = [this, answer, done] {
    call_timer_.Reset();
    call_.reset();
    done(answer->status, answer->body);
  };
  UpstreamHandlers handlers;
  handlers.on_head = [answer](const ResponseHead& head) {
    answer->status = head.status;
  };
  handlers.on_body = [answer](const std::string& data) {
    answer->body += data;
  };
  handlers.on_end = finish;
  handlers.on_fail = [answer, finish](const Outcome&) {
    answer->status = 0;
    finish();
  };
  call_timer_ = loop_.After(kCallTimeout, [this, answer, finish] {
    call_->Cancel();
    answer->status = 0;
    finish();
  });
  call_ = pool_.Start(std::move(request), std::move(handlers));
}

void RoleDuty::Skip(const RoleChange& change, const char* reason) {
  Log(LogLevel::kInfo, "role_change_abandoned",
      {{"engine", change.engine.value()}, {"reason", reason}});
}

void RoleDuty::EndChanges() {
  ports_.set_held({});
  pending_.clear();
  accepted_.clear();
  Enter(BootClock::now(), Step::kIdle);
}

}  // namespace corianderlink
