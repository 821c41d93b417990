#pragma once

#include "caller_history.h"

#include "gooseberrymoor/base/endpoint.h"
#include "gooseberrymoor/base/net.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

// Correct callers that run beside a test until they are told to stop: each asks for the directory,
// keeps the answer for its time to live, connects there, and sends one request after another. A
// request is sent again only if it surely has not run.
class callers
{
public:
    // `entries` are asked first. One request in `every` is not idempotent (0: none).
    callers(std::vector<gooseberrymoor::endpoint> entries, int count, int every);
    ~callers();

    // Lets every caller end its request, and returns what they saw.
    caller_history stop();

    // Requests ended so far.
    int ended() const { return m_ended; }

private:
    class caller;

    boost::asio::io_context m_context { 1 };
    std::vector<std::unique_ptr<caller>> m_callers;
    std::vector<caller_record> m_records;
    std::atomic<int> m_ended = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};
