#include "gooseberrymoor/fleet/heartbeat_codec.h"

#include "gooseberrymoor/fleet/fleet_heartbeat_generated.h"
#include "gooseberrymoor/peer/wire.h"

namespace gooseberrymoor {

std::vector<std::uint8_t> encodeHeartbeat(const peer_report &report)
{
    flatbuffers::FlatBufferBuilder builder;
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> silent;
    if (!report.silent.empty())
        silent = builder.CreateVectorOfStrings({ report.silent.begin(), report.silent.end() });
    builder.Finish(wire::Createfleet_heartbeat(builder, report.leaving, report.storeLost,
                                               report.watchesAll, silent));
    const auto bytes = bytesOf(builder);
    return { bytes.begin(), bytes.end() };
}

std::optional<peer_report> decodeHeartbeat(std::span<const std::uint8_t> payload)
{
    const auto *heartbeat = verifiedRoot<wire::fleet_heartbeat>(payload);
    if (!heartbeat)
        return std::nullopt;
    peer_report report;
    report.leaving = heartbeat->leaving();
    report.storeLost = heartbeat->store_lost();
    report.watchesAll = heartbeat->watches_all();
    if (heartbeat->silent()) {
        for (const auto *each : *heartbeat->silent())
            report.silent.insert(each->str());
    }
    return report;
}

} // namespace gooseberrymoor
