// When the client of a refused request may come back.
#ifndef CORIANDERLINK_GATEWAY_REFUSAL_DELAY_H_
#define CORIANDERLINK_GATEWAY_REFUSAL_DELAY_H_

#include "corianderlink/Support/random.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Answers the load of many clients that are refused at the same time.  Returns
/// the time after which the client may retry: a considerable part of
/// `total_time`, which is the time from the arrival of the request to its
/// deadline, of random length so that the retries of many clients are spread
/// out; `least` if that is longer.
Duration RefusalDelay(Duration total_time, Duration least,
                      RandomSource& random);

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_REFUSAL_DELAY_H_
