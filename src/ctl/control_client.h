#pragma once

// Client of the administration API, for daisypassctl.
//
//     control_client client({"127.0.0.1", 7100}, token);
//     std::optional<nlohmann::json> status = client.get("status", reason);

#include "base/failure.h"
#include "ctl/configuration_directory.h"
#include "http/http_client.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypass {

enum class reported_outcome {
    Applied,
    Unchanged,
    Conflict,
    Invalid,
    /** Nothing was written: the controller or its store did not answer. */
    Refused,
    /** The write may have taken effect. */
    Unknown,
};

struct apply_report
{
    reported_outcome outcome = reported_outcome::Unknown;
    revision_number revision = 0;
    /** Lines for the operator: the failures, and for a conflict the difference. */
    std::string details;
};

/** A line that names the entries whose revision in a status is below this one, or says that the status has no list of them; empty if all have it. */
std::string describeLagging(const nlohmann::json &status, revision_number revision);

class control_client
{
public:
    control_client(endpoint service, std::string token);

    /** Returns the body of a 200 response to GET /admin/v1/<path>. Fails with ConnectFailed, Timeout, BadAnswer, NotPermitted or StoreUnavailable. */
    std::optional<nlohmann::json> get(std::string_view path, failure &reason);

    /** Applies the files. A request whose response is lost is retried with the same write id, so that it takes effect at most once. */
    apply_report apply(const std::vector<configuration_file> &files, revision_number base, std::string_view author, std::string_view writeId);

private:
    http_result fetch(http_call call);

    endpoint m_service;
    std::string m_token;
    http_client m_client;
};

} // namespace daisypass
