// Measures requests per second and latency through one entry, compared with the same load sent directly to a target.
//
//     daisypass-entry-path-bench --entry 127.0.0.1:8080 --target 127.0.0.1:9100 --pool booking --team zagreb --outstanding 64
//
// The load is a closed loop with a fixed number of outstanding requests. Rounds alternate between the two paths, so that other load on
// the machine slows both. The medians of the rounds are printed.

#include "base/saturating_cast.h"
#include "base/settings_reader.h"
#include "base/time.h"
#include "http/http_client.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <string>
#include <vector>

namespace daisypass {
namespace {

struct bench_options
{
    std::string entry;
    std::string target;
    std::string pool = "booking";
    std::string team;
    int outstanding = 64;
    int threads = 4;
    int rounds = 5;
    double seconds = 2;
};

struct round_result
{
    double perSecond = 0;
    double medianMs = 0;
    double p99Ms = 0;
    std::size_t failed = 0;
};

// Sends a new request for each that ends until the round's time is over, then waits for the outstanding ones.
class closed_loop
{
public:
    closed_loop(http_client &client, std::string url, std::vector<http_header> headers)
        : m_client(client)
        , m_url(std::move(url))
        , m_headers(std::move(headers))
    {
    }

    round_result run(int outstanding, double seconds)
    {
        const timestamp startedAt = steadyNow();
        m_endAt = startedAt + duration(saturatingCast<std::int64_t>(seconds * 1e6));
        m_outstanding = outstanding;
        for (int i = 0; i < outstanding; ++i) {
            sendOne();
        }
        std::unique_lock<std::mutex> guard(m_lock);
        m_allEnded.wait(guard, [this] {
            return m_outstanding == 0;
        });
        return evaluate(steadyNow() - startedAt);
    }

private:
    void sendOne()
    {
        http_call call;
        call.method = "POST";
        call.url = m_url;
        call.headers = m_headers;
        call.headers.push_back({"Daisypass-Request-Id", "0000000000000001-" + std::to_string(++m_sent)});
        call.body = "small";
        m_client.send(std::move(call), [this, sent = steadyNow()](const http_result &result) {
            onResponse(result, steadyNow() - sent);
        });
    }

    void onResponse(const http_result &result, duration elapsed)
    {
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            m_times.push_back(elapsed);
            m_failed += result.state == send_state::Answered && result.response.status == 200 ? 0 : 1;
            if (steadyNow() >= m_endAt) {
                if (--m_outstanding == 0) {
                    m_allEnded.notify_all();
                }
                return;
            }
        }
        sendOne();
    }

    round_result evaluate(duration elapsed)
    {
        std::sort(m_times.begin(), m_times.end());
        constexpr double perMs = 1'000;
        constexpr double perSecond = 1e6;
        const double count = static_cast<double>(m_times.size());
        const duration median = m_times[m_times.size() / 2];
        const duration p99 = m_times[saturatingCast<std::size_t>(count * 0.99)];
        return {count * perSecond / static_cast<double>(elapsed.count()),
                static_cast<double>(median.count()) / perMs,
                static_cast<double>(p99.count()) / perMs,
                m_failed};
    }

    http_client &m_client;
    std::string m_url;
    std::vector<http_header> m_headers;
    timestamp m_endAt{};
    std::atomic<std::uint64_t> m_sent{0};
    std::mutex m_lock;
    std::condition_variable m_allEnded;
    std::vector<duration> m_times;
    std::size_t m_failed = 0;
    int m_outstanding = 0;
};

round_result medianOf(std::vector<round_result> rounds)
{
    const auto median = [&rounds](double round_result::*member) {
        std::sort(rounds.begin(), rounds.end(), [member](const round_result &a, const round_result &b) {
            return a.*member < b.*member;
        });
        return rounds[rounds.size() / 2].*member;
    };
    round_result result{median(&round_result::perSecond), median(&round_result::medianMs), median(&round_result::p99Ms), 0};
    for (const round_result &round : rounds) {
        result.failed += round.failed;
    }
    return result;
}

void print(std::string_view name, const round_result &result)
{
    std::cout << name << ": " << saturatingCast<int>(result.perSecond) << " requests/s, p50 " << result.medianMs << " ms, p99 " << result.p99Ms
              << " ms, failed " << result.failed << '\n';
}

void measure(const bench_options &options)
{
    http_client_options clientOptions;
    clientOptions.threads = options.threads;
    clientOptions.maxConnectionsPerHost = options.outstanding;
    http_client client(clientOptions);
    const std::string direct = "http://" + options.target + "/run";
    const std::string through = "http://" + options.entry + "/v1/pools/" + options.pool + "/requests";
    const std::vector<http_header> headers{{"Daisypass-Team", options.team}};
    std::vector<round_result> directRounds;
    std::vector<round_result> throughRounds;
    for (int i = 0; i < options.rounds; ++i) {
        directRounds.push_back(closed_loop(client, direct, headers).run(options.outstanding, options.seconds));
        throughRounds.push_back(closed_loop(client, through, headers).run(options.outstanding, options.seconds));
    }
    const round_result directMedian = medianOf(directRounds);
    const round_result throughMedian = medianOf(throughRounds);
    std::cout << options.rounds << " rounds of " << options.seconds << " s, " << options.outstanding << " outstanding\n";
    print("target", directMedian);
    print("entry", throughMedian);
    std::cout << "added p50: " << throughMedian.medianMs - directMedian.medianMs << " ms, throughput ratio " << throughMedian.perSecond / directMedian.perSecond
              << '\n';
}

} // namespace
} // namespace daisypass

int main(int argc, char **argv)
{
    CLI::App app("Compares requests through an entry with requests sent directly to a target");
    daisypass::bench_options options;
    app.add_option("--entry", options.entry, "caller address of an entry")->required();
    app.add_option("--target", options.target, "address of a target")->required();
    app.add_option("--pool", options.pool, "pool")->capture_default_str();
    app.add_option("--team", options.team, "team")->required();
    app.add_option("--outstanding", options.outstanding, "requests kept outstanding")->capture_default_str()->check(CLI::Range(1, 1'000));
    app.add_option("--threads", options.threads, "client threads")->capture_default_str()->check(CLI::Range(1, 16));
    app.add_option("--rounds", options.rounds, "rounds of each path")->capture_default_str()->check(CLI::Range(1, 100));
    app.add_option("--seconds", options.seconds, "length of a round")->capture_default_str()->check(CLI::Range(0.1, 60.0));
    CLI11_PARSE(app, argc, argv);
    daisypass::measure(options);
    return 0;
}
