#pragma once

// A hash with a secret (SipHash-2-4). Who doesn't know the secret can't predict digests, so digests of secret texts can be looked up and
// compared in ordinary containers: the time that this takes tells nothing about the texts.
//
//     const hash_secret secret = randomHashSecret();
//     const keyed_digest digest = digestOf(secret, text);

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace daisypass {

/** The secrets of the two halves of a digest. */
struct hash_secret
{
    std::array<std::uint64_t, 4> words{};
};

/** Returns a secret from the system's source of random numbers. */
hash_secret randomHashSecret();

/** SipHash-2-4 of the text (Aumasson and Bernstein, 2012). */
std::uint64_t sipHash(std::uint64_t key0, std::uint64_t key1, std::string_view text);

/** 128 bits, so that two texts don't have the same digest by chance. */
struct keyed_digest
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;

    bool operator==(const keyed_digest &other) const
    {
        return ((first ^ other.first) | (second ^ other.second)) == 0;
    }
};

/** Hash of a digest for unordered containers. */
struct digest_bucket
{
    std::size_t operator()(const keyed_digest &digest) const
    {
        return static_cast<std::size_t>(digest.first);
    }
};

keyed_digest digestOf(const hash_secret &secret, std::string_view text);

} // namespace daisypass
