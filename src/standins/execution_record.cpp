#include "standins/execution_record.h"

#include <nlohmann/json.hpp>

#include <array>
#include <map>

namespace daisypass {
namespace {

constexpr std::array<std::string_view, 4> resultNames{"running", "completed", "failed", "cut_off"};

execution_result resultFromName(std::string_view name)
{
    for (std::size_t i = 0; i < resultNames.size(); ++i) {
        if (resultNames.at(i) == name) {
            return static_cast<execution_result>(i);
        }
    }
    return execution_result::Running;
}

execution_record fromJson(const nlohmann::json &line)
{
    execution_record record;
    record.target = line.at("target").get<std::string>();
    record.sequence = line.at("sequence").get<std::uint64_t>();
    record.requestId = line.at("request_id").get<std::string>();
    record.idempotencyKey = line.at("key").get<std::string>();
    record.body = line.at("body").get<std::string>();
    record.startUs = line.at("start_us").get<std::int64_t>();
    record.endUs = line.at("end_us").get<std::int64_t>();
    record.result = resultFromName(line.at("result").get<std::string>());
    if (line.contains("after_leaving_ms")) {
        record.afterLeavingMs = line.at("after_leaving_ms").get<std::int64_t>();
    }
    return record;
}

} // namespace

std::string encodeExecution(const execution_record &record)
{
    nlohmann::ordered_json line{{"target", record.target},
                                {"sequence", record.sequence},
                                {"request_id", record.requestId},
                                {"key", record.idempotencyKey},
                                {"body", record.body},
                                {"start_us", record.startUs},
                                {"end_us", record.endUs},
                                {"result", resultNames.at(static_cast<std::size_t>(record.result))}};
    if (record.afterLeavingMs) {
        line["after_leaving_ms"] = *record.afterLeavingMs;
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<std::vector<execution_record>> decodeExecutions(std::string_view lines, failure &reason)
{
    std::vector<execution_record> records;
    std::map<std::pair<std::string, std::uint64_t>, std::size_t> positions;
    for (std::size_t begin = 0, end = 0; (end = lines.find('\n', begin)) != std::string_view::npos; begin = end + 1) {
        const std::string_view line = lines.substr(begin, end - begin);
        try {
            execution_record record = fromJson(nlohmann::json::parse(line));
            const auto position = positions.try_emplace({record.target, record.sequence}, records.size()).first;
            if (position->second == records.size()) {
                records.push_back(std::move(record));
            } else {
                records[position->second] = std::move(record);
            }
        } catch (const nlohmann::json::exception &error) {
            reason = failure{failure_code::SyntaxError, std::string(line), {}, error.what()};
            return std::nullopt;
        }
    }
    return records;
}

} // namespace daisypass
