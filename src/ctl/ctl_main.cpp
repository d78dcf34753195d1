#include "base/text_difference.h"
#include "ctl/control_client.h"
#include "kernel/configuration_keys.h"
#include "services/write_id.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <thread>

namespace daisypass {
namespace {

enum exit_status {
    Succeeded = 0,
    WrongInput = 1,
    WrongArguments = 2,
    Conflict = 3,
    Refused = 4,
    OutcomeUnknown = 5,
    NotInForce = 6,
};

constexpr const char *exitStatuses = "Exit status:\n"
                                     "  0  done\n"
                                     "  1  the configuration is wrong, or diff found differences\n"
                                     "  2  wrong arguments\n"
                                     "  3  conflict: another configuration was applied since the base; nothing was written\n"
                                     "  4  the controller or its store did not answer, or refused; nothing was written\n"
                                     "  5  unknown: the write may have taken effect; the command to ask later is printed\n"
                                     "  6  applied, but not in force on every entry within the time of --wait-ms\n"
                                     "The token is taken from --token or the environment variable DAISYPASS_TOKEN.";
constexpr std::size_t differenceLines = 500;

struct arguments
{
    std::string directory;
    std::string control;
    std::string token;
    std::string author;
    std::string writeId;
    std::string filter;
    std::optional<revision_number> base;
    revision_number after = 0;
    int waitMs = 11'000;
};

int failWith(const failure &reason, exit_status status)
{
    std::cerr << describe(reason) << '\n';
    return status;
}

std::optional<std::vector<configuration_file>> loadChecked(const std::string &directory)
{
    failure reason;
    std::optional<std::vector<configuration_file>> files = loadDirectory(directory, reason);
    if (!files) {
        std::cerr << describe(reason) << '\n';
        return std::nullopt;
    }
    std::vector<failure> failures;
    parseConfiguration(*files, failures);
    for (const failure &item : failures) {
        std::cerr << describe(item) << '\n';
    }
    return failures.empty() ? files : std::nullopt;
}

std::optional<control_client> connect(const arguments &given)
{
    failure reason;
    const std::optional<endpoint> service = parseEndpoint(given.control, reason);
    if (!service) {
        std::cerr << describe(reason) << '\n';
        return std::nullopt;
    }
    return std::make_optional<control_client>(*service, given.token);
}

int check(const arguments &given)
{
    if (!loadChecked(given.directory)) {
        return WrongInput;
    }
    std::cout << "valid\n";
    return Succeeded;
}

int diff(const arguments &given)
{
    failure reason;
    const std::optional<std::vector<configuration_file>> files = loadDirectory(given.directory, reason);
    if (!files) {
        return failWith(reason, WrongInput);
    }
    std::optional<control_client> client = connect(given);
    if (!client) {
        return WrongArguments;
    }
    const std::optional<nlohmann::json> answer = client->get("files", reason);
    if (!answer) {
        return failWith(reason, Refused);
    }
    std::map<std::string, std::string> inForce = answer->value("files", std::map<std::string, std::string>{});
    std::string shown;
    for (const configuration_file &file : *files) {
        shown += describeDifference(file.name, inForce[file.name], file.text, differenceLines);
        inForce.erase(file.name);
    }
    for (const std::pair<const std::string, std::string> &file : inForce) {
        shown += describeDifference(file.first, file.second, "", differenceLines);
    }
    std::cout << shown;
    return shown.empty() ? Succeeded : WrongInput;
}

// Waits until every entry reports the revision.
int waitInForce(control_client &client, revision_number revision, int waitMs)
{
    const timestamp deadline = steadyNow() + std::chrono::milliseconds(waitMs);
    while (true) {
        failure reason;
        const std::optional<nlohmann::json> status = client.get("status", reason);
        std::string behind;
        if (!status) {
            behind = describe(reason);
        } else {
            for (const nlohmann::json &entry : status->at("entries")) {
                const bool current = entry.at("revision").is_number() && entry.at("revision").get<revision_number>() >= revision;
                behind += current ? "" : (behind.empty() ? "not yet in force on " : ", ") + entry.value("entry", "");
            }
        }
        if (behind.empty()) {
            std::cout << "in force on every entry\n";
            return Succeeded;
        }
        if (steadyNow() >= deadline) {
            std::cerr << behind << '\n';
            return NotInForce;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
}

int reportApply(const arguments &given, control_client &client, const apply_report &report, revision_number base, const std::string &writeId)
{
    failure reason;
    switch (report.outcome) {
    case reported_outcome::Applied:
    case reported_outcome::Unchanged:
        std::cout << (report.outcome == reported_outcome::Applied ? "applied" : "unchanged") << ", revision " << report.revision << '\n';
        if (!writeBase(given.directory, report.revision, reason)) {
            std::cerr << describe(reason) << '\n';
        }
        return given.waitMs > 0 ? waitInForce(client, report.revision, given.waitMs) : Succeeded;
    case reported_outcome::Conflict:
        std::cerr << report.details << "conflict: revision " << report.revision << " is in force; nothing was written\n";
        return Conflict;
    case reported_outcome::Invalid:
        std::cerr << report.details << "invalid; nothing was written\n";
        return WrongInput;
    case reported_outcome::Refused:
        std::cerr << report.details << "refused; nothing was written\n";
        return Refused;
    case reported_outcome::Unknown:
        break;
    }
    std::cerr << report.details << "unknown: the write may have taken effect; ask later with\n  daisypassctl history --control " << given.control
              << " --write-id " << writeId << " --base " << base << '\n';
    return OutcomeUnknown;
}

int apply(const arguments &given)
{
    const std::optional<std::vector<configuration_file>> files = loadChecked(given.directory);
    if (!files) {
        return WrongInput;
    }
    failure reason;
    std::optional<revision_number> base = given.base ? given.base : readBase(given.directory, reason);
    if (reason.code != failure_code::None) {
        return failWith(reason, WrongInput);
    }
    std::optional<control_client> client = connect(given);
    if (!client) {
        return WrongArguments;
    }
    const std::string writeId = given.writeId.empty() ? newWriteId() : given.writeId;
    const apply_report report = client->apply(*files, base.value_or(0), given.author, writeId);
    return reportApply(given, *client, report, base.value_or(0), writeId);
}

int status(const arguments &given)
{
    failure reason;
    std::optional<control_client> client = connect(given);
    if (!client) {
        return WrongArguments;
    }
    const std::optional<nlohmann::json> answer = client->get("status", reason);
    if (!answer) {
        return failWith(reason, Refused);
    }
    std::cout << answer->dump(2) << '\n';
    return Succeeded;
}

int history(const arguments &given)
{
    failure reason;
    std::optional<control_client> client = connect(given);
    if (!client) {
        return WrongArguments;
    }
    const std::string query
        = given.writeId.empty() ? "after=" + std::to_string(given.after) : "write_id=" + given.writeId + "&base=" + std::to_string(given.base.value_or(0));
    const std::optional<nlohmann::json> answer = client->get("history?" + query, reason);
    if (!answer) {
        return failWith(reason, Refused);
    }
    if (given.writeId.empty()) {
        std::cout << answer->dump(2) << '\n';
        return Succeeded;
    }
    const std::string outcome = answer->value("outcome", "");
    if (outcome == "refused") {
        std::cout << "not applied; a write that was still on its way would have to arrive before the next change\n";
        return Refused;
    }
    std::cout << outcome << ", revision " << answer->value("revision", revision_number{0}) << '\n';
    return outcome == "applied" ? Succeeded : Conflict;
}

int explain(const arguments &given)
{
    bool found = false;
    for (const configuration_key &key : configurationKeys()) {
        const std::string name = std::string(key.section) + '.' + std::string(key.name);
        if (name.find(given.filter) == std::string::npos) {
            continue;
        }
        found = true;
        std::cout << name << "\n  range:   " << describeRange(key) << "\n  unit:    " << (key.unit.empty() ? "none" : key.unit)
                  << "\n  default: " << (key.fallback.empty() ? "none, required" : key.fallback) << "\n  " << key.reason << '\n';
    }
    return found ? Succeeded : WrongInput;
}

} // namespace
} // namespace daisypass

int main(int argc, char **argv)
{
    using namespace daisypass;
    CLI::App app{"daisypassctl: checks and applies the configuration of a fleet, and reports on it"};
    app.set_version_flag("--version", "daisypassctl " DAISYPASS_VERSION);
    app.footer(exitStatuses);
    app.require_subcommand(1);
    arguments given;
    if (const char *token = std::getenv("DAISYPASS_TOKEN")) {
        given.token = token;
    }
    if (const char *user = std::getenv("USER")) {
        given.author = user;
    }
    if (given.author.empty()) {
        given.author = "operator";
    }
    std::function<int(const arguments &)> chosen;
    const auto add = [&](const char *name, const char *about, int (*command)(const arguments &)) {
        CLI::App *sub = app.add_subcommand(name, about);
        sub->footer(exitStatuses);
        sub->callback([&chosen, command] {
            chosen = command;
        });
        return sub;
    };
    const auto addControl = [&](CLI::App *sub) {
        sub->add_option("--control", given.control, "administration API of a controller, for example 127.0.0.1:7100")->required();
        sub->add_option("--token", given.token, "bearer token");
    };
    add("check", "check a directory offline and print every failure", check)->add_option("directory", given.directory)->required();
    CLI::App *diffCommand = add("diff", "show how a directory differs from the configuration in force", diff);
    diffCommand->add_option("directory", given.directory)->required();
    addControl(diffCommand);
    CLI::App *applyCommand = add("apply", "apply a directory", apply);
    applyCommand->add_option("directory", given.directory)->required();
    addControl(applyCommand);
    applyCommand->add_option("--base", given.base, "revision that the files were made from; default: the file .daisypass-base, or 0");
    applyCommand->add_option("--author", given.author, "name in the history");
    applyCommand->add_option("--write-id", given.writeId, "repeat an earlier apply whose outcome is unknown");
    applyCommand->add_option("--wait-ms", given.waitMs, "wait until every entry has the revision, 0 does not wait")->capture_default_str();
    addControl(add("status", "revision on each entry, VM states, drains and what they wait for, wave forecast", status));
    CLI::App *historyCommand = add("history", "configuration changes, or the outcome of one apply", history);
    addControl(historyCommand);
    historyCommand->add_option("--after", given.after, "only changes after this revision");
    historyCommand->add_option("--write-id", given.writeId, "outcome of the apply with this write id");
    historyCommand->add_option("--base", given.base, "base revision of that apply");
    add("explain", "every configuration key with unit, range, default and reason", explain)->add_option("key", given.filter, "part of a key's name");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : WrongArguments;
    }
    return chosen(given);
}
