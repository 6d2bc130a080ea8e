// Model of a fleet whose engines either compute prompts or generate.
//
// Crude where said: prompts queue in one line over all prefill engines,
// streams take one slot of any decode engine, a step always takes the same
// time, and moving a KV cache costs nothing.
#ifndef CORIANDERLINK_TOOLS_EXPERIMENT_SPLIT_FLEET_H_
#define CORIANDERLINK_TOOLS_EXPERIMENT_SPLIT_FLEET_H_

#include <deque>

#include "corianderlink-experiment/event_queue.h"
#include "corianderlink-experiment/workload.h"

namespace corianderlink {

/// Counts of one run.
struct SplitResult {
  uint64_t sent = 0;
  uint64_t good = 0;
  uint64_t refused = 0;
  uint64_t late = 0;
  int changes = 0;
  int most_away = 0;
};

class SplitFleet {
 public:
  SplitFleet(EventQueue& events, const Deployment& deployment, int prefill)
      : events_(events),
        deployment_(deployment),
        prefill_(prefill),
        decode_(deployment.engines - prefill) {}

  /// A request; refused at once if its first token would be late.
  void Arrive(double prompt, double output) {
    ++result.sent;
    if (PredictedWait(prompt) > kFirstTokenTarget) {
      ++result.refused;
      return;
    }
    queue_tokens_ += prompt;
    waiting_prefill_.push_back({events_.now(), prompt, output});
    Pump();
  }

  /// Takes one engine from one role to the other; false if none is free.
  bool Change(bool to_prefill) {
    int& from = to_prefill ? decode_ : prefill_;
    if (from <= 1) return false;
    --from;
    ++away_;
    ++result.changes;
    result.most_away = std::max(result.most_away, away_);
    events_.After(FromSeconds(deployment_.away_s), [this, to_prefill] {
      --away_;
      ++(to_prefill ? prefill_ : decode_);
      Pump();
    });
    return true;
  }

  /// Loses one engine for good; the larger side loses it.
  void LoseEngine() { --(prefill_ > decode_ ? prefill_ : decode_); }

  int prefill() const { return prefill_; }
  int decode() const { return decode_; }
  int away() const { return away_; }
  SplitResult result;

 private:
  struct Request {
    Time arrived;
    double prompt;
    double output;
  };

  static constexpr double kFirstTokenTarget = 2.0;

  // Seconds until the first token, from the queues alone.
  double PredictedWait(double prompt) const {
    const double engines = std::max(prefill_, 1);
    const double ahead =
        queue_tokens_ / engines / deployment_.prefill_tokens_per_s;
    const double own = prompt / deployment_.prefill_tokens_per_s;
    const double slots = std::max(decode_, 1) * deployment_.batch;
    const double streams_ahead = static_cast<double>(waiting_decode_.size());
    const double per_slot = mean_output_ * deployment_.step_s;
    return ahead + own + streams_ahead * per_slot / slots;
  }

  void Pump() {
    while (!waiting_prefill_.empty() && busy_prefill_ < prefill_) {
      const Request request = waiting_prefill_.front();
      waiting_prefill_.pop_front();
      ++busy_prefill_;
      events_.After(
          FromSeconds(request.prompt / deployment_.prefill_tokens_per_s),
          [this, request] {
            --busy_prefill_;
            queue_tokens_ -= request.prompt;
            waiting_decode_.push_back(request);
            Pump();
          });
    }
    while (!waiting_decode_.empty() && streams_ < decode_ * deployment_.batch) {
      const Request request = waiting_decode_.front();
      waiting_decode_.pop_front();
      ++streams_;
      const double first_token = ToSeconds(events_.now() - request.arrived);
      ++(first_token <= kFirstTokenTarget ? result.good : result.late);
      mean_output_ += 0.01 * (request.output - mean_output_);
      events_.After(FromSeconds(request.output * deployment_.step_s), [this] {
        --streams_;
        Pump();
      });
    }
  }

  EventQueue& events_;
  const Deployment deployment_;
  int prefill_;
  int decode_;
  int away_ = 0;
  int busy_prefill_ = 0;
  int streams_ = 0;
  double queue_tokens_ = 0;
  double mean_output_ = 130;
  std::deque<Request> waiting_prefill_;
  std::deque<Request> waiting_decode_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_EXPERIMENT_SPLIT_FLEET_H_
