// Experiment on admission.  The fleet is a pool of slots; a request holds one
// for its prompt and output time.
#include "corianderlink-experiment/admission.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "common/quantile.h"
#include "corianderlink-experiment/event_queue.h"
#include "corianderlink/Routing/admission_queue.h"

namespace corianderlink {
namespace {

constexpr double kPromptTokens = 1000;
constexpr double kOutputTokens = 100;
constexpr double kMaxOutputTokens = 1000;
constexpr seconds kChatDeadline{2};
constexpr seconds kBulkDeadline{600};

/// One stream of arrivals.
struct Source {
  std::string account;
  PriorityClass cls = PriorityClass::kChat;
  double rate = 1;
  double from_s = 0;
  double to_s = 0;
};

/// Counts of one run.
struct AdmissionResult {
  std::vector<double> urgent_first_token_s;
  /// Requests whose first token came in time, by second.
  std::map<int, int> good_by_second;
  std::map<std::string, double> served_tokens;
  uint64_t refused = 0;
  uint64_t parked = 0;
  uint64_t bulk_done = 0;
};

class AdmissionSim {
 public:
  AdmissionSim(const Deployment& d, uint64_t seed, bool naive)
      : deployment_(d),
        naive_(naive),
        queue_({}),
        random_(seed),
        free_slots_(d.engines * d.batch) {}

  AdmissionResult Run(const std::vector<Source>& sources, double seconds_long) {
    start_ = events_.now();
    for (const Source& source : sources) Schedule(source, source.from_s);
    for (double t = 0; t < seconds_long; t += 0.02) {
      events_.At(start_ + FromSeconds(t), [this] {
        for (const PendingRequest& r : queue_.Expire(events_.now())) {
          ++result_.refused;
          open_.erase(r.id);
        }
        Pump();
      });
    }
    events_.RunUntil(start_ + FromSeconds(seconds_long));
    return result_;
  }

  double SlotSeconds() const {
    return kPromptTokens / deployment_.prefill_tokens_per_s +
           kOutputTokens * deployment_.step_s;
  }
  double Capacity() const {
    return deployment_.engines * deployment_.batch / SlotSeconds();
  }

 private:
  struct Open {
    PendingRequest request;
    Time arrived{};
    double output_left = 0;
    bool started = false;
    /// Changes whenever the request leaves its slot.
    int run = 0;
    bool running = false;
    Time run_since{};
  };

  double Now() const { return ToSeconds(events_.now() - start_); }

  void Schedule(const Source& source, double at) {
    if (at >= source.to_s) return;
    std::exponential_distribution<double> gap(source.rate);
    const double next = at + gap(random_);
    events_.At(start_ + FromSeconds(next), [this, source, next] {
      if (next < source.to_s) Arrive(source);
      Schedule(source, next);
    });
  }

  void Arrive(const Source& source) {
    Open open;
    open.request.id = RequestId(std::to_string(++ids_));
    open.request.account = AccountId(source.account);
    open.request.model = ModelId("m");
    open.request.cls = source.cls;
    open.request.cost_tokens = kPromptTokens + kOutputTokens;
    open.request.deadline =
        events_.now() +
        (source.cls == PriorityClass::kBulk ? Duration(kBulkDeadline)
                                            : Duration(kChatDeadline)) -
        FromSeconds(kPromptTokens / deployment_.prefill_tokens_per_s);
    open.arrived = events_.now();
    // Heavy-tailed, so that slots do not free up in step.
    open.output_left =
        std::min(kMaxOutputTokens, HeavyTailed(random_, kOutputTokens));
    if (naive_) {
      fifo_.push_back(open);
      return Pump();
    }
    std::uniform_real_distribution<double> spread(0, 1);
    if (queue_.Offer(events_.now(), open.request, spread(random_))) {
      ++result_.refused;
      return;
    }
    open_[open.request.id] = open;
    Pump();
  }

  void Pump() {
    if (naive_) {
      while (free_slots_ > 0 && !fifo_.empty()) {
        const Open open = fifo_.front();
        fifo_.pop_front();
        open_[open.request.id] = open;
        Start(open.request.id);
      }
      return;
    }
    while (true) {
      const auto heads = queue_.Heads(events_.now());
      if (heads.empty()) return;
      const PendingRequest& head = heads.front();
      const bool urgent = head.cls == PriorityClass::kUrgent;
      if (free_slots_ == 0 && !(urgent && ParkOne())) return;
      queue_.OnDispatch(events_.now(), head.id);
      Start(head.id);
    }
  }

  // Frees the slot of a bulk stream, which goes on later where it was.
  bool ParkOne() {
    while (!bulk_running_.empty()) {
      const RequestId id = bulk_running_.back();
      bulk_running_.pop_back();
      const auto it = open_.find(id);
      if (it == open_.end() || !it->second.running) continue;
      Open& open = it->second;
      const double ran = ToSeconds(events_.now() - open.run_since);
      open.output_left =
          std::max(1.0, open.output_left - ran / deployment_.step_s);
      open.running = false;
      ++open.run;
      ++free_slots_;
      ++result_.parked;
      PendingRequest again = open.request;
      again.deadline = events_.now() + kBulkDeadline;
      queue_.Offer(events_.now(), again, 0);
      return true;
    }
    return false;
  }

