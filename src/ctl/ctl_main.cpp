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

constexpr const char *exitStatusHelp = "Exit status:\n"
                                       "  0  done\n"
                                       "  1  the configuration is wrong, or diff found differences\n"
                                       "  2  wrong arguments\n"
                                       "  3  conflict: another configuration was applied since the base; nothing was written\n"
                                       "  4  the controller or its store did not answer, or refused; nothing was written\n"
                                       "  5  unknown: the write may have taken effect; the command that queries the outcome later is printed\n"
                                       "  6  applied, but not in force on every entry within the time of --wait-ms\n"
                                       "The token is taken from --token or the environment variable DAISYPASS_TOKEN.";
constexpr std::size_t maxDifferenceLines = 500;

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

int reportFailure(const failure &reason, exit_status status)
{
    std::cerr << describe(reason) << '\n';
    return status;
}

std::optional<std::vector<configuration_file>> loadValidated(const std::string &directory)
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

std::optional<control_client> makeClient(const arguments &args)
{
    failure reason;
    const std::optional<endpoint> service = parseEndpoint(args.control, reason);
    if (!service) {
        std::cerr << describe(reason) << '\n';
        return std::nullopt;
    }
    return std::make_optional<control_client>(*service, args.token);
}

int check(const arguments &args)
{
    if (!loadValidated(args.directory)) {
        return WrongInput;
    }
    std::cout << "valid\n";
    return Succeeded;
}

int diff(const arguments &args)
{
    failure reason;
    const std::optional<std::vector<configuration_file>> files = loadDirectory(args.directory, reason);
    if (!files) {
        return reportFailure(reason, WrongInput);
    }
    std::optional<control_client> client = makeClient(args);
    if (!client) {
        return WrongArguments;
    }
    const std::optional<nlohmann::json> answer = client->get("files", reason);
    if (!answer) {
        return reportFailure(reason, Refused);
    }
    std::map<std::string, std::string> inForce = answer->value("files", std::map<std::string, std::string>{});
    std::string output;
    for (const configuration_file &file : *files) {
        output += describeDifference(file.name, inForce[file.name], file.text, maxDifferenceLines);
        inForce.erase(file.name);
    }
    for (const std::pair<const std::string, std::string> &file : inForce) {
        output += describeDifference(file.first, file.second, "", maxDifferenceLines);
    }
    std::cout << output;
    return output.empty() ? Succeeded : WrongInput;
}

