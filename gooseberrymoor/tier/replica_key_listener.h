#pragma once

#include "gooseberrymoor/mirror/mirror_listener.h"

#include <map>
#include <string>

namespace gooseberrymoor {

class catalog_decoder;
class counters;
class event_log;
class replica_set;

// Applies the keys under which targets register themselves. A key with an invalid value is treated
// as removed. Not thread-safe. What is passed by reference must outlive it.
class replica_key_listener : public mirror_listener
{
public:
    replica_key_listener(const catalog_decoder &decoder, replica_set &replicas, event_log &log,
                         counters &counters);

    void onValue(const std::string &key, const std::string &value, std::int64_t revision) override;
    void onRemoved(const std::string &key) override;
    std::size_t maxValueBytes() const override;
    bool isSignificantChange(const std::string &before, const std::string &after) const override;
    value_order orderOf(const std::string &value, const std::string &known) const override;

private:
    const catalog_decoder &m_decoder;
    replica_set &m_replicas;
    event_log &m_log;
    counters &m_counters;
    std::map<std::string, std::string> m_targetIds; // by key
};

} // namespace gooseberrymoor
