#pragma once

// Reads the files of the example configurations for tests.

#include "kernel/configuration.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace daisypass {

inline std::string readText(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

inline std::vector<configuration_file> exampleFiles(const std::string &name)
{
    std::vector<configuration_file> files;
    for (const std::filesystem::directory_entry &entry : std::filesystem::directory_iterator(std::string(DAISYPASS_SOURCE_DIR) + "/examples/" + name)) {
        files.push_back({entry.path().filename().string(), readText(entry.path())});
    }
    std::sort(files.begin(), files.end(), [](const configuration_file &left, const configuration_file &right) {
        return left.name < right.name;
    });
    return files;
}

} // namespace daisypass
