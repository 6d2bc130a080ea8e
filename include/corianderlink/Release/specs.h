// Items that an operator declares in release notes.
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

/// Role of an engine.  kAuto leaves the choice to the role controller.
enum class EngineRole { kMixed, kPrefill, kDecode, kAuto };

const char* ToString(EngineRole role);
/// kMixed for an unknown name.
EngineRole ParseEngineRole(const std::string& name);

/// A model and the weights that it is loaded from.
struct ModelSpec {
  std::string weights;
  bool operator==(const ModelSpec&) const = default;
};

/// An adapter on top of a model.
struct AdapterSpec {
  ModelId model;
  std::string weights;
  bool operator==(const AdapterSpec&) const = default;
};

/// A model engine.
struct EngineSpec {
  Address address;
  ZoneId zone;
  EngineRole role = EngineRole::kMixed;
  /// False if the engine obeys orders with an old fencing token.
  bool checks_fencing = true;
  /// False if only an operator may order it.
  bool automatic_orders = true;
  std::set<ModelId> models;
  std::set<AdapterId> adapters;
  bool operator==(const EngineSpec&) const = default;
};

/// A call of a plain service.  A call not declared here is not idempotent.
struct CallSpec {
  std::string method;
  std::string path;
  bool idempotent = false;
  /// Statuses by which the service promises that the call had no effect.
  std::set<int64_t> not_run_statuses;
  bool operator==(const CallSpec&) const = default;
};

/// A plain service and its workers.
struct ServiceSpec {
  std::vector<Address> workers;
  std::vector<CallSpec> calls;

  /// The declaration of a call, or null.
  const CallSpec* FindCall(const std::string& method,
                           const std::string& path) const;
  bool operator==(const ServiceSpec&) const = default;
};

/// An account of a caller.
struct AccountSpec {
  /// SHA-256 of the account's key, in hexadecimal.
  std::string key_sha256;
  /// Share in overload, relative to the other accounts.
  double weight = 1;
  /// Requests in progress at one entry.
  int64_t max_in_flight = 64;
  bool operator==(const AccountSpec&) const = default;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_RELEASE_SPECS_H_
