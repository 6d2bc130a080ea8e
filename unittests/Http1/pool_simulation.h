// A pool of connections to faulty upstreams in virtual time.
//
// The pool does what UpstreamPool and UpstreamConnection do, with a rule under
// test.  The responses that it takes are checked against the upstreams' record.
#ifndef CORIANDERLINK_UNITTESTS_HTTP1_POOL_SIMULATION_H_
#define CORIANDERLINK_UNITTESTS_HTTP1_POOL_SIMULATION_H_

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Http1/faulty_connection.h"
#include "corianderlink/Http1/carried_requests.h"

namespace corianderlink {

/// The tested decision.
class ConnectionRule {
 public:
  virtual ~ConnectionRule() = default;
  virtual bool CanCarry(const SentRequest& request) const {
    return carried_.CanCarry(request.id);
  }
  /// True if a response that names `named` belongs to `request`, sent last.
  virtual bool IsResponse(const SentRequest& /*request*/,
                          const std::string& named) const {
    return carried_.IsResponse(named);
  }
  void Add(const std::string& id) { carried_.Add(id); }
  bool HasRoom() const { return carried_.HasRoom(); }

 private:
  CarriedRequests carried_;
};

using RuleFactory = std::function<std::unique_ptr<ConnectionRule>()>;

/// Sums over all schedules.
struct PoolCounts {
  CopyCounts copies;
  /// Idle connections that bytes closed.
  std::atomic<uint64_t> read_idle{0};
  /// Copies that were read while a request was in progress, and of these the
  /// ones that were taken for its response.
  std::atomic<uint64_t> read_busy{0};
  std::atomic<uint64_t> met{0};
  /// Requests that got their own response, and were sent over a connection
  /// that had carried others, and while one with their id was in progress.
  std::atomic<uint64_t> answered{0};
  std::atomic<uint64_t> reused{0};
  std::atomic<uint64_t> beside{0};
  /// Connections that ended because they had no room.
  std::atomic<uint64_t> full{0};
};

class PoolSimulation {
 public:
  PoolSimulation(uint64_t seed, RuleFactory make_rule, PoolCounts& counts)
      : make_rule_(std::move(make_rule)),
        counts_(counts),
        long_(seed % kLongSchedule == 0) {
    dice_.random.seed(static_cast<uint32_t>(seed ^ seed >> 32));
    if (long_) dice_.rarity = kLongRarity;
  }

  /// Returns the kinds of violations, separated by ';'.
  std::string Play() {
    const int steps = long_ ? kLongSteps : kSteps;
    for (now_ = 0; now_ < steps + kDrainSteps; ++now_) {
      draining_ = now_ >= steps;
      // Reading may add a connection.
      for (size_t i = 0; i < open_.size(); ++i) Read(*open_[i]);
      if (!draining_) AskAndReset();
      for (const auto& c : open_) c->line.Work(now_, !draining_);
      std::erase_if(open_, [](const auto& c) { return c->line.Finished(); });
    }
    CheckRecord();
    std::string text;
    for (const std::string& kind : violations_) {
      text += (text.empty() ? "" : ";") + kind;
    }
    return text;
  }

 private:
  static constexpr size_t kAddresses = 2;
  // The last upstream has taken over the address of the first one.
  static constexpr size_t kUpstreams = 3;
  static constexpr int64_t kMaxConnections = 3;
  static constexpr int64_t kMaxBusy = 5;
  static constexpr int kSteps = 150;
  static constexpr int kDrainSteps = 200;
  // One schedule in so many has few faults, so that connections get full.
  static constexpr uint64_t kLongSchedule = 64;
  static constexpr int kLongSteps = 4000;
  static constexpr uint32_t kLongRarity = 400;

  /// What a client sends, and sends again, under one id.
  struct Attempt {
    std::string id;
    std::set<size_t> sent_to;
  };

  struct Connection {
    size_t address = 0;
    std::unique_ptr<ConnectionRule> rule;
    FaultyConnection line;
    bool busy = false;
    bool closed = false;
    /// The request that was sent last.
    size_t serial = 0;
    /// Requests with an id that were sent.
    size_t ids = 0;
  };

  void AskAndReset() {
    const auto busy = std::count_if(open_.begin(), open_.end(),
                                    [](const auto& c) { return c->busy; });
    if (busy < (long_ ? 1 : kMaxBusy) && !dice_.OneIn(3)) Ask(ChooseAttempt());
    // A connection is reset, or the gateway gives a request up.
    if (!open_.empty() && dice_.Fault(40)) {
      Close(*open_[dice_.random() % open_.size()]);
    }
  }

  /// A new request, one that comes back in its attempt (a resumed stream), one
  /// that comes back in another attempt (of a client or a peer), or one without
  /// an id.  Earlier ones with its id may still be in progress.
  size_t ChooseAttempt() {
    Attempt attempt;
    attempt.id = "r" + std::to_string(attempts_.size());
    const uint32_t choice = long_ ? 0 : dice_.random() % 10;
    if (choice >= 3 && !attempts_.empty()) {
      const size_t recent = std::min<size_t>(attempts_.size(), 6);
      const size_t i = attempts_.size() - 1 - dice_.random() % recent;
      if (choice < 5) return i;
      attempt.id = choice < 8 ? attempts_[i].id : std::string();
    }
    attempts_.push_back(attempt);
    return attempts_.size() - 1;
  }

