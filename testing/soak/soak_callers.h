#pragma once

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/net.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace gooseberrymoor {

// One request and its outcome. Value type.
struct soak_record
{
    std::string attemptId;
    std::string path;
    bool isRepeatable = true; // whether its route allows more than one run
    unsigned status = 0; // 0 if there was no answer
    bool isOwnAnswer = false; // the answer is complete and was made for this request
    bool mustNotRun = false; // it was sent in part only, or as the body of another request
};

// Callers that keep a connection until it closes and then connect to a random node, and one that
// sends requests in chunks and in pieces, and others whose length is in doubt, on new connections.
// Not thread-safe.
class soak_callers
{
public:
    soak_callers(asio::any_io_executor executor, std::vector<endpoint> nodes);

    // Starts `count` callers that keep their connections, and the other one, which send requests
    // until `stop`.
    void start(std::size_t count, std::uint32_t seed);
    void stop() { m_stopped = true; }

    // Whether all callers have ended.
    bool haveStopped() const { return m_running == 0; }

    const std::vector<soak_record> &records() const { return m_records; }

private:
    asio::awaitable<void> run(std::uint32_t seed);
    asio::awaitable<void> runChunked(std::uint32_t seed);
    asio::awaitable<void> sendChunked(endpoint node, std::uint32_t seed, soak_record record);
    asio::awaitable<void> sendSmuggled(endpoint node, soak_record record);
    soak_record makeRecord(std::minstd_rand &random);

    asio::any_io_executor m_executor;
    std::vector<endpoint> m_nodes;
    counters m_events;
    std::vector<soak_record> m_records;
    std::size_t m_running = 0;
    std::uint64_t m_lastId = 0;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
