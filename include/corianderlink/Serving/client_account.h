// Finds the account of a client by its key.
#ifndef CORIANDERLINK_SERVING_CLIENT_ACCOUNT_H_
#define CORIANDERLINK_SERVING_CLIENT_ACCOUNT_H_

#include <map>
#include <optional>
#include <string>

#include "corianderlink/Release/specs.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

struct ClientAccount {
  AccountId id;
  AccountSpec spec;
};

/// Reads an "Authorization: Bearer KEY" header.  Without any declared account
/// every client gets the account "default"; otherwise a wrong or missing key
/// returns nothing.
std::optional<ClientAccount> FindAccount(
    const std::map<AccountId, AccountSpec>& accounts,
    const std::string& authorization);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CLIENT_ACCOUNT_H_
