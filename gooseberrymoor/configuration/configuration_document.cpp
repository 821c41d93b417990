#include "gooseberrymoor/configuration/configuration_document.h"

#include "gooseberrymoor/configuration/configuration.h"
#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/configuration/configuration_keys.h"
#include "gooseberrymoor/store/store_entry.h"

namespace gooseberrymoor {

tl::expected<configuration, std::string> parseConfiguration(const store_read &read,
                                                            const configuration_keys &keys)
{
    configuration result;
    for (const store_entry &entry : read.entries) {
        if (entry.key == keys.head()) {
            result.revision = entry.modRevision;
        } else if (entry.key == keys.zonesOut()) {
            auto zones = decodeZones(entry.value);
            if (!zones)
                return tl::unexpected(entry.key + ": " + zones.error());
            result.zonesOut = std::move(*zones);
        } else if (entry.key.starts_with(keys.servicePrefix())) {
            auto service = decodeService(entry.value);
            if (!service)
                return tl::unexpected(entry.key + ": " + service.error());
            result.services[service->name] = std::move(*service);
        }
    }
    return result;
}

std::int64_t revisionOf(const store_read &read, const configuration_keys &keys)
{
    for (const store_entry &entry : read.entries) {
        if (entry.key == keys.head())
            return entry.modRevision;
    }
    return 0;
}

} // namespace gooseberrymoor
