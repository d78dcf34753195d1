#include "services/object_store.h"

#include "services/http_answer.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cinttypes>
#include <cstdio>
#include <map>
#include <mutex>

namespace daisypass {

struct memory_objects::objects
{
    std::mutex lock;
    std::map<std::string, std::string, std::less<>> byName;
    bool outage = false;
};

memory_objects::memory_objects()
    : m_objects(std::make_shared<objects>())
{
}

bool memory_objects::put(std::string_view name, std::string_view body, failure &reason)
{
    const std::lock_guard<std::mutex> guard(m_objects->lock);
    if (m_objects->outage) {
        reason = failure{failure_code::StoreUnavailable, std::string(name)};
        return false;
    }
    m_objects->byName[std::string(name)] = std::string(body);
    return true;
}

std::optional<std::string> memory_objects::get(std::string_view name, failure &reason)
{
    const std::lock_guard<std::mutex> guard(m_objects->lock);
    const auto found = m_objects->byName.find(name);
    if (m_objects->outage || found == m_objects->byName.end()) {
        reason = failure{m_objects->outage ? failure_code::StoreUnavailable : failure_code::NotFound, std::string(name)};
        return std::nullopt;
    }
    return found->second;
}

void memory_objects::setOutage(bool outage)
{
    const std::lock_guard<std::mutex> guard(m_objects->lock);
    m_objects->outage = outage;
}

http_objects::http_objects(std::shared_ptr<http_client> client, endpoint service)
    : m_client(std::move(client))
    , m_service(std::move(service))
{
}

bool http_objects::put(std::string_view name, std::string_view body, failure &reason)
{
    const http_result result = m_client->fetch(platformCall(m_service, "PUT", "/objects/" + std::string(name), std::string(body)));
    return checkAnswer(result, name, reason);
}

std::optional<std::string> http_objects::get(std::string_view name, failure &reason)
{
    http_result result = m_client->fetch(platformCall(m_service, "GET", "/objects/" + std::string(name)));
    if (!checkAnswer(result, name, reason)) {
        return std::nullopt;
    }
    return std::move(result.response.body);
}

object_store::object_store(backend chosen)
    : m_backend(std::move(chosen))
{
}

bool object_store::put(std::string_view name, std::string_view body, failure &reason)
{
    return std::visit(
        [&](auto &store) {
            return store.put(name, body, reason);
        },
        m_backend);
}

std::optional<std::string> object_store::get(std::string_view name, failure &reason)
{
    return std::visit(
        [&](auto &store) {
            return store.get(name, reason);
        },
        m_backend);
}

std::string contentHash(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> hexadecimal{};
    std::snprintf(
        hexadecimal.data(), hexadecimal.size(), "%016" PRIx64 "%016" PRIx64, static_cast<std::uint64_t>(hash.high64), static_cast<std::uint64_t>(hash.low64));
    return hexadecimal.data();
}

} // namespace daisypass
