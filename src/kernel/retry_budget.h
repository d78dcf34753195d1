#pragma once

// Limits retries to a share of the requests, so that a pool that refuses is not loaded further by retries (token bucket).

#include <algorithm>

namespace daisypass {

class retry_budget
{
public:
    /** Tokens per request, for example 0.1. */
    void setRatio(double ratio)
    {
        m_ratio = ratio;
    }

    void addRequest()
    {
        m_tokens = std::min(burstTokens, m_tokens + m_ratio);
    }

    /** Spends one token; false if there is none. */
    bool take()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    /** Retries that a pool may send at once after a quiet time; a crashed target has 8 requests that were not sent. */
    static constexpr double burstTokens = 64;

    double m_ratio = 0.1;
    double m_tokens = 16;
};

} // namespace daisypass
