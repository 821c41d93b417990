#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/http/http_handler.h"

#include <map>
#include <string>

namespace gooseberrymoor {

// What a leaf stand-in does with requests now.
enum class leaf_fault_mode {
    no_fault,
    full, // refuses, as not run
    failing, // runs and fails
    lost_reply, // runs and closes without an answer
};

// A target of the platform: runs requests that expect it, signs its answers, and counts what it
// ran. Not thread-safe.
class leaf_stand_in : public http_handler
{
public:
    // `body` is what it answers.
    leaf_stand_in(std::string id, std::string service, endpoint address, std::string zone,
                  std::string body);

    asio::awaitable<http_reply> handle(http_request request) override;
    http_reply refuse(error_kind kind) override;

    void setFaultMode(leaf_fault_mode mood) { m_faultMode = mood; }
    void setLatency(duration latency) { m_latency = latency; }

    // A target of another service has the address from now on.
    void setId(std::string id) { m_id = std::move(id); }

    // Where callers reach it, if that is not where it listens.
    void setAddress(endpoint address) { m_address = std::move(address); }

    // What it writes of itself to the store.
    std::string entry(const std::string &state = "ready") const;

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    const endpoint &address() const { return m_address; }

    // Runs of the request with the id `attemptId`, and of all requests.
    int runsOf(const std::string &attemptId) const;
    int runs() const { return m_runs; }

private:
    std::string m_id;
    std::string m_service;
    endpoint m_address;
    std::string m_zone;
    std::string m_body;
    leaf_fault_mode m_faultMode = leaf_fault_mode::no_fault;
    duration m_latency { 1 };
    std::map<std::string, int> m_runsById;
    int m_runs = 0;
};

} // namespace gooseberrymoor
