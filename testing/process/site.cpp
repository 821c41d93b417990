#include "site.h"

#include "gooseberrymoor/configuration/configuration_codec.h"
#include "gooseberrymoor/http/http_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

using namespace gooseberrymoor;

namespace {

constexpr int peer_port_offset = 10;
constexpr int entry_port_offset = 30;
constexpr int target_port_offset = 60;
constexpr int relay_port_offset = 90;
constexpr duration call_timeout { 5000 };
const std::vector<std::string> target_names { "g1-a", "g1-b", "g1-c", "g2-a", "g2-b", "g2-c" };
const std::vector<std::string> zone_letters { "a", "b", "c" };

std::string makeTempFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "site-XXXXXX").string();
    return mkdtemp(pattern.data());
}

int numberOf(const std::string &nodeName)
{
    return std::stoi(nodeName.substr(1));
}

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string program(const std::string &name)
{
    return std::string(PROGRAM_FOLDER) + "/" + name;
}

} // namespace

site::site(int firstPort) : m_firstPort(firstPort), m_folder(makeTempFolder()) { }

site::~site()
{
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
}

service_config site::service() const
{
    service_config result;
    result.name = "standings";
    result.limits = { 4, 35, 1, duration(1000) };
    for (const std::string group : { "g1", "g2" }) {
        group_config members { group, {} };
        for (const std::string &letter : zone_letters) {
            const std::string name = group + "-" + letter;
            members.targets.push_back(
                { name, connectAddressOf(name), "kl-" + letter, "v1", false });
        }
        result.groups.push_back(members);
    }
    result.snapshots = { { "s1", { { "heat-1", "g1" }, { "heat-2", "g2" } } } };
    result.versions = { { "v1", 1000, false } };
    return result;
}

endpoint site::addressOf(const std::string &name) const
{
    int port = m_firstPort;
    if (name.starts_with("n"))
        port += entry_port_offset + numberOf(name);
    else if (name.starts_with("g"))
        port += target_port_offset + (name[1] - '0') * 10 + (name[3] - 'a');
    return { "127.0.0.1", static_cast<std::uint16_t>(port) };
}

void site::start(const std::string &name, std::vector<std::string> arguments)
{
    m_arguments[name] = arguments;
    m_processes.try_emplace(name, std::move(arguments), fileOf(name + ".log"));
}

void site::restart(const std::string &name)
{
    kill(name);
    m_processes.try_emplace(name, m_arguments.at(name), fileOf(name + ".log"));
}

tcp_relay &site::addRelay(const std::string &name)
{
    auto &relay = m_relays[name];
    if (!relay) {
        const auto number = static_cast<int>(m_relays.size()) - 1;
        const endpoint local {
            "127.0.0.1", static_cast<std::uint16_t>(m_firstPort + relay_port_offset + number)
        };
        relay = std::make_unique<tcp_relay>(local, addressOf(name));
        m_relayAddresses[name] = local;
    }
    return *relay;
}

endpoint site::connectAddressOf(const std::string &name) const
{
    const auto relayed = m_relayAddresses.find(name);
    return relayed == m_relayAddresses.end() ? addressOf(name) : relayed->second;
}

void site::startBackEnds(int targetLatencyMs, const std::string &extraSettings)
{
    start("store", { program("store_stand_in"), "--listen=" + toString(addressOf("store")) });
    for (const std::string &name : target_names)
        startTarget(name, targetLatencyMs, extraSettings);
    eventually([this] { return call("store", "/v3/kv/range", R"({"key":"AA=="})").has_value(); });
    putService(service());
}

void site::startTarget(const std::string &name, int latencyMs, const std::string &extraSettings)
{
    const std::string settings = "[target]\nlisten=" + toString(addressOf(name))
        + "\nsnapshots=s1,s2\nslots=4\nlatency_ms=" + std::to_string(latencyMs) + "\n"
        + extraSettings;
    m_targets.push_back(name);
    start(name, { program("target_stand_in"), "--settings=" + writeFile(name + ".ini", settings) });
}

std::string site::writeFile(const std::string &name, const std::string &text) const
{
    std::ofstream(fileOf(name)) << text;
    return fileOf(name);
}

void site::startNode(const std::string &name, const std::string &extraSettings)
{
    const int number = numberOf(name);
    const std::string zone = "kl-" + zone_letters[static_cast<std::size_t>(number - 1) % 3];
    std::ofstream(fileOf(name + ".ini"))
        << "[node]\nname=" << name << "\navailability_zone=" << zone
        << "\npeer_address=" << loopback(m_firstPort + peer_port_offset + number)
        << "\nentry_address=" << toString(addressOf(name))
        << "\n[store]\naddresses=" << toString(connectAddressOf("store"))
        << "\npoll_ms=200\ntimeout_ms=1000\n[shutdown]\nlinger_ms=2500\n"
        << extraSettings;
    start(name, { program("gooseberrymoord"), "--settings=" + fileOf(name + ".ini") });
}

void site::startNodes(int count, const std::string &extraSettings)
{
    std::vector<std::string> names;
    for (int number = 1; number <= count; ++number) {
        names.push_back("n" + std::to_string(number));
        startNode(names.back(), extraSettings);
    }
    waitUntilReady(names);
}

bool site::waitUntilReady(const std::vector<std::string> &names)
{
    return eventually([&] {
        return std::ranges::all_of(names, [&](const std::string &name) {
            const auto dump = callJson(name, "/v1/dump");
            if (dump.empty() || dump.at("phase").as_string() != "ready")
                return false;
            std::set<std::string> linked { name };
            for (const auto &link : dump.at("links").as_array())
                linked.insert(std::string(link.as_string()));
            return std::ranges::all_of(names,
                                       [&](const auto &each) { return linked.contains(each); });
        });
    });
}

int site::putService(const service_config &service)
{
    const std::string file = fileOf("service.json");
    std::ofstream(file) << encodeService(service);
    return runCommand({ "service", "put", file });
}

int site::runCommand(std::vector<std::string> arguments)
{
    return startCommand(std::move(arguments)).wait();
}

child_process site::startCommand(std::vector<std::string> arguments) const
{
    arguments.insert(arguments.begin(), program("gooseberrymoor"));
    arguments.push_back("--store=" + toString(addressOf("store")));
    return { std::move(arguments), fileOf("command.log") };
}

void site::kill(const std::string &name)
{
    m_processes.erase(name);
}

std::optional<http_reply> site::call(const std::string &name, const std::string &path,
                                     const std::string &body) const
{
    return exchangeNow(addressOf(name), http_request(body.empty() ? "GET" : "POST", path, body));
}

boost::json::object site::callJson(const std::string &name, const std::string &path,
                                   const std::string &body) const
{
    const auto reply = call(name, path, body);
    if (!reply)
        return {};
    boost::system::error_code error;
    const auto document = boost::json::parse(reply->body, error);
    return error || !document.is_object() ? boost::json::object() : document.as_object();
}

std::string site::logOf(const std::string &name) const
{
    std::ifstream file(fileOf(name + ".log"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void pauseFor(duration time)
{
    std::this_thread::sleep_for(time);
}

std::optional<http_reply> exchangeNow(const endpoint &server, const http_request &request)
{
    asio::io_context context(1);
    std::optional<http_reply> result;
    asio::co_spawn(
        context, exchangeOnce(server, request, millis_clock::now() + call_timeout),
        [&result](std::exception_ptr failure, tl::expected<http_reply, http_failure> reply) {
            if (!failure && reply)
                result = std::move(*reply);
        });
    context.run();
    return result;
}
