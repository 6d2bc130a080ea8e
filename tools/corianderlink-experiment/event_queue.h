// Events in virtual time.
#ifndef CORIANDERLINK_TOOLS_EXPERIMENT_EVENT_QUEUE_H_
#define CORIANDERLINK_TOOLS_EXPERIMENT_EVENT_QUEUE_H_

#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "corianderlink/Support/time.h"

namespace corianderlink {

class EventQueue {
 public:
  Time now() const { return now_; }

  void At(Time time, std::function<void()> event) {
    events_.push({time, next_++, std::move(event)});
  }
  void After(Duration delay, std::function<void()> event) {
    At(now_ + delay, std::move(event));
  }

  void RunUntil(Time end) {
    while (!events_.empty() && events_.top().time <= end) {
      // The top is const; its callback is moved out before the pop.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.time;
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    Time time;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  Time now_{seconds(1000)};
  uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_EXPERIMENT_EVENT_QUEUE_H_
