// Client of the platform's object store over HTTP.
#ifndef CORIANDERLINK_PLATFORM_HTTP_OBJECTS_H_
#define CORIANDERLINK_PLATFORM_HTTP_OBJECTS_H_

#include <functional>
#include <optional>
#include <string>

#include "corianderlink/Http/http_client.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

class HttpObjects {
 public:
  /// True if the object is stored.
  using PutCallback = std::function<void(bool stored)>;
  /// The object, or nothing with a reason.
  using GetCallback =
      std::function<void(std::optional<std::string>, std::string reason)>;

  HttpObjects(HttpClient& client, Address platform, Duration timeout)
      : client_(client), platform_(std::move(platform)), timeout_(timeout) {}

  void Put(const std::string& key, const std::string& value,
           PutCallback callback);
  void Get(const std::string& key, GetCallback callback);

 private:
  HttpClient& client_;
  const Address platform_;
  const Duration timeout_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_PLATFORM_HTTP_OBJECTS_H_
