#pragma once

// Directory entries of nodes, which each node writes to the store for the others.
//
//     std::string row = writeNode(entry);
//     std::optional<node_entry> entry = readNode(row);

#include "base/settings_reader.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisypass {

struct node_entry
{
    std::string node;
    std::string availabilityZone;
    /** Address of the node's server for calls from other nodes. */
    endpoint address;
    double cpuShare = 0;
};

std::string writeNode(const node_entry &entry);
/** Returns nothing if the row has no node name or no valid address. */
std::optional<node_entry> readNode(std::string_view row);

} // namespace daisypass
