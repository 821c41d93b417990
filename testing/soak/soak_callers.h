#pragma once

#include "gooseberrymoor/base/counters.h"
#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/net.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace gooseberrymoor {

// What became of one request. Value type.
struct soak_record
{
    std::string attemptId;
    std::string path;
    bool isRepeatable = true;
    unsigned status = 0; // 0: no answer
};

// Callers that keep their connections as long as they last, and go to any node with the next one.
// Not thread-safe.
class soak_callers
{
public:
    soak_callers(asio::any_io_executor executor, std::vector<endpoint> nodes);

    // Starts `count` callers; they ask until `stop`.
    void start(std::size_t count, std::uint32_t seed);
    void stop() { m_stopped = true; }

    // Whether none of them asks any more.
    bool haveStopped() const { return m_running == 0; }

    const std::vector<soak_record> &records() const { return m_records; }

private:
    asio::awaitable<void> run(std::uint32_t seed);
    soak_record draw(std::minstd_rand &random);

    asio::any_io_executor m_executor;
    std::vector<endpoint> m_nodes;
    counters m_events;
    std::vector<soak_record> m_records;
    std::size_t m_running = 0;
    std::uint64_t m_lastId = 0;
    bool m_stopped = false;
};

} // namespace gooseberrymoor
