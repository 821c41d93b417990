#pragma once

#include "gooseberrymoor/base/net.h"
#include "gooseberrymoor/base/signal.h"
#include "gooseberrymoor/rollout/move_record.h"
#include "gooseberrymoor/rollout/move_step.h"
#include "gooseberrymoor/rollout/move_timing.h"
#include "gooseberrymoor/rollout/wall_time.h"
#include "gooseberrymoor/store/store_transaction.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace gooseberrymoor {

class configuration_holder;
class counters;
class event_log;
class key_value_store;
class version_evidence;
struct cell_view;

// Who a driver is and how it works. Value type.
struct rollout_settings
{
    std::string ownName;
    std::string cell;
    duration poll { 2000 }; // between two reads of moves of which some are not final
    duration idlePollInterval { 5000 }; // between two reads if all are final, or there are none
    std::uint64_t seed = 0; // of the jitter and of operation ids
    move_timing timing;
};

// Follows the moves that this node drives: reads them from the store, decides, writes the next
// step. It keeps nothing that matters: what a lost answer or another driver did is seen at the
// next read, and every write is conditional on what it was decided from. Not thread-safe.
class rollout_driver
{
public:
    // The newest view of the cell.
    using view_source = std::function<const cell_view &()>;

    // References must outlive the driver.
    rollout_driver(asio::any_io_executor executor, rollout_settings settings,
                   key_value_store &store, const configuration_holder &configurations,
                   const version_evidence &evidence, view_source view, wall_clock wallNow,
                   event_log &log, counters &events);

    // Follows moves until `stop`.
    asio::awaitable<void> run();

    // Reads the moves of each driven service once and writes at most one step for each.
    asio::awaitable<void> driveOnce();

    // Ends `run` at its next wait.
    void stop();

    // The moves that this node drives or has driven, as last read, by their ids.
    const std::map<std::string, move_record> &moves() const { return m_seen; }

private:
    std::vector<std::string> drivenServices() const;
    bool drives(const std::string &service) const;
    asio::awaitable<void> driveService(std::string service);
    asio::awaitable<void> drive(move_record record);
    asio::awaitable<void> deleteIfExpired(move_record record);
    store_transaction transactionFor(const move_step &step, std::int64_t baseRevision);
    void logStateChange(const move_record &record);
    duration nextPollDelay();

    rollout_settings m_settings;
    key_value_store &m_store;
    const configuration_holder &m_configurations;
    const version_evidence &m_evidence;
    view_source m_view;
    wall_clock m_wallNow;
    event_log &m_log;
    counters &m_events;
    signal m_wake;
    std::mt19937_64 m_random;
    std::map<std::string, move_record> m_seen; // as last read, by move
    bool m_hasOpenMoves = false; // among those read last
    bool m_stopped = false;
};

} // namespace gooseberrymoor
