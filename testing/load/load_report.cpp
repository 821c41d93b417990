#include "load_report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <sstream>

using namespace gooseberrymoor;

namespace {

constexpr std::size_t max_examples = 5;

struct named_quantile
{
    const char *name;
    double quantile;
};

constexpr std::array quantiles { named_quantile { "p50_ms", 0.5 }, named_quantile { "p90_ms", 0.9 },
                                 named_quantile { "p99_ms", 0.99 },
                                 named_quantile { "p99.9_ms", 0.999 } };

double shareOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

void load_report::addAnswer(const checked_answer &answer, duration latency)
{
    ++m_answers;
    m_latency.record(latency);
    m_maxLatency = std::max(m_maxLatency, latency);
    m_fullyCovered += answer.covered == answer.shards ? 1 : 0;
    m_shards += answer.shards;
    m_covered += answer.covered;
    m_leafRequests += static_cast<std::uint64_t>(answer.leafRequests);
    m_extra += static_cast<std::uint64_t>(answer.extra);
}

void load_report::addRefusal(error_kind kind, verdict outcome)
{
    ++m_refusals[{ std::string(nameOf(kind)), std::string(nameOf(outcome)) }];
}

void load_report::addFailure(verdict outcome)
{
    ++m_failures[std::string(nameOf(outcome))];
}

void load_report::addInvalidAnswer(const std::string &violation)
{
    ++m_invalidAnswers;
    if (m_examples.size() < max_examples)
        m_examples.push_back(violation);
}

std::uint64_t load_report::requests() const
{
    std::uint64_t total = m_answers;
    for (const auto &[key, count] : m_refusals)
        total += count;
    for (const auto &[key, count] : m_failures)
        total += count;
    return total;
}

std::string load_report::text(duration elapsed) const
{
    std::ostringstream out;
    const double seconds = static_cast<double>(elapsed.count()) / 1000;
    out << "requests " << requests() << ", answers " << m_answers << ", whole " << m_fullyCovered
        << " (" << static_cast<double>(m_fullyCovered) / seconds << " a second)\n";
    out << "latency";
    for (const named_quantile &each : quantiles)
        out << " " << each.name << "=" << m_latency.quantile(each.quantile).count();
    out << " max_ms=" << m_maxLatency.count() << "\n";
    out << "coverage " << m_covered << " of " << m_shards << " shards ("
        << 100 * shareOf(m_covered, m_shards) << "%)\n";
    out << "leaf requests " << m_leafRequests << ", extra " << m_extra << " ("
        << 100 * shareOf(m_extra, m_leafRequests - m_extra) << "% of first ones)\n";
    out << "sent to another entry " << m_resends << "\n";
    for (const auto &[key, count] : m_refusals)
        out << "refused " << key.first << " " << key.second << " " << count << "\n";
    for (const auto &[outcome, count] : m_failures)
        out << "connection failed " << outcome << " " << count << "\n";
    out << "wrong answers " << m_invalidAnswers << "\n";
    for (const std::string &example : m_examples)
        out << "wrong: " << example << "\n";
    return out.str();
}

std::string load_report::json(duration elapsed) const
{
    namespace json = boost::json;
    json::object latency { { "max_ms", m_maxLatency.count() } };
    for (const named_quantile &each : quantiles)
        latency[each.name] = m_latency.quantile(each.quantile).count();
    json::array refusals;
    for (const auto &[key, count] : m_refusals) {
        refusals.push_back(
            json::object { { "kind", key.first }, { "verdict", key.second }, { "count", count } });
    }
    json::object failures;
    for (const auto &[outcome, count] : m_failures)
        failures[outcome] = count;
    json::array examples;
    for (const std::string &example : m_examples)
        examples.push_back(json::string(example));
    return json::serialize(json::object { { "elapsed_ms", elapsed.count() },
                                          { "requests", requests() },
                                          { "answers", m_answers },
                                          { "whole", m_fullyCovered },
                                          { "latency", latency },
                                          { "shards", m_shards },
                                          { "covered", m_covered },
                                          { "leaf_requests", m_leafRequests },
                                          { "extra", m_extra },
                                          { "resends", m_resends },
                                          { "refusals", refusals },
                                          { "connection_failures", failures },
                                          { "wrong", m_invalidAnswers },
                                          { "wrong_examples", examples } })
        + "\n";
}
