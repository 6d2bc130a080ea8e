// Encoding of the JSON bodies of the table service's HTTP API.
#ifndef CORIANDERLINK_PLATFORM_TABLE_CODEC_H_
#define CORIANDERLINK_PLATFORM_TABLE_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Platform/table.h"

namespace corianderlink {

std::string EncodeTransaction(const TableTransaction& txn);
/// Returns nullopt if the body is malformed.
std::optional<TableTransaction> DecodeTransaction(const std::string& body);

std::string EncodeCommitResult(const CommitResult& result);
/// Returns kUnknown and a reason if the body is malformed.
CommitResult DecodeCommitResult(const std::string& body);

std::string EncodeRows(const std::vector<TableRow>& rows);
/// Decodes rows.  Returns an error if a key does not start with `prefix`,
/// because the body is then the response to another request.
ReadResult DecodeRows(const std::string& body, const std::string& prefix);

}  // namespace corianderlink

#endif  // CORIANDERLINK_PLATFORM_TABLE_CODEC_H_
