#pragma once

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/millis_clock.h"
#include "gooseberrymoor/http/http_handler.h"

#include <map>
#include <string>

namespace gooseberrymoor {

// The fault that a leaf stand-in currently simulates.
enum class leaf_fault_mode {
    no_fault,
    full, // refuses requests without running them
    failing, // runs requests and answers with the failure status
    lost_reply, // runs requests and closes the connection without an answer
};

// Stand-in for a target of the platform. It runs requests whose expected instance is its own id,
// signs its answers and counts its runs. Not thread-safe.
class leaf_stand_in : public http_handler
{
public:
    // `body` is the body of its answers.
    leaf_stand_in(std::string id, std::string service, endpoint address, std::string zone,
                  std::string body);

    asio::awaitable<http_reply> handle(http_request request) override;
    http_reply refuse(error_kind kind, std::string detail) override;

    void setFaultMode(leaf_fault_mode mode) { m_faultMode = mode; }
    void setLatency(duration latency) { m_latency = latency; }

    // The status of the answers in `leaf_fault_mode::failing`.
    void setFailureStatus(unsigned status) { m_failureStatus = status; }

    // Makes all answers say that the target is leaving; its entry in the store stays as it is.
    void setLeaving(bool leaving) { m_leaving = leaving; }

    // The value of Retry-After in refusals; none if empty.
    void setRetryAfter(std::string value) { m_retryAfter = std::move(value); }

    // Simulates that another target took over the address: requests for the old id are refused.
    void setId(std::string id) { m_id = std::move(id); }

    // Sets the address to advertise, if it differs from the listen address.
    void setAddress(endpoint address) { m_address = std::move(address); }

    // Starts the target anew under its id: it forgets that it was leaving.
    void restart();

    // The value that the target registers in the store: that of its last write, or of the next one.
    std::string entry(const std::string &state = "ready") const;
    std::string nextEntry(const std::string &state = "ready");

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    const endpoint &address() const { return m_address; }

    // How often the request with the id `attemptId` ran, and the runs of all requests.
    int runsOf(const std::string &attemptId) const;
    int runs() const { return m_runs; }

    // The highest number of requests that ran at the same time.
    int maxRunning() const { return m_maxRunning; }

    // How many requests have arrived, refused ones included.
    int arrivals() const { return m_arrivals; }

private:
    http_reply withOwnState(http_reply reply) const;
    http_reply refusal(unsigned status) const;

    std::string m_id;
    std::string m_service;
    endpoint m_address;
    std::string m_zone;
    std::string m_body;
    leaf_fault_mode m_faultMode = leaf_fault_mode::no_fault;
    unsigned m_failureStatus = 500;
    duration m_latency { 1 };
    std::map<std::string, int> m_runsById;
    int m_runs = 0;
    int m_running = 0;
    int m_maxRunning = 0;
    int m_arrivals = 0;
    int m_incarnation = 1;
    int m_sequence = 0; // of the last entry
    bool m_leaving = false;
    std::string m_retryAfter;
};

} // namespace gooseberrymoor
