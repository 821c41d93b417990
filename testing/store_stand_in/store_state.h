#pragma once

#include <cstdint>
#include <map>
#include <string>

// Keys, values and revisions of the stand-in, changed through the JSON form of the etcd v3 API.
class store_state
{
public:
    // Answers the body of POST /v3/kv/range.
    std::string range(const std::string &body) const;

    // Answers the body of POST /v3/kv/txn.
    std::string transact(const std::string &body);

private:
    struct entry
    {
        std::string value;
        std::int64_t modRevision = 0;
    };

    std::map<std::string, entry> m_entries;
    std::int64_t m_revision = 1;
};
