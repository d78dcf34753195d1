#pragma once

// Limits retries to a share of the requests (token bucket), so that retries do not add much load to a pool that refuses requests.
//
//     budget.addRequest();
//     if (budget.take()) {
//         // Retry.
//     }

#include <algorithm>

namespace daisypass {

class retry_budget
{
public:
    /** Sets the tokens that each request adds: 0.1 allows one retry per ten requests. */
    void setRatio(double ratio)
    {
        m_ratio = ratio;
    }

    void addRequest()
    {
        m_tokens = std::min(burstTokens, m_tokens + m_ratio);
    }

    /** Takes a token for one retry. Returns false if less than one token is left. */
    bool take()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    /** Maximum number of tokens: the retries that a pool may send at once after a quiet time. A crashed target causes 8, for its requests that were not sent.
     */
    static constexpr double burstTokens = 64;

    double m_ratio = 0.1;
    double m_tokens = 16;
};

} // namespace daisypass