  void Start(const RequestId& id) {
    Open& open = open_.at(id);
    --free_slots_;
    open.running = true;
    open.run_since = events_.now();
    const double prefill =
        open.started ? 0 : kPromptTokens / deployment_.prefill_tokens_per_s;
    if (!open.started) OnFirstToken(open, prefill);
    open.started = true;
    if (open.request.cls == PriorityClass::kBulk) bulk_running_.push_back(id);
    const int run = open.run;
    events_.After(FromSeconds(prefill + open.output_left * deployment_.step_s),
                  [this, id, run] {
                    const auto it = open_.find(id);
                    if (it == open_.end() || it->second.run != run) return;
                    if (it->second.request.cls == PriorityClass::kBulk) {
                      ++result_.bulk_done;
                    }
                    open_.erase(it);
                    ++free_slots_;
                    Pump();
                  });
  }

  void OnFirstToken(const Open& open, double prefill) {
    const double first = ToSeconds(events_.now() - open.arrived) + prefill;
    if (open.request.cls == PriorityClass::kUrgent) {
      result_.urgent_first_token_s.push_back(first);
    }
    result_.served_tokens[open.request.account.value()] +=
        open.request.cost_tokens;
    if (open.request.cls != PriorityClass::kBulk && first <= 2.0) {
      ++result_.good_by_second[static_cast<int>(Now())];
    }
  }

  const Deployment deployment_;
  const bool naive_;
  EventQueue events_;
  AdmissionQueue queue_;
  std::mt19937_64 random_;
  int free_slots_;
  uint64_t ids_ = 0;
  Time start_{};
  std::deque<Open> fifo_;
  std::map<RequestId, Open> open_;
  std::vector<RequestId> bulk_running_;
  AdmissionResult result_;
};

double P95(const std::vector<double>& values) { return Quantile(values, 0.95); }

double Jain(const std::map<std::string, double>& served) {
  double sum = 0;
  double squares = 0;
  for (const auto& [account, tokens] : served) {
    sum += tokens;
    squares += tokens * tokens;
  }
  return sum * sum / (static_cast<double>(served.size()) * squares);
}

double GoodBetween(const AdmissionResult& result, int from, int to) {
  double good = 0;
  for (const auto& [second, count] : result.good_by_second) {
    if (second >= from && second < to) good += count;
  }
  return good / (to - from);
}

void RunUrgent(const Deployment& d, uint64_t seed, BoundCounts& counts) {
  const double capacity = AdmissionSim(d, seed, false).Capacity();
  const Source urgent{"bench", PriorityClass::kUrgent, 0.2 * capacity, 0, 180};
  const Source bulk{"reader", PriorityClass::kBulk, 4 * capacity, 0, 180};
  const auto p95 = [&](bool naive, bool flood) {
    std::vector<Source> sources = {urgent};
    if (flood) sources.push_back(bulk);
    return AdmissionSim(d, seed, naive).Run(sources, 180);
  };
  const AdmissionResult alone = p95(false, false);
  const AdmissionResult ours = p95(false, true);
  const AdmissionResult naive = p95(true, true);
  const double base = P95(alone.urgent_first_token_s);
  PrintBound(counts, "admission.urgent_p95_growth",
             P95(ours.urgent_first_token_s) / base, "<=", 1.1,
             P95(naive.urgent_first_token_s) / base,
             {{"experiment", "admission"},
              {"deployment", d.name},
              {"seed", seed},
              {"parked", ours.parked},
              {"bulk_done", ours.bulk_done}});
}

void RunBroadcast(const Deployment& d, uint64_t seed, BoundCounts& counts) {
  const double capacity = AdmissionSim(d, seed, false).Capacity();
  const std::vector<Source> sources = {
      {"club", PriorityClass::kChat, 0.5 * capacity, 0, 180},
      {"club", PriorityClass::kChat, 10 * capacity, 60, 120}};
  const AdmissionResult ours = AdmissionSim(d, seed, false).Run(sources, 180);
  const AdmissionResult naive = AdmissionSim(d, seed, true).Run(sources, 180);
  const nlohmann::json details = {{"experiment", "admission"},
                                  {"deployment", d.name},
                                  {"seed", seed},
                                  {"refused", ours.refused}};
  // The first seconds fill the slots; after that the flood is steady.
  PrintBound(counts, "admission.broadcast_goodput",
             GoodBetween(ours, 65, 120) / capacity, ">=", 0.95,
             GoodBetween(naive, 65, 120) / capacity, details);
  PrintBound(counts, "admission.goodput_after_broadcast",
             GoodBetween(ours, 125, 180) / (0.5 * capacity), ">=", 0.95,
             GoodBetween(naive, 125, 180) / (0.5 * capacity), details);
}

void RunFairness(const Deployment& d, uint64_t seed, BoundCounts& counts) {
  const double capacity = AdmissionSim(d, seed, false).Capacity();
  std::vector<Source> sources;
  for (int i = 0; i < 8; ++i) {
    const double rate = (i == 0 ? 10 : 1.5) * capacity / 8;
    sources.push_back(
        {"account" + std::to_string(i), PriorityClass::kChat, rate, 0, 120});
  }
  const AdmissionResult ours = AdmissionSim(d, seed, false).Run(sources, 120);
  const AdmissionResult naive = AdmissionSim(d, seed, true).Run(sources, 120);
  PrintBound(counts, "admission.jain_index", Jain(ours.served_tokens),
             ">=", 0.95, Jain(naive.served_tokens),
             {{"experiment", "admission"},
              {"deployment", d.name},
              {"seed", seed},
              {"served", ours.served_tokens}});
}

}  // namespace

void RunAdmission(const Deployment& deployment, uint64_t seed,
                  BoundCounts& counts) {
  RunUrgent(deployment, seed, counts);
  RunBroadcast(deployment, seed, counts);
  RunFairness(deployment, seed, counts);
}

}  // namespace corianderlink
