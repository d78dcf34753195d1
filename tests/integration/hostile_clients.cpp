// Crowds of clients that don't behave against one daisypass-node process. Each case checks what doesn't depend on the machine's speed: the
// process lives, its memory and descriptors stay within its machine's, and a job that is handed in meanwhile and one handed in afterwards
// are taken and run.

#include "integration/client_crowd.h"
#include "integration/platform_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

using namespace daisypass::integration;

namespace {

// The machine of these tests, in its settings. Large enough for a node and a client inside the limits, and small enough for small crowds.
constexpr int machineMemoryMb = 64;
constexpr int machineDescriptors = 600;
constexpr int bytesPerKilobyte = 1'024;

constexpr int crowdSize = 300;
// The largest legal body, in bytes.
constexpr std::size_t legalBodyBytes = 262'144;
constexpr std::size_t missingBytes = 10;
constexpr const char *queuePath = "/queue-0/0123456789abcdef";
constexpr const char *unknownPath = "/no-such-route/0123456789abcdef";
constexpr const char *readyPath = "/-/ready";

int peakMemoryMb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            int kilobytes = 0;
            status >> kilobytes;
            return kilobytes / bytesPerKilobyte;
        }
    }
    return 0;
}

int descriptorsOf(pid_t process)
{
    std::error_code error;
    int count = 0;
    for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", error); !error && entry != std::filesystem::directory_iterator();
         entry.increment(error)) {
        ++count;
    }
    return count;
}

std::string head(const std::string &path, const std::string &framing)
{
    return "POST " + path + " HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n" + framing + "\r\n\r\n";
}

std::string withLength(const std::string &path, const std::string &body)
{
    return head(path, "Content-Length: " + std::to_string(body.size())) + body;
}

std::string stoppedShort(const std::string &path)
{
    const std::string whole = withLength(path, std::string(legalBodyBytes, 'x'));
    return whole.substr(0, whole.size() - missingBytes);
}

// The body in chunks, without the last one.
std::string inChunks(const std::string &path, std::size_t chunks, std::size_t chunkBytes)
{
    char size[17];
    std::snprintf(size, sizeof size, "%zx", chunkBytes);
    const std::string chunk = std::string(size) + "\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    std::string text = head(path, "Transfer-Encoding: chunked");
    for (std::size_t i = 0; i < chunks; ++i) {
        text += chunk;
    }
    return text;
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

// One node on a small machine, and what was seen of its process.
class small_machine
{
public:
    small_machine()
        : m_platform({.nodes = 1, .memoryMb = machineMemoryMb, .maxDescriptors = machineDescriptors})
    {
        m_platform.leaseHolder();
    }

    const node_ports &ports() const
    {
        return m_platform.ports(0);
    }

    void meet(crowd_options options)
    {
        {
            client_crowd crowd(std::move(options));
            crowd.settle([this] {
                observe();
            });
            INFO("with the crowd");
            checkJobRuns();
        }
        INFO("after the crowd");
        checkJobRuns();
        CHECK(m_platform.node(0).running());
        const int memoryMb = peakMemoryMb(m_platform.node(0).id());
        MESSAGE("peak memory ", memoryMb, " MB, descriptors ", m_descriptors);
        CHECK(memoryMb < machineMemoryMb);
        CHECK(m_descriptors < machineDescriptors);
    }

private:
    void observe()
    {
        m_descriptors = std::max(m_descriptors, descriptorsOf(m_platform.node(0).id()));
    }

    // A client that is refused, or whose connection is closed, hands its job in again.
    void checkJobRuns()
    {
        constexpr int taskMs = 50;
        std::string job;
        const bool accepted = waitUntil([&] {
            observe();
            job = m_platform.submit(0, taskMs, 1);
            return !job.empty();
        });
        CHECK(accepted);
        CHECK(m_platform.waitForPhase(0, job, "completed"));
    }

    platform_deployment m_platform;
    int m_descriptors = 0;
};

} // namespace

