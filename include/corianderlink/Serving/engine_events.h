// Decoders of the events that model engines send.
#ifndef CORIANDERLINK_SERVING_ENGINE_EVENTS_H_
#define CORIANDERLINK_SERVING_ENGINE_EVENTS_H_

#include <string>
#include <vector>

#include "corianderlink/Routing/prefix_index.h"
#include "corianderlink/Support/json_reader.h"

namespace corianderlink {

/// Returns the text that an event of a response adds to it; empty if it adds
/// none or is malformed.
std::string EventText(const Json& event);

/// Returns the changes of an engine's prefix cache that `body` lists, without
/// malformed ones.
std::vector<CacheEvent> ParseCacheEvents(const std::string& body);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_ENGINE_EVENTS_H_
