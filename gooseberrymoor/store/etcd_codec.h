#pragma once

#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/store/store_entry.h"
#include "gooseberrymoor/store/store_transaction.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace gooseberrymoor {

// Encoding of the JSON gateway of the etcd v3 API
// (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/): keys and values are Base64, 64-bit
// integers are strings. Decoding errors describe the malformed field or the JSON error.

// Body of POST /v3/kv/range for all keys with `prefix`.
std::string encodeRangeRequest(const std::string &prefix);

// Body of POST /v3/kv/range for exactly `key`.
std::string encodeKeyRequest(const std::string &key);

// Decodes the response to a range request.
tl::expected<store_read, std::string> decodeRangeResponse(const std::string &body);

// Body of POST /v3/kv/txn.
std::string encodeTransaction(const store_transaction &transaction);

// Decodes the response to a transaction. A transaction whose conditions failed is a result, not an
// error.
tl::expected<transaction_result, std::string> decodeTransactionResponse(const std::string &body);

// Body of POST /v3/lease/grant. etcd counts leases in whole seconds: `timeToLive` is rounded up, to
// at least one second.
std::string encodeLeaseGrant(duration timeToLive);

// Decodes the response to a lease grant: the lease ID, never 0.
tl::expected<std::int64_t, std::string> decodeLeaseGrant(const std::string &body);

// Body of POST /v3/lease/keepalive.
std::string encodeKeepAlive(std::int64_t lease);

// Decodes the response to a lease renewal: the remaining time to live, zero if the lease has
// expired.
tl::expected<duration, std::string> decodeKeepAlive(const std::string &body);

// Body of POST /v3/watch for changes after `afterRevision` to keys with `prefix`.
std::string encodeWatch(const std::string &prefix, std::int64_t afterRevision);

// Decodes one line of a watch stream. Returns true if it reports a change, or if the store
// cancelled the watch, as it does when it no longer has the history that was asked for.
tl::expected<bool, std::string> decodeWatchLine(const std::string &line);

} // namespace gooseberrymoor