TEST_CASE("hostile clients: legal bodies that stop short of their end and stay open")
{
    // Guards against memory that grows with the number of half-read bodies.
    small_machine machine;

    SUBCASE("in one piece, at a path without a route")
    {
        machine.meet({.port = machine.ports().front, .connections = crowdSize, .bytes = stoppedShort(unknownPath)});
    }
    SUBCASE("in one piece, at a queue's path")
    {
        machine.meet({.port = machine.ports().front, .connections = crowdSize, .bytes = stoppedShort(queuePath)});
    }
    SUBCASE("in one piece, at the ready address")
    {
        machine.meet({.port = machine.ports().ready, .connections = crowdSize, .bytes = stoppedShort(readyPath)});
    }
    SUBCASE("in one piece, at the metrics address")
    {
        machine.meet({.port = machine.ports().internal, .connections = crowdSize, .bytes = stoppedShort("/metrics")});
    }
    SUBCASE("in one piece, at the address for other nodes")
    {
        const std::uint16_t port = static_cast<std::uint16_t>(machine.ports().internal + 1);
        machine.meet({.port = port, .connections = crowdSize, .bytes = stoppedShort(queuePath)});
    }
    SUBCASE("in small pieces")
    {
        constexpr std::size_t pieceBytes = 2'000;
        machine.meet({.port = machine.ports().front,
                      .connections = crowdSize,
                      .bytes = stoppedShort(queuePath),
                      .pieceBytes = pieceBytes,
                      .pauseBetweenPieces = std::chrono::milliseconds(5)});
    }
    SUBCASE("in chunks")
    {
        machine.meet({.port = machine.ports().front, .connections = crowdSize, .bytes = inChunks(unknownPath, 240, 1'000)});
    }
    SUBCASE("in chunks of one byte")
    {
        machine.meet({.port = machine.ports().front, .connections = crowdSize, .bytes = inChunks(unknownPath, 20'000, 1)});
    }
    SUBCASE("complete bodies whose answers aren't read")
    {
        machine.meet({.port = machine.ports().front, .connections = crowdSize, .bytes = withLength(queuePath, std::string(legalBodyBytes, 'x'))});
    }
}

TEST_CASE("hostile clients: bodies far over the limit")
{
    // Guards against reading a body that will be refused.
    small_machine machine;
    constexpr const char *farTooLong = "Content-Length: 80000000";
    machine.meet({.port = machine.ports().front, .connections = crowdSize, .bytes = head(queuePath, farTooLong) + std::string(legalBodyBytes, 'x')});
}

TEST_CASE("hostile clients: legal bodies of very many short fields")
{
    // Guards against a parse that costs many times the body's bytes.
    small_machine machine;
    constexpr int connections = 50;
    std::string body;

    SUBCASE("empty fields")
    {
        body = "{\"\":0" + repeated(",\"\":0", 50'000) + '}';
    }
    SUBCASE("fields of different names")
    {
        body = "{\"Spec\":\"\"";
        for (int i = 0; i < 20'000; ++i) {
            body += ",\"" + std::to_string(i) + "\":0";
        }
        body += '}';
    }
    SUBCASE("empty objects")
    {
        body = "{\"Steps\":[{}" + repeated(",{}", 80'000) + "]}";
    }
    SUBCASE("deep nesting")
    {
        constexpr std::size_t depth = 120'000;
        body = "{\"Steps\":" + repeated("[", depth) + repeated("]", depth) + '}';
    }
    REQUIRE(body.size() <= legalBodyBytes);
    machine.meet({.port = machine.ports().front, .connections = connections, .bytes = withLength(queuePath, body), .reads = true});
}

TEST_CASE("hostile clients: requests sent ahead without reading the answers")
{
    // Guards against answers that pile up for a client that doesn't read them.
    small_machine machine;
    constexpr int connections = 50;
    constexpr std::size_t requests = 5'000;

    SUBCASE("at a path without a route")
    {
        const std::string request = std::string("GET ") + unknownPath + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
        machine.meet({.port = machine.ports().front, .connections = connections, .bytes = repeated(request, requests)});
    }
    SUBCASE("at the metrics address, whose answers are long")
    {
        machine.meet({.port = machine.ports().internal, .connections = connections, .bytes = repeated("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", requests)});
    }
}

TEST_CASE("hostile clients: crowds that send very slowly or stop half-way")
{
    // Guards against descriptors that are held by clients that make no progress. The crowd is larger than the machine's descriptors.
    small_machine machine;
    constexpr int connections = 700;

    SUBCASE("nothing sent")
    {
        machine.meet({.port = machine.ports().front, .connections = connections, .bytes = ""});
    }
    SUBCASE("headers one byte at a time")
    {
        machine.meet({.port = machine.ports().front,
                      .connections = connections,
                      .bytes = head(queuePath, "Content-Length: 10"),
                      .pieceBytes = 1,
                      .pauseBetweenPieces = std::chrono::milliseconds(100)});
    }
    SUBCASE("a body one byte at a time")
    {
        const std::string start = head(queuePath, "Content-Length: 1000");
        machine.meet({.port = machine.ports().front,
                      .connections = connections,
                      .bytes = start + std::string(200, 'x'),
                      .pieceBytes = 1,
                      .pauseBetweenPieces = std::chrono::milliseconds(50)});
    }
    SUBCASE("headers that stop half-way, at the ready address")
    {
        machine.meet({.port = machine.ports().ready, .connections = connections, .bytes = "GET /-/ready HTTP/1.1\r\nHo"});
    }
    SUBCASE("answers that aren't read")
    {
        machine.meet({.port = machine.ports().internal, .connections = connections, .bytes = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"});
    }
}
