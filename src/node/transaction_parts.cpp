#include "node/transaction_parts.h"

#include "sched/job_rows.h"

#include <set>
#include <utility>

namespace daisypass {
namespace {

using row_owner = std::pair<std::string, std::string>;

row_owner ownerOf(const row_key &key)
{
    return {key.table, std::string(sched::jobOfRow(key.key))};
}

} // namespace

void transaction_parts::begin(transaction_part whole)
{
    m_current = {};
    m_refusedKeys.clear();
    m_remaining.clear();
    m_remaining.push_back(std::move(whole));
}

bool transaction_parts::takeNext()
{
    if (m_remaining.empty()) {
        return false;
    }
    m_current = std::move(m_remaining.front());
    m_remaining.pop_front();
    return true;
}

std::vector<row_key> transaction_parts::refuse()
{
    std::vector<row_key> keys;
    for (const row_update &put : m_current.puts) {
        keys.push_back(put.key);
    }
    keys.insert(keys.end(), m_current.deletes.begin(), m_current.deletes.end());
    std::set<row_owner> owners;
    for (const row_key &key : keys) {
        owners.insert(ownerOf(key));
    }
    transaction_part refused = std::exchange(m_current, {});
    if (owners.size() <= 1) {
        m_refusedKeys.insert(m_refusedKeys.end(), keys.begin(), keys.end());
        return keys;
    }
    std::set<row_owner> firstOwners;
    for (const row_key &key : keys) {
        if (firstOwners.size() < owners.size() / 2) {
            firstOwners.insert(ownerOf(key));
        }
    }
    transaction_part first;
    transaction_part second;
    for (row_update &put : refused.puts) {
        const bool goesFirst = firstOwners.contains(ownerOf(put.key));
        (goesFirst ? first : second).puts.push_back(std::move(put));
    }
    for (row_key &key : refused.deletes) {
        const bool goesFirst = firstOwners.contains(ownerOf(key));
        (goesFirst ? first : second).deletes.push_back(std::move(key));
    }
    m_remaining.push_front(std::move(second));
    m_remaining.push_front(std::move(first));
    return {};
}

} // namespace daisypass
