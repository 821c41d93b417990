#include "settings_file.h"

#include "platform/platform_settings.h"

#include <sstream>

namespace gooseberrymoor {

std::string formatSettingsFile(const platform::platform_settings &settings, int graceSeconds)
{
    const fleet_member &own = settings.tier.own;
    std::ostringstream text;
    text << "node = \"" << own.name << "\"\n"
         << "zone = \"" << own.availabilityZone << "\"\n"
         << "ip_address = \"" << own.peerAddress.address << "\"\n"
         << "internal_ports = [" << own.peerAddress.port << "]\n"
         << "[listen_addresses]\n"
         << "front = \"" << toString(settings.callerAddress) << "\"\n"
         << "ready = \"" << toString(settings.readinessAddress) << "\"\n"
         << "directory = \"" << toString(settings.directoryAddress) << "\"\n"
         << "[bounds]\n"
         << "retry_budget_ratio = " << settings.tier.repeats.ratio << "\n"
         << "budget_slack = " << settings.tier.repeats.slack << "\n"
         << "budget_window_s = 10\n"
         << "cold_burst_factor = 1.5\n"
         << "cold_slack = 5\n"
         << "grace_s = " << graceSeconds << "\n"
         << "ttl_max_s = 5\n"
         << "[platform]\n"
         << "address = \"" << toString(settings.storeAddress) << "\"\n";
    return text.str();
}

} // namespace gooseberrymoor
