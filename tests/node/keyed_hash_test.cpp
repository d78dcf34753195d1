#include "base/keyed_hash.h"

#include <doctest/doctest.h>

#include <string>

using namespace daisypass;

TEST_CASE("the keyed hash is SipHash-2-4")
{
    // The test vector of the paper's appendix A: the key's bytes are 0 to 15, the text's bytes 0 to 14.
    std::string text;
    for (char byte = 0; byte < 15; ++byte) {
        text += byte;
    }
    CHECK(sipHash(0x0706050403020100ULL, 0x0f0e0d0c0b0a0908ULL, text) == 0xa129ca6149be45e5ULL);
}

TEST_CASE("digests depend on the text and on the secret")
{
    const hash_secret secret = randomHashSecret();
    CHECK(digestOf(secret, "a key") == digestOf(secret, "a key"));
    CHECK_FALSE(digestOf(secret, "a key") == digestOf(secret, "a kez"));
    CHECK_FALSE(digestOf(secret, "a key") == digestOf(secret, std::string("a key\0", 6)));
    CHECK_FALSE(digestOf(secret, "a key") == digestOf(randomHashSecret(), "a key"));
}
