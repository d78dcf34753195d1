#include "node/node_directory.h"

#include <nlohmann/json.hpp>

namespace daisypass {

using json = nlohmann::json;

std::string writeNode(const node_entry &entry)
{
    return json{{"node", entry.node}, {"availability_zone", entry.availabilityZone}, {"address", toString(entry.address)}, {"cpu_share", entry.cpuShare}}
        .dump();
}

std::optional<node_entry> readNode(std::string_view row)
{
    const json value = json::parse(row, nullptr, false);
    const bool named = value.is_object() && value.contains("node") && value["node"].is_string() && value.contains("address") && value["address"].is_string();
    if (!named) {
        return std::nullopt;
    }
    failure reason;
    const std::optional<endpoint> address = parseEndpoint(value["address"].get<std::string>(), reason);
    if (!address) {
        return std::nullopt;
    }
    node_entry entry;
    entry.node = value["node"].get<std::string>();
    entry.address = *address;
    entry.availabilityZone = value.value("availability_zone", "");
    entry.cpuShare = value.value("cpu_share", 0.0);
    return entry;
}

} // namespace daisypass
