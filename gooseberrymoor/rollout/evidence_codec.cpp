#include "gooseberrymoor/rollout/evidence_codec.h"

#include "gooseberrymoor/peer/peer_channel.h"
#include "gooseberrymoor/peer/wire.h"
#include "gooseberrymoor/rollout/evidence_window.h"
#include "gooseberrymoor/rollout/version_evidence_generated.h"

#include <vector>

namespace gooseberrymoor {

namespace {

using row_offset = flatbuffers::Offset<wire::evidence_row>;

row_offset encodeRow(flatbuffers::FlatBufferBuilder &builder, const evidence_key &key,
                     const version_counts &counts)
{
    std::vector<std::uint8_t> buckets;
    std::vector<std::uint32_t> bucketCounts;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        if (counts.latency[i] == 0)
            continue;
        buckets.push_back(static_cast<std::uint8_t>(i));
        bucketCounts.push_back(counts.latency[i]);
    }
    const auto service = builder.CreateSharedString(key.service);
    const auto route = builder.CreateSharedString(key.route);
    const auto version = builder.CreateSharedString(key.version);
    const auto target = builder.CreateSharedString(key.target);
    const auto bucketVector = builder.CreateVector(buckets);
    const auto countVector = builder.CreateVector(bucketCounts);
    return wire::Createevidence_row(builder, service, route, version, target, counts.answers,
                                    counts.failed, counts.malformed, counts.timedOut, counts.lost,
                                    bucketVector, countVector);
}

// Reads the latencies of a row. Returns false if they are malformed.
bool decodeLatency(const wire::evidence_row &row, version_counts &counts)
{
    const auto *buckets = row.latency_buckets();
    const auto *bucketCounts = row.latency_counts();
    if (!buckets || !bucketCounts || buckets->size() != bucketCounts->size()
        || buckets->size() > latency_buckets)
        return false;
    for (flatbuffers::uoffset_t i = 0; i < buckets->size(); ++i) {
        if (buckets->Get(i) >= latency_buckets)
            return false;
        counts.latency[buckets->Get(i)] = bucketCounts->Get(i);
    }
    return true;
}

bool hasValidLengths(const evidence_key &key)
{
    return key.service.size() <= max_name_bytes && key.route.size() <= max_name_bytes
        && key.version.size() <= max_name_bytes && key.target.size() <= max_name_bytes;
}

} // namespace

std::vector<std::uint8_t> encodeEvidence(const evidence_window &window)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<row_offset> rows;
    for (const auto &[key, counts] : window.rows)
        rows.push_back(encodeRow(builder, key, counts));
    const auto vector = builder.CreateVector(rows);
    builder.Finish(wire::Createversion_evidence(builder, window.index, vector));
    const auto bytes = bytesOf(builder);
    return { bytes.begin(), bytes.end() };
}

std::uint64_t sendEvidence(peer_channel &channel, const evidence_window &window)
{
    return channel.send(message_kind::version_evidence, encodeEvidence(window));
}

std::optional<evidence_window> decodeEvidence(std::span<const std::uint8_t> payload)
{
    const auto *from = verifiedRoot<wire::version_evidence>(payload);
    if (!from || !from->rows() || from->rows()->size() > max_evidence_rows)
        return std::nullopt;
    evidence_window window;
    window.index = from->index();
    for (const wire::evidence_row *row : *from->rows()) {
        const evidence_key key { textOf(row->service()), textOf(row->route()),
                                 textOf(row->version()), textOf(row->target()) };
        version_counts counts;
        if (!hasValidLengths(key) || !decodeLatency(*row, counts))
            return std::nullopt;
        counts.answers = row->answers();
        counts.failed = row->failed();
        counts.malformed = row->malformed();
        counts.timedOut = row->timed_out();
        counts.lost = row->lost();
        window.rows[key] = counts;
    }
    return window;
}

} // namespace gooseberrymoor
