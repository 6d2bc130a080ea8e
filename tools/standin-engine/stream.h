// A generation in progress on the stand-in engine.
#ifndef CORIANDERLINK_TOOLS_STANDIN_ENGINE_STREAM_H_
#define CORIANDERLINK_TOOLS_STANDIN_ENGINE_STREAM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "common/token_text.h"
#include "corianderlink/Http/http_exchange.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

struct Stream {
  std::string request_id;
  std::string model;
  std::string prompt;
  TokenText text{""};
  /// 0 urgent, 1 chat, 2 bulk.
  int priority = 1;
  uint64_t prompt_tokens = 0;
  /// Prompt tokens that still have to be computed.
  double prefill_left = 0;
  uint64_t max_tokens = 0;
  /// Tokens generated so far, counted from the start of the answer.
  uint64_t produced = 0;
  /// Tokens sent on `exchange`, counted likewise.
  uint64_t sent = 0;
  bool done = false;
  Time detached_at;
  std::shared_ptr<HttpExchange> exchange;

  bool attached() const { return exchange != nullptr && exchange->open(); }
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_STANDIN_ENGINE_STREAM_H_
