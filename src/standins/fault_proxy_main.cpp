// daisypass-fault-proxy: TCP proxy for several listen/forward pairs; its faults are set over HTTP.
//
//     POST /admin/faults/{index}   {"cut": bool, "delay_ms": n, "freeze": bool, "truncate_after": n, "direction": "both|to_server|to_client"}
//     GET  /admin/stats            one object per pair
//
// Each POST replaces all faults of the pair; an empty object clears them.

#include "base/log.h"
#include "standins/fault_proxy.h"
#include "standins/standin_process.h"

#include <CLI/CLI.hpp>

#include <charconv>
#include <iostream>

using namespace daisypass;

namespace {

using proxy_list = std::vector<std::unique_ptr<fault_proxy>>;

constexpr std::string_view faultPrefix = "/admin/faults/";

// Parses "listen=forward"; both are an IP number and a port.
std::unique_ptr<fault_proxy> proxyFromText(const std::string &text, failure &reason)
{
    const std::size_t separator = text.find('=');
    if (separator == std::string::npos) {
        reason = failure{failure_code::BadAddress, text, {}, "listen=forward"};
        return nullptr;
    }
    const std::optional<endpoint> listen = parseEndpoint(text.substr(0, separator), reason);
    const std::optional<endpoint> forward = parseEndpoint(text.substr(separator + 1), reason);
    return listen && forward ? std::make_unique<fault_proxy>(*listen, *forward) : nullptr;
}

proxy_faults faultsFromJson(const nlohmann::json &body)
{
    proxy_faults faults;
    faults.cut = body.value("cut", false);
    faults.freeze = body.value("freeze", false);
    faults.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    if (body.contains("truncate_after")) {
        faults.truncateAfter = body.value("truncate_after", std::uint64_t{0});
    }
    const std::string direction = body.value("direction", "both");
    faults.toServer = direction != "to_client";
    faults.toClient = direction != "to_server";
    return faults;
}

nlohmann::json statsOf(const proxy_list &proxies)
{
    nlohmann::json all = nlohmann::json::array();
    for (const std::unique_ptr<fault_proxy> &proxy : proxies) {
        const fault_proxy::statistics stats = proxy->stats();
        all.push_back({{"port", proxy->port()},
                       {"forward", toString(proxy->forward())},
                       {"connections", stats.connections},
                       {"refused", stats.refused},
                       {"bytes_to_server", stats.bytesToServer},
                       {"bytes_to_client", stats.bytesToClient}});
    }
    return all;
}

http_response answer(const http_request &request, const proxy_list &proxies)
{
    if (request.method == "GET" && request.path == "/admin/stats") {
        return jsonResponse(200, statsOf(proxies));
    }
    if (request.method != "POST" || !request.path.starts_with(faultPrefix)) {
        return jsonResponse(404, {{"error", "no such path"}});
    }
    const std::string index = request.path.substr(faultPrefix.size());
    std::size_t position = proxies.size();
    std::from_chars(index.data(), index.data() + index.size(), position);
    if (position >= proxies.size()) {
        return jsonResponse(404, {{"error", "no such pair"}});
    }
    proxies[position]->set(faultsFromJson(jsonBody(request)));
    return jsonResponse(200, statsOf(proxies));
}

} // namespace

int main(int argc, char **argv)
{
    std::string adminText = "127.0.0.1:0";
    std::vector<std::string> pairs;
    CLI::App app("TCP proxy that cuts, delays, freezes and truncates connections on command.");
    app.set_version_flag("--version", std::string("daisypass-fault-proxy ") + DAISYPASS_VERSION);
    app.add_option("--admin", adminText, "IP number and port of the admin interface")->capture_default_str();
    app.add_option("--pair", pairs, "listen=forward, for example 127.0.0.1:0=127.0.0.1:8080; may be repeated")->required();
    CLI11_PARSE(app, argc, argv);

    failure reason;
    const std::optional<endpoint> admin = parseEndpoint(adminText, reason);
    if (!admin) {
        std::cerr << describe(reason) << '\n';
        return 2;
    }
    blockStopSignals();
    startLog("daisypass-fault-proxy", adminText);
    proxy_list proxies;
    for (const std::string &pair : pairs) {
        std::unique_ptr<fault_proxy> proxy = proxyFromText(pair, reason);
        if (!proxy || !proxy->start(reason)) {
            std::cerr << describe(reason) << '\n';
            return proxy ? 1 : 2;
        }
        proxies.push_back(std::move(proxy));
    }
    http_server server({.listen = *admin}, [&proxies](const http_request &request, const http_responder &respond) {
        respond(answer(request, proxies));
    });
    if (!server.start(reason)) {
        std::cerr << describe(reason) << '\n';
        return 1;
    }
    for (std::size_t i = 0; i < proxies.size(); ++i) {
        logEvent("forwarding", {{"index", i}, {"port", proxies[i]->port()}, {"forward", toString(proxies[i]->forward())}});
    }
    logEvent("listening", {{"address", admin->address}, {"port", server.port()}});
    waitForStop();
    return 0;
}
