#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/store/store_entry.h"
#include "gooseberrymoor/store/store_transaction.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// The JSON form of the etcd v3 API (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/):
// keys and values in base64, 64-bit numbers as text.

// Body of POST /v3/kv/range for all keys that begin with `prefix`.
std::string encodeRangeRequest(const std::string &prefix);

// Body of POST /v3/kv/range for the one key `key`.
std::string encodeKeyRequest(const std::string &key);

// Reads the answer to a range request; the error says what is at fault.
tl::expected<store_read, std::string> decodeRangeResponse(const std::string &body);

// Body of POST /v3/kv/txn.
std::string encodeTransaction(const store_transaction &transaction);

// Reads the answer to a transaction.
tl::expected<transaction_result, std::string> decodeTransactionResponse(const std::string &body);

// Body of POST /v3/lease/grant; etcd counts leases in whole seconds, at least one.
std::string encodeLeaseGrant(duration timeToLive);

// Reads the answer to a grant: the lease's number, never 0.
tl::expected<std::int64_t, std::string> decodeLeaseGrant(const std::string &body);

// Body of POST /v3/lease/keepalive.
std::string encodeKeepAlive(std::int64_t lease);

// Reads the answer to a renewal: how long the lease lasts, zero if it has ended.
tl::expected<duration, std::string> decodeKeepAlive(const std::string &body);

// Body of POST /v3/watch for changes after `afterRevision` of keys that begin with `prefix`.
std::string encodeWatch(const std::string &prefix, std::int64_t afterRevision);

// Reads one line of the answer to a watch: whether it tells of a change, or that the store can
// no longer tell what changed.
tl::expected<bool, std::string> decodeWatchLine(const std::string &line);

} // namespace gooseberrymoor