  void Ask(size_t attempt) {
    const size_t upstream = long_ ? 0 : dice_.random() % kUpstreams;
    SentRequest request;
    request.id = attempts_[attempt].id;
    request.address = upstream % kAddresses;
    request.reads_ids = !request.id.empty() || dice_.OneIn(2);
    request.sent_before = !attempts_[attempt].sent_to.insert(upstream).second;
    if (!request.id.empty() && IsInProgress(request.id)) ++counts_.beside;
    Connection& c = ChooseConnection(request);
    c.rule->Add(request.id);
    c.ids += request.id.empty() ? 0 : 1;
    if (c.ids > CarriedRequests::kMaxRequests) violations_.insert("too many");
    c.busy = true;
    c.serial = record_.size();
    record_.push_back(request);
    attempt_of_.push_back(attempt);
    c.line.Send(c.serial, now_);
  }

  bool IsInProgress(const std::string& id) const {
    return std::any_of(open_.begin(), open_.end(), [&](const auto& c) {
      return c->busy && record_[c->serial].id == id;
    });
  }

  /// As UpstreamPool::Start.
  Connection& ChooseConnection(const SentRequest& request) {
    std::vector<Connection*>& idle = idle_[request.address];
    for (size_t i = idle.size(); i-- > 0;) {
      Connection* const newest = idle[i];
      if (!newest->rule->CanCarry(request)) continue;
      ++counts_.reused;
      std::erase(idle, newest);
      return *newest;
    }
    const auto count =
        std::count_if(open_.begin(), open_.end(), [&](const auto& c) {
          return !c->closed && c->address == request.address;
        });
    if (count >= kMaxConnections && !idle.empty()) Close(*idle.front());
    open_.push_back(std::make_unique<Connection>(
        Connection{request.address, make_rule_(),
                   FaultyConnection(dice_, record_, counts_.copies)}));
    return *open_.back();
  }

  /// As UpstreamConnection::Close.
  void Close(Connection& c) {
    if (c.closed) return;
    c.closed = true;
    c.busy = false;
    std::erase(idle_[c.address], &c);
    c.line.Close();
  }

  /// As UpstreamConnection::OnReadable.
  void Read(Connection& c) {
    if (c.closed || !c.line.Readable(now_)) return;
    if (!c.busy) {
      ++counts_.read_idle;
      Close(c);
      return;
    }
    while (c.busy && !c.closed && c.line.Readable(now_)) {
      const std::optional<SentResponse> response = c.line.Read();
      if (response) Deliver(c, *response);
    }
  }

  /// As UpstreamConnection::DeliverHead and FinishResponse.
  void Deliver(Connection& c, const SentResponse& response) {
    const SentRequest& request = record_[c.serial];
    if (response.copy) ++counts_.read_busy;
    const std::string named = request.reads_ids ? response.id : std::string();
    if (c.rule->IsResponse(request, named)) {
      Check(c.serial, response);
      Complete(c, response.close);
      return;
    }
    if (response.serial == c.serial) violations_.insert("answer discarded");
    if (response.close) Close(c);
  }

  /// Checks a response that was taken for that to the request `serial`.
  void Check(size_t serial, const SentResponse& response) {
    SentRequest& request = record_[serial];
    if (response.copy) ++counts_.met;
    if (response.serial == serial) ++counts_.answered;
    if (response.serial != serial) violations_.insert("answer to another");
    if (!response.refusal) return;
    if (!request.refused) violations_.insert("not refused counts as refused");
    request.not_run = true;
  }

  /// As UpstreamConnection::CompleteCall.
  void Complete(Connection& c, bool close) {
    const size_t attempt = attempt_of_[c.serial];
    c.busy = false;
    if (!c.rule->HasRoom()) ++counts_.full;
    if (close || !c.rule->HasRoom() || c.line.Readable(now_)) {
      Close(c);
    } else {
      idle_[c.address].push_back(&c);
    }
    if (!draining_ && !long_ && dice_.OneIn(4)) Ask(attempt);
  }

  void CheckRecord() {
    for (const SentRequest& request : record_) {
      if (request.not_run && request.ran) violations_.insert("refused and run");
    }
    for (const auto& c : open_) {
      if (c->busy) violations_.insert("no answer on an open connection");
    }
  }

  const RuleFactory make_rule_;
  PoolCounts& counts_;
  const bool long_;
  Dice dice_;
  int now_ = 0;
  bool draining_ = false;
  std::vector<Attempt> attempts_;
  std::vector<SentRequest> record_;
  // Attempt of each request of the record.
  std::vector<size_t> attempt_of_;
  std::vector<std::unique_ptr<Connection>> open_;
  // Idle connections to each address; the most recently used is last.
  std::array<std::vector<Connection*>, kAddresses> idle_;
  std::set<std::string> violations_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_HTTP1_POOL_SIMULATION_H_
