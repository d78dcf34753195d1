#include "kernel/pool_scheduler.h"

namespace daisypass {

namespace {

// FNV-1a with a final mixing step. All entries must compute the same value in every build, which std::hash does not guarantee.
std::uint64_t stableHash(std::string_view first, std::string_view second)
{
    constexpr std::uint64_t offset = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offset;
    for (std::string_view part : {first, second}) {
        for (char character : part) {
            hash = (hash ^ static_cast<unsigned char>(character)) * prime;
        }
        // A separator makes the hashes of ("a", "bc") and ("ab", "c") differ.
        hash = (hash ^ 0xFFU) * prime;
    }
    hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

} // namespace

std::string_view rendezvousOwner(std::span<const std::string> entries, std::string_view target)
{
    std::string_view owner;
    std::uint64_t best = 0;
    for (const std::string &entry : entries) {
        const std::uint64_t hash = stableHash(entry, target);
        // Ties are broken by name, so that the result does not depend on the order of the entries.
        if (owner.empty() || hash > best || (hash == best && entry > owner)) {
            owner = entry;
            best = hash;
        }
    }
    return owner;
}

} // namespace daisypass
