#pragma once

// The nodes of the deployment, as each writes itself into the store.
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
    /** Where the node takes calls of other nodes. */
    endpoint address;
    double cpuShare = 0;
};

std::string writeNode(const node_entry &entry);
/** Nothing if the row names no node. */
std::optional<node_entry> readNode(std::string_view row);

} // namespace daisypass
