// Specifications of the items that operators declare in release notes.
#ifndef CORIANDERLINK_RELEASE_SPECS_H_
#define CORIANDERLINK_RELEASE_SPECS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// Role of an engine.  With kAuto, the role controller assigns the role.
enum class EngineRole { kMixed, kPrefill, kDecode, kAuto };

const char* ToString(EngineRole role);
/// Returns kMixed for an unknown name.
EngineRole ParseEngineRole(const std::string& name);

/// A model.  `weights` names the weights to load.
struct ModelSpec {
  std::string weights;
  bool operator==(const ModelSpec&) const = default;
};

/// An adapter that extends a base model.
struct AdapterSpec {
  ModelId model;
  std::string weights;
  bool operator==(const AdapterSpec&) const = default;
};

/// A language-model engine.
struct EngineSpec {
  Address address;
  ZoneId zone;
  EngineRole role = EngineRole::kMixed;
  /// False if the engine does not reject orders with a stale fencing token.
  bool checks_fencing = true;
  /// False if only an operator, and not the fleet process, may send orders to
  /// the engine.
  bool automatic_orders = true;
  std::set<ModelId> models;
  std::set<AdapterId> adapters;
  bool operator==(const EngineSpec&) const = default;
};

/// A call that a service offers.  Calls that are not declared are treated as
/// not idempotent.
struct CallSpec {
  std::string method;
  std::string path;
  bool idempotent = false;
  /// HTTP statuses with which the service guarantees that the call had no
  /// effect.
  std::set<int64_t> not_run_statuses;
  bool operator==(const CallSpec&) const = default;
};

/// A service other than a language-model engine, and its workers.
struct ServiceSpec {
  std::vector<Address> workers;
  std::vector<CallSpec> calls;

  /// Returns the declaration of a call, or null if there is none.
  const CallSpec* FindCall(const std::string& method,
                           const std::string& path) const;
  bool operator==(const ServiceSpec&) const = default;
};

/// A client account.
struct AccountSpec {
  /// SHA-256 digest of the account's API key, in hexadecimal.
  std::string key_sha256;
  /// Weight in fair queueing under overload, relative to other accounts.
  double weight = 1;
  /// Maximum number of concurrent requests at one entry process.
  int64_t max_in_flight = 64;
  bool operator==(const AccountSpec&) const = default;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_RELEASE_SPECS_H_
