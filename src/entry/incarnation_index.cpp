#include "entry/incarnation_index.h"

namespace daisypass {

void incarnation_index::update(std::shared_ptr<const fleet_state> state)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_state = std::move(state);
    for (const std::pair<const std::string, entry_record> &entry : m_state->entries()) {
        m_everRegistered.insert(entry.second.incarnation);
    }
}

incarnation_status incarnation_index::find(incarnation_number incarnation, entry_record &record) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    for (const std::pair<const std::string, entry_record> &entry : m_state->entries()) {
        if (entry.second.incarnation == incarnation) {
            record = entry.second;
            return incarnation_status::Registered;
        }
    }
    return m_everRegistered.contains(incarnation) ? incarnation_status::Ended : incarnation_status::NeverSeen;
}

std::optional<peer_address> incarnation_index::findEntry(std::string_view entry) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_state->entries().find(entry);
    if (found == m_state->entries().end()) {
        return std::nullopt;
    }
    return peer_address{found->second.peers, found->second.incarnation};
}

std::shared_ptr<const fleet_state> incarnation_index::state() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_state;
}

} // namespace daisypass
