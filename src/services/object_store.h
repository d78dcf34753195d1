#pragma once

// Client of the platform's object store. Objects are immutable once written: names contain a hash, a revision or an incarnation.
//
//     object_store objects{http_objects{client, service}};      // or memory_objects{} in tests
//     if (!objects.put("file/" + contentHash(text), text, reason)) { ... }

#include "base/failure.h"
#include "http/http_client.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace daisypass {

/** Objects in memory; shared by all copies. For tests and benchmarks. */
class memory_objects
{
public:
    memory_objects();

    bool put(std::string_view name, std::string_view body, failure &reason);
    std::optional<std::string> get(std::string_view name, failure &reason);
    /** While set, every call fails with StoreUnavailable. */
    void setOutage(bool outage);

private:
    struct objects;

    std::shared_ptr<objects> m_objects;
};

class http_objects
{
public:
    http_objects(std::shared_ptr<http_client> client, endpoint service);

    bool put(std::string_view name, std::string_view body, failure &reason);
    std::optional<std::string> get(std::string_view name, failure &reason);

private:
    std::shared_ptr<http_client> m_client;
    endpoint m_service;
};

class object_store
{
public:
    using backend = std::variant<memory_objects, http_objects>;

    explicit object_store(backend chosen);

    /** Idempotent: the same object may be written again. Fails with StoreUnavailable or StoreOverloaded. */
    bool put(std::string_view name, std::string_view body, failure &reason);
    /** Fails with NotFound, StoreUnavailable or StoreOverloaded. */
    std::optional<std::string> get(std::string_view name, failure &reason);

private:
    backend m_backend;
};

/** Name of a configuration file body: the 128-bit XXH3 hash of the text in hexadecimal. */
std::string contentHash(std::string_view text);

} // namespace daisypass
