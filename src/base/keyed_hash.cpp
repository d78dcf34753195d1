#include "base/keyed_hash.h"

#include <bit>
#include <random>

namespace daisypass {
namespace {

constexpr std::size_t bytesPerWord = 8;
constexpr unsigned bitsPerByte = 8;
constexpr int roundsPerWord = 2;
constexpr int finalRounds = 4;
constexpr std::uint64_t finalMark = 0xff;
constexpr unsigned lengthShift = 56;

/** State of a SipHash computation; its start values and rotations are those of the specification. */
class sip_state
{
public:
    sip_state(std::uint64_t key0, std::uint64_t key1)
        : m_v0(key0 ^ 0x736f6d6570736575ULL)
        , m_v1(key1 ^ 0x646f72616e646f6dULL)
        , m_v2(key0 ^ 0x6c7967656e657261ULL)
        , m_v3(key1 ^ 0x7465646279746573ULL)
    {
    }

    void add(std::uint64_t word)
    {
        m_v3 ^= word;
        mix(roundsPerWord);
        m_v0 ^= word;
    }

    std::uint64_t finish()
    {
        m_v2 ^= finalMark;
        mix(finalRounds);
        return m_v0 ^ m_v1 ^ m_v2 ^ m_v3;
    }

private:
    void mix(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            m_v0 += m_v1;
            m_v1 = std::rotl(m_v1, 13) ^ m_v0;
            m_v0 = std::rotl(m_v0, 32);
            m_v2 += m_v3;
            m_v3 = std::rotl(m_v3, 16) ^ m_v2;
            m_v0 += m_v3;
            m_v3 = std::rotl(m_v3, 21) ^ m_v0;
            m_v2 += m_v1;
            m_v1 = std::rotl(m_v1, 17) ^ m_v2;
            m_v2 = std::rotl(m_v2, 32);
        }
    }

    std::uint64_t m_v0;
    std::uint64_t m_v1;
    std::uint64_t m_v2;
    std::uint64_t m_v3;
};

// The bytes as a little-endian number; at most eight.
std::uint64_t wordOf(std::string_view bytes)
{
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        word |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (bitsPerByte * i);
    }
    return word;
}

} // namespace

hash_secret randomHashSecret()
{
    std::random_device device;
    hash_secret secret;
    for (std::uint64_t &word : secret.words) {
        word = (static_cast<std::uint64_t>(device()) << 32U) | device();
    }
    return secret;
}

std::uint64_t sipHash(std::uint64_t key0, std::uint64_t key1, std::string_view text)
{
    sip_state state(key0, key1);
    const std::uint64_t length = text.size();
    while (text.size() >= bytesPerWord) {
        state.add(wordOf(text.substr(0, bytesPerWord)));
        text.remove_prefix(bytesPerWord);
    }
    state.add(wordOf(text) | (length << lengthShift));
    return state.finish();
}

keyed_digest digestOf(const hash_secret &secret, std::string_view text)
{
    return {sipHash(secret.words[0], secret.words[1], text), sipHash(secret.words[2], secret.words[3], text)};
}

} // namespace daisypass
