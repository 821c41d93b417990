#include "gooseberrymoor/rollout/evidence_codec.h"

#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/wire.h"
#include "gooseberrymoor/rollout/evidence_window.h"
#include "gooseberrymoor/rollout/version_evidence_generated.h"

#include <algorithm>
#include <vector>

namespace gooseberrymoor {

namespace {

using row_offset = flatbuffers::Offset<wire::evidence_row>;

row_offset encodeRow(flatbuffers::FlatBufferBuilder &builder, const evidence_key &key,
                     const version_counts &counts)
{
    const auto service = builder.CreateString(key.service);
    const auto route = builder.CreateString(key.route);
    const auto version = builder.CreateString(key.version);
    const auto latency = builder.CreateVector(counts.latency.data(), counts.latency.size());
    return wire::Createevidence_row(builder, service, route, version, counts.answers, counts.failed,
                                    counts.malformed, counts.timedOut, counts.lost, latency);
}

bool isBounded(const evidence_key &key)
{
    return key.service.size() <= most_name_bytes && key.route.size() <= most_name_bytes
        && key.version.size() <= most_name_bytes;
}

} // namespace

std::uint64_t sendEvidence(peer_channel &channel, const evidence_window &window)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<row_offset> rows;
    for (const auto &[key, counts] : window.rows)
        rows.push_back(encodeRow(builder, key, counts));
    const auto vector = builder.CreateVector(rows);
    builder.Finish(wire::Createversion_evidence(builder, window.index, vector));
    return channel.send(message_kind::version_evidence, bytesOf(builder));
}

std::optional<evidence_window> decodeEvidence(std::span<const std::uint8_t> payload)
{
    const auto *from = verifiedRoot<wire::version_evidence>(payload);
    if (!from || !from->rows() || from->rows()->size() > most_evidence_rows)
        return std::nullopt;
    evidence_window window;
    window.index = from->index();
    for (const wire::evidence_row *row : *from->rows()) {
        const evidence_key key { textOf(row->service()), textOf(row->route()),
                                 textOf(row->version()) };
        if (!isBounded(key) || !row->latency() || row->latency()->size() != latency_buckets)
            return std::nullopt;
        version_counts &counts = window.rows[key];
        counts.answers = row->answers();
        counts.failed = row->failed();
        counts.malformed = row->malformed();
        counts.timedOut = row->timed_out();
        counts.lost = row->lost();
        std::copy(row->latency()->begin(), row->latency()->end(), counts.latency.begin());
    }
    return window;
}

} // namespace gooseberrymoor
