#pragma once

// Tells where an incarnation can be asked, or that it has ended.
//
//     incarnation_index index;
//     index.update(state);
//     switch (index.find(incarnation, entry)) { ... }
//
// An incarnation that was never seen may have joined a moment ago, so only a state replayed from a read of the store that began after
// the question tells that it has ended.

#include "entry/fleet_follower.h"
#include "net/peer_client.h"

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>

namespace daisypass {

enum class incarnation_status {
    Registered,
    /** The state named it once and no longer does. */
    Ended,
    NeverSeen,
};

class incarnation_index
{
public:
    void update(std::shared_ptr<const fleet_state> state);

    /** Fills in the record if the state names the incarnation. */
    incarnation_status find(incarnation_number incarnation, entry_record &record) const;
    std::optional<peer_address> findEntry(std::string_view entry) const;
    std::shared_ptr<const fleet_state> state() const;

private:
    mutable std::mutex m_lock;
    std::shared_ptr<const fleet_state> m_state = std::make_shared<const fleet_state>();
    std::set<incarnation_number> m_everRegistered;
};

} // namespace daisypass
