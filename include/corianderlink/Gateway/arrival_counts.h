// The calls of one request that have arrived at upstreams.
#ifndef CORIANDERLINK_GATEWAY_ARRIVAL_COUNTS_H_
#define CORIANDERLINK_GATEWAY_ARRIVAL_COUNTS_H_

namespace corianderlink {

/// The calls of one request to upstreams so far.
struct ArrivalCounts {
  /// Calls that have reached an upstream, or may have.
  int arrivals = 0;
  /// An upstream has prefilled the prompt.
  bool is_prefilled = false;
  /// Arrivals that the retry budget was charged for.
  int charged = 0;

  /// Arrivals that are repeats: all but the first run and the first prefill
  /// that was accepted.
  int Repeats() const;
  /// Charges that are missing if one more call arrives, after a prefill that is
  /// accepted if `with_prefill` is set.
  int MissingCharges(bool with_prefill) const;
  /// Counts of a request whose calls another gateway has made and charged: each
  /// further call is a repeat.
  static ArrivalCounts NothingFree() { return {2, true, 0}; }
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_ARRIVAL_COUNTS_H_
