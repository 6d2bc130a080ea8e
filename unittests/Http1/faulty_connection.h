// The upstream's side of a connection in virtual time: it runs requests,
// refuses them, and writes copies of its refusals at any later step.
#ifndef CORIANDERLINK_UNITTESTS_HTTP1_FAULTY_CONNECTION_H_
#define CORIANDERLINK_UNITTESTS_HTTP1_FAULTY_CONNECTION_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace corianderlink {

/// A request that was sent once, and what became of it.  Its index in the
/// record is its serial number, which the tested code never sees.
struct SentRequest {
  std::string id;
  size_t address = 0;
  /// False for orders and status calls, which read no id.
  bool reads_ids = true;
  /// This attempt was sent to this upstream before.
  bool sent_before = false;
  // The upstream's record.
  bool refused = false;
  bool ran = false;
  /// What the gateway concluded.
  bool not_run = false;
};

/// A response.  Its serial number is that of the request that it answers.
struct SentResponse {
  size_t serial = 0;
  std::string id;
  bool refusal = false;
  bool close = false;
  bool copy = false;
};

/// Copies that were written, over all schedules.
struct CopyCounts {
  std::atomic<uint64_t> all{0};
  std::atomic<uint64_t> without_id{0};
  std::atomic<uint64_t> closing{0};
  std::atomic<uint64_t> in_pieces{0};
};

/// Random choices of one schedule.
struct Dice {
  std::mt19937 random;
  /// Faults are this many times rarer than usual.
  uint32_t rarity = 1;

  bool OneIn(uint32_t n) { return random() % n == 0; }
  /// From 0 to `n`.
  int UpTo(int n) {
    return static_cast<int>(random() % (static_cast<uint32_t>(n) + 1));
  }
  bool Fault(uint32_t n) { return OneIn(n * rarity); }
};

class FaultyConnection {
 public:
  FaultyConnection(Dice& dice, std::vector<SentRequest>& record,
                   CopyCounts& counts)
      : dice_(dice), record_(record), counts_(counts) {}

  /// A request is sent at `now` and arrives some steps later.
  void Send(size_t serial, int now) {
    queue_.emplace_back(serial, now + dice_.UpTo(kMaxDelaySteps));
  }

  /// The upstream drops what it has not started, or runs it later.
  void Close() {
    closed_ = true;
    if (dice_.OneIn(2)) queue_.clear();
  }

  /// True if nothing more can happen.
  bool Finished() const { return closed_ && queue_.empty() && !next_; }

  /// One step of the upstream, which serves one request at a time.
  void Work(int now, bool writes_copies) {
    if (next_ && now >= next_at_) {
      record_[next_->serial].refused = next_->refusal;
      if (next_->refusal) refusals_.push_back(*next_);
      Write(now, *next_);
      next_.reset();
    } else if (!next_ && !queue_.empty() && queue_.front().second <= now) {
      Begin(now);
    }
    if (writes_copies && !refusals_.empty() && dice_.Fault(6)) WriteCopies(now);
  }

  /// True if the reader finds bytes, be it only the beginning of a head.
  bool Readable(int now) const {
    return !inbox_.empty() && inbox_.front().at <= now;
  }

  /// Reads up to the end of the next response, or nothing of one if only the
  /// beginning of its head is there.
  std::optional<SentResponse> Read() {
    const std::optional<SentResponse> response = inbox_.front().response;
    inbox_.pop_front();
    return response;
  }

 private:
  static constexpr int kMaxDelaySteps = 2;
  static constexpr int kMaxWorkSteps = 5;
  static constexpr int kMaxGapSteps = 3;

  /// Bytes that become readable at a step: the beginning of a head, or the rest
  /// of a response.
  struct Piece {
    int at = 0;
    std::optional<SentResponse> response;
  };

  void Begin(int now) {
    next_.emplace();
    next_->serial = queue_.front().first;
    SentRequest& request = record_[next_->serial];
    next_->id = request.id;
    next_->refusal = !dice_.OneIn(3);
    next_->close = dice_.Fault(20);
    request.ran = !next_->refusal;
    next_at_ = now + dice_.UpTo(kMaxWorkSteps);
    queue_.pop_front();
  }

  void WriteCopies(int now) {
    const int copies = 1 + dice_.UpTo(1);
    for (int i = 0; i < copies && !closed_; ++i) {
      SentResponse copy = refusals_[dice_.random() % refusals_.size()];
      copy.copy = true;
      copy.close = dice_.OneIn(8);
      if (dice_.OneIn(4)) copy.id.clear();
      counts_.without_id += copy.id.empty() ? 1 : 0;
      counts_.closing += copy.close ? 1 : 0;
      ++counts_.all;
      Write(now, copy);
    }
  }

  void Write(int now, const SentResponse& response) {
    if (closed_) return;
    int at = now + dice_.UpTo(kMaxDelaySteps);
    if (!inbox_.empty()) at = std::max(at, inbox_.back().at);
    if (dice_.OneIn(4)) {
      counts_.in_pieces += response.copy ? 1 : 0;
      inbox_.push_back({at, std::nullopt});
      at += 1 + dice_.UpTo(kMaxGapSteps - 1);
    }
    inbox_.push_back({at, response});
  }

  Dice& dice_;
  std::vector<SentRequest>& record_;
  CopyCounts& counts_;
  // Requests and the steps at which they arrive.
  std::deque<std::pair<size_t, int>> queue_;
  // The response that the upstream is about to write.
  std::optional<SentResponse> next_;
  int next_at_ = 0;
  std::vector<SentResponse> refusals_;
  std::deque<Piece> inbox_;
  bool closed_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_HTTP1_FAULTY_CONNECTION_H_
