#pragma once

// The rows of a batch that is stored in parts, because the store refuses something in it for good.
//
//     transaction_parts parts;
//     parts.begin(std::move(rows));
//     while (parts.takeNext()) { ... store parts.current(); if it is refused for good, parts.refuse() ... }
//     parts.refusedKeys();
//
// A refused part is divided in two until the rows of one job are left, which are set aside. All rows of a job in the batch stay together.

#include "platform/store_client.h"

#include <deque>
#include <string>
#include <vector>

namespace daisypass {

struct transaction_part
{
    std::vector<row_update> puts;
    std::vector<row_key> deletes;

    bool empty() const
    {
        return puts.empty() && deletes.empty();
    }
};

class transaction_parts
{
public:
    /** Starts a batch with its only part. */
    void begin(transaction_part whole);
    /** Makes the next part the current one; false if there is none. */
    bool takeNext();
    /** The store refuses the current part for good. Returns the keys of the rows that are set aside; empty if the part was divided. */
    std::vector<row_key> refuse();

    const transaction_part &current() const
    {
        return m_current;
    }
    bool hasNext() const
    {
        return !m_remaining.empty();
    }
    /** Keys of the batch's rows that were set aside. */
    const std::vector<row_key> &refusedKeys() const
    {
        return m_refusedKeys;
    }

private:
    transaction_part m_current;
    std::deque<transaction_part> m_remaining;
    std::vector<row_key> m_refusedKeys;
};

} // namespace daisypass
