#pragma once

#include "gooseberrymoor/store/store_entry.h"
#include "gooseberrymoor/store/store_transaction.h"

#include <tl/expected.hpp>

#include <string>

namespace gooseberrymoor {

// The JSON form of the etcd v3 API (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/):
// keys and values in base64, 64-bit numbers as text.

// Body of POST /v3/kv/range for all keys that begin with `prefix`.
std::string encodeRangeRequest(const std::string &prefix);

// Reads the answer to a range request; the error says what is at fault.
tl::expected<store_read, std::string> decodeRangeResponse(const std::string &body);

// Body of POST /v3/kv/txn.
std::string encodeTransaction(const store_transaction &transaction);

// Reads the answer to a transaction.
tl::expected<transaction_result, std::string> decodeTransactionResponse(const std::string &body);

// Base64 with padding.
std::string toBase64(const std::string &bytes);

// The inverse of `toBase64`.
std::string fromBase64(const std::string &text);

} // namespace gooseberrymoor
