// Finds the account of a client by its key.
#include "corianderlink/Serving/client_account.h"

#include "corianderlink/Support/hash.h"

namespace corianderlink {
namespace {

// If no accounts are declared, all clients share one account and a limit would
// protect none of them from another.
constexpr int64_t kDefaultAccountMaxInFlight = 1000000;

}  // namespace

std::optional<ClientAccount> FindAccount(
    const std::map<AccountId, AccountSpec>& accounts,
    const std::string& authorization) {
  if (accounts.empty()) {
    ClientAccount account{AccountId("default"), {}};
    account.spec.max_in_flight = kDefaultAccountMaxInFlight;
    return account;
  }
  const std::string scheme = "Bearer ";
  if (authorization.compare(0, scheme.size(), scheme) != 0) {
    return std::nullopt;
  }
  const std::string digest = Sha256Hex(authorization.substr(scheme.size()));
  std::optional<ClientAccount> found;
  // Compares with all accounts, so that the response time does not depend on
  // which one matches.
  for (const auto& [id, spec] : accounts) {
    if (ConstantTimeEquals(spec.key_sha256, digest)) found = {id, spec};
  }
  return found;
}

}  // namespace corianderlink
