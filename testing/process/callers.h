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

// Callers that run on a background thread until they are stopped. Each one fetches the directory,
// caches it for its time to live, connects to a listed entry and sends one request at a time. They
// never send a request twice, so each record is the outcome of a single attempt.
class callers
{
public:
    // `entries` are asked for the first directory. One in `nonIdempotentInterval` requests is not
    // idempotent; 0 for none.
    callers(std::vector<gooseberrymoor::endpoint> entries, int count, int nonIdempotentInterval);
    ~callers();

    // Waits until every caller has finished its current request, and returns all records.
    caller_history stop();

    // The number of finished requests.
    int finishedRequests() const { return m_finishedRequests; }

private:
    class caller;

    boost::asio::io_context m_context { 1 };
    std::vector<std::unique_ptr<caller>> m_callers;
    std::vector<caller_record> m_records;
    std::atomic<int> m_finishedRequests = 0;
    std::atomic<bool> m_stopRequested = false;
    std::thread m_thread;
};