// Waits up to `waitMs` until every entry reports the revision.
int waitUntilInForce(control_client &client, revision_number revision, int waitMs)
{
    const timestamp deadline = steadyNow() + std::chrono::milliseconds(waitMs);
    while (true) {
        failure reason;
        const std::optional<nlohmann::json> status = client.get("status", reason);
        std::string lagging;
        if (!status) {
            lagging = describe(reason);
        } else {
            lagging = describeLagging(*status, revision);
        }
        if (lagging.empty()) {
            std::cout << "in force on every entry\n";
            return Succeeded;
        }
        if (steadyNow() >= deadline) {
            std::cerr << lagging << '\n';
            return NotInForce;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
}

int reportApply(const arguments &args, control_client &client, const apply_report &report, revision_number base, const std::string &writeId)
{
    failure reason;
    switch (report.outcome) {
    case reported_outcome::Applied:
    case reported_outcome::Unchanged:
        std::cout << (report.outcome == reported_outcome::Applied ? "applied" : "unchanged") << ", revision " << report.revision << '\n';
        if (!writeBaseRevision(args.directory, report.revision, reason)) {
            std::cerr << describe(reason) << '\n';
        }
        return args.waitMs > 0 ? waitUntilInForce(client, report.revision, args.waitMs) : Succeeded;
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
    std::cerr << report.details << "unknown: the write may have taken effect; query the outcome later with\n  daisypassctl history --control " << args.control
              << " --write-id " << writeId << " --base " << base << '\n';
    return OutcomeUnknown;
}

int apply(const arguments &args)
{
    const std::optional<std::vector<configuration_file>> files = loadValidated(args.directory);
    if (!files) {
        return WrongInput;
    }
    failure reason;
    std::optional<revision_number> base = args.base ? args.base : readBaseRevision(args.directory, reason);
    if (reason.code != failure_code::None) {
        return reportFailure(reason, WrongInput);
    }
    std::optional<control_client> client = makeClient(args);
    if (!client) {
        return WrongArguments;
    }
    const std::string writeId = args.writeId.empty() ? newWriteId() : args.writeId;
    const apply_report report = client->apply(*files, base.value_or(0), args.author, writeId);
    return reportApply(args, *client, report, base.value_or(0), writeId);
}

int status(const arguments &args)
{
    failure reason;
    std::optional<control_client> client = makeClient(args);
    if (!client) {
        return WrongArguments;
    }
    const std::optional<nlohmann::json> answer = client->get("status", reason);
    if (!answer) {
        return reportFailure(reason, Refused);
    }
    std::cout << answer->dump(2) << '\n';
    return Succeeded;
}

int history(const arguments &args)
{
    failure reason;
    std::optional<control_client> client = makeClient(args);
    if (!client) {
        return WrongArguments;
    }
    const std::string query
        = args.writeId.empty() ? "after=" + std::to_string(args.after) : "write_id=" + args.writeId + "&base=" + std::to_string(args.base.value_or(0));
    const std::optional<nlohmann::json> answer = client->get("history?" + query, reason);
    if (!answer) {
        return reportFailure(reason, Refused);
    }
    if (args.writeId.empty()) {
        std::cout << answer->dump(2) << '\n';
        return Succeeded;
    }
    const std::string outcome = answer->value("outcome", "");
    if (outcome == "refused") {
        std::cout << "not applied; a write that is still in flight can take effect only before the next change of the fleet\n";
        return Refused;
    }
    std::cout << outcome << ", revision " << answer->value("revision", revision_number{0}) << '\n';
    return outcome == "applied" ? Succeeded : Conflict;
}

int explain(const arguments &args)
{
    bool found = false;
    for (const configuration_key &key : configurationKeys()) {
        const std::string name = std::string(key.section) + '.' + std::string(key.name);
        if (name.find(args.filter) == std::string::npos) {
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
    app.footer(exitStatusHelp);
    app.require_subcommand(1);
    arguments args;
    if (const char *token = std::getenv("DAISYPASS_TOKEN")) {
        args.token = token;
    }
    if (const char *user = std::getenv("USER")) {
        args.author = user;
    }
    if (args.author.empty()) {
        args.author = "operator";
    }
    std::function<int(const arguments &)> selected;
    const auto add = [&](const char *name, const char *description, int (*command)(const arguments &)) {
        CLI::App *sub = app.add_subcommand(name, description);
        sub->footer(exitStatusHelp);
        sub->callback([&selected, command] {
            selected = command;
        });
        return sub;
    };
    const auto addControl = [&](CLI::App *sub) {
        sub->add_option("--control", args.control, "administration API of a controller, for example 127.0.0.1:7100")->required();
        sub->add_option("--token", args.token, "bearer token");
    };
    add("check", "check a directory offline and print every failure", check)->add_option("directory", args.directory)->required();
    CLI::App *diffCommand = add("diff", "show how a directory differs from the configuration in force", diff);
    diffCommand->add_option("directory", args.directory)->required();
    addControl(diffCommand);
    CLI::App *applyCommand = add("apply", "apply a directory", apply);
    applyCommand->add_option("directory", args.directory)->required();
    addControl(applyCommand);
    applyCommand->add_option("--base", args.base, "revision that the files are based on; default: the file .daisypass-base, or 0");
    applyCommand->add_option("--author", args.author, "name shown in the history");
    applyCommand->add_option("--write-id", args.writeId, "write id of an earlier apply whose outcome is unknown, to retry it");
    applyCommand->add_option("--wait-ms", args.waitMs, "time to wait until every entry has the revision; 0 does not wait")->capture_default_str();
    addControl(add("status", "revision on each entry, VM states, drains and what they wait for, wave forecast", status));
    CLI::App *historyCommand = add("history", "configuration changes, or the outcome of one apply", history);
    addControl(historyCommand);
    historyCommand->add_option("--after", args.after, "only changes after this revision");
    historyCommand->add_option("--write-id", args.writeId, "outcome of the apply with this write id");
    historyCommand->add_option("--base", args.base, "base revision of that apply");
    add("explain", "every configuration key with unit, range, default and reason", explain)->add_option("key", args.filter, "part of a key's name");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : WrongArguments;
    }
    return selected(args);
}
