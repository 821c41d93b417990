#include "gooseberrymoor/store/key_value_store.h"

namespace gooseberrymoor {

namespace {

store_error notSupported()
{
    return { store_failure::unavailable, verdict::not_run, "not supported by this store" };
}

} // namespace

asio::awaitable<tl::expected<store_read, store_error>> key_value_store::readKey(std::string key)
{
    auto read = co_await readPrefix(key);
    if (read)
        std::erase_if(read->entries, [&key](const store_entry &entry) { return entry.key != key; });
    co_return read;
}

asio::awaitable<tl::expected<store_lease, store_error>> key_value_store::grantLease(duration)
{
    co_return tl::unexpected(notSupported());
}

asio::awaitable<tl::expected<lease_renewal, store_error>> key_value_store::keepAlive(std::int64_t)
{
    co_return tl::unexpected(notSupported());
}

asio::awaitable<tl::expected<bool, store_error>>
key_value_store::waitForChange(std::string, std::int64_t, duration)
{
    co_return tl::unexpected(notSupported());
}

asio::awaitable<tl::expected<store_changes, store_error>>
key_value_store::readChanges(std::string, std::int64_t, duration)
{
    co_return tl::unexpected(notSupported());
}

asio::awaitable<tl::expected<void, store_error>> key_value_store::revokeLease(std::int64_t)
{
    co_return tl::unexpected(notSupported());
}

} // namespace gooseberrymoor
