// The times of a planned stop of a process, and what it takes until then.
//
// Callers count from the moment at which the stop was ordered, and this process
// from when it read the signal, so requests are refused a while before callers
// may count on it.
#ifndef CORIANDERLINK_SUPPORT_STOP_PLAN_H_
#define CORIANDERLINK_SUPPORT_STOP_PLAN_H_

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// What bounds a planned stop.
struct StopLimits {
  /// The process is killed this long after the signal.
  Duration grace{};
  /// Callers may hold this process's address for so long after the signal.
  Duration address_kept{};
};

/// How long a request may take, from the present moment on.
struct RequestNeed {
  /// It has ended by then, answered or not: its deadline.
  Duration limit{};
  /// It has probably ended by then; `limit` if nothing is known.
  Duration expected{};
};

/// One planned stop.  A decision is made from the time at which a request is
/// whole, however late a timer fires.
class StopPlan {
 public:
  StopPlan(Time began, const StopLimits& limits);

  Time began() const { return began_; }
  /// No connections are accepted from then on, and no requests taken.
  Time accepts_until() const { return accepts_until_; }
  /// Requests in progress are answered then.
  Time requests_end() const { return requests_end_; }
  /// The process ends then at the latest.
  Time process_end() const { return process_end_; }

  /// True if connections and requests are still accepted.
  bool Accepts(Time now) const { return now < accepts_until_; }
  /// True if a request that is whole now is taken; one that is not would be
  /// refused, so that its caller goes elsewhere at once.
  bool Takes(Time now, const RequestNeed& need) const;
  /// True if work that begins now ends before the process does.
  bool Fits(Time now, const RequestNeed& need) const;
  /// Time until the next step of the stop; zero if the last one is due.
  Duration UntilNextStep(Time now) const;

 private:
  Time began_;
  Time accepts_until_;
  Time takes_until_;
  Time requests_end_;
  Time process_end_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_STOP_PLAN_H_
