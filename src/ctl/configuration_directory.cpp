#include "ctl/configuration_directory.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace daisypass {
namespace {

namespace fs = std::filesystem;

constexpr const char *baseFileName = ".daisypass-base";

} // namespace

std::optional<std::vector<configuration_file>> loadDirectory(const std::string &directory, failure &reason)
{
    std::error_code error;
    std::vector<configuration_file> files;
    fs::recursive_directory_iterator item(directory, error);
    for (; !error && item != fs::recursive_directory_iterator(); item.increment(error)) {
        if (!item->is_regular_file() || item->path().extension() != ".json") {
            continue;
        }
        std::ifstream stream(item->path(), std::ios::binary);
        std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
        if (!stream) {
            reason = failure{failure_code::FileUnreadable, item->path().string(), {}, "a readable file"};
            return std::nullopt;
        }
        files.push_back({fs::relative(item->path(), directory).generic_string(), std::move(text)});
    }
    if (error || files.empty()) {
        reason = failure{failure_code::FileUnreadable, directory, {}, "a directory with configuration files (*.json)"};
        return std::nullopt;
    }
    std::sort(files.begin(), files.end(), [](const configuration_file &left, const configuration_file &right) {
        return left.name < right.name;
    });
    return files;
}

std::optional<revision_number> readBaseRevision(const std::string &directory, failure &reason)
{
    const fs::path path = fs::path(directory) / baseFileName;
    std::ifstream stream(path);
    if (!stream) {
        return std::nullopt;
    }
    revision_number revision = 0;
    if (!(stream >> revision)) {
        reason = failure{failure_code::SyntaxError, path.string(), {path.string()}, "a revision number"};
        return std::nullopt;
    }
    return revision;
}

bool writeBaseRevision(const std::string &directory, revision_number revision, failure &reason)
{
    const fs::path path = fs::path(directory) / baseFileName;
    std::ofstream stream(path, std::ios::trunc);
    stream << revision << '\n';
    if (!stream.flush()) {
        reason = failure{failure_code::FileUnreadable, path.string(), {}, "a writable directory"};
        return false;
    }
    return true;
}

} // namespace daisypass
